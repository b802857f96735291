"""The operators' settings of conversations: reading and validation.  Pure.

The config store keeps them beside the users' configuration, as the text that the operator sent.  The
registry validates them with pyserde as well before it accepts them (`ivymux.idempotency.validation`); a
proxy reads them with msgspec alone.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import msgspec

from ivymux.idempotency.record_store import MAX_ANSWER_CHARS, RecordLimits

MAX_TEXT_BYTES = 16 << 10
DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h)", re.ASCII)
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
MIN_RETENTION_S, MAX_RETENTION_S = 60.0, 24 * 3600.0
MAX_RECORDS_PER_TENANT = 50_000
HEADER_NAME = re.compile(r"[A-Za-z0-9-]{1,64}", re.ASCII)


class ConversationSettingsError(ValueError):
    """Invalid settings; the text is one line that names the field and a valid value."""


@dataclass
class ConversationSettingsDocument:
    """The settings as an operator sends them."""

    settings_version: int
    kept_for: str = "15m"
    most_per_tenant: int = 10_000
    most_answer_bytes: int = 16 << 10
    conversation_header: str = ""


@dataclass(frozen=True, slots=True)
class ConversationSettings:
    """The validated settings, in the units of the code."""

    version: int = -1
    limits: RecordLimits = field(default_factory=RecordLimits)
    header: bytes = b""  # lower-case name of the header that names a conversation; empty for none


def compile_settings(document: ConversationSettingsDocument) -> ConversationSettings:
    """Validate a document.  Raises ConversationSettingsError."""
    version = document.settings_version
    if isinstance(version, bool) or version < 0:
        raise ConversationSettingsError("settings_version: write a whole number of 0 or more")
    duration = DURATION.fullmatch(document.kept_for)
    retention_s = float(duration[1]) * SECONDS_PER_UNIT[duration[2]] if duration else -1.0
    if not MIN_RETENTION_S <= retention_s <= MAX_RETENTION_S:
        raise ConversationSettingsError(
            f"kept_for: {document.kept_for!r}; write a time from 60s to 24h, as 15m"
        )
    if not 1 <= document.most_per_tenant <= MAX_RECORDS_PER_TENANT:
        raise ConversationSettingsError(f"most_per_tenant: {document.most_per_tenant}; write 1 to 50000")
    if not 0 <= document.most_answer_bytes <= MAX_ANSWER_CHARS:
        raise ConversationSettingsError(
            f"most_answer_bytes: {document.most_answer_bytes}; write 0 to {MAX_ANSWER_CHARS}"
        )
    header = document.conversation_header
    if header and not HEADER_NAME.fullmatch(header):
        raise ConversationSettingsError(
            f"conversation_header: {header!r} is no header's name; write letters, digits and -"
        )
    limits = RecordLimits(retention_s, document.most_per_tenant, document.most_answer_bytes)
    return ConversationSettings(version, limits, header.lower().encode())


def read(text: bytes) -> ConversationSettings:
    """Read and validate the settings in a JSON text.  Raises ConversationSettingsError."""
    if len(text) > MAX_TEXT_BYTES:
        raise ConversationSettingsError(f"the settings have {len(text)} bytes; {MAX_TEXT_BYTES} at most")
    try:
        return compile_settings(msgspec.json.decode(text, type=ConversationSettingsDocument))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConversationSettingsError(f"the settings of conversations: {error}") from None
