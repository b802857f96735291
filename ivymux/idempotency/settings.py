"""The operators' settings of conversations: read and checked.  Pure.

They are kept by the store of configuration beside the users' configuration, whose text stays as it was sent.
Whoever takes them reads them by pyserde besides (`ivymux.idempotency.validation`); a door reads them by
msgspec.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import msgspec

from ivymux.idempotency.record_store import MAX_ANSWER, Rules

MAX_TEXT = 16 << 10  # bytes
TIME = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h)", re.ASCII)
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
LEAST_KEPT, MAX_KEPT = 60.0, 24 * 3600.0  # seconds
NAME = re.compile(r"[A-Za-z0-9-]{1,64}", re.ASCII)


class TermsError(ValueError):
    """Settings that cannot be used; the text is one plain line with the place and the mend."""


@dataclass
class TermsDocument:
    """As an operator sends them."""

    settings_version: int
    kept_for: str = "15m"
    most_per_tenant: int = 10_000
    most_answer_bytes: int = 16 << 10
    conversation_header: str = ""


@dataclass(frozen=True, slots=True)
class Terms:
    """As they are used; `header`: the lower-case header that names a conversation, empty for none."""

    version: int = -1
    rules: Rules = field(default_factory=Rules)
    header: bytes = b""


def compile(document: TermsDocument) -> Terms:
    """Raises TermsError."""
    version = document.settings_version
    if isinstance(version, bool) or version < 0:
        raise TermsError("settings_version: write a whole number of 0 or more")
    found = TIME.fullmatch(document.kept_for)
    kept = float(found[1]) * UNITS[found[2]] if found else -1.0
    if not LEAST_KEPT <= kept <= MAX_KEPT:
        raise TermsError(f"kept_for: {document.kept_for!r}; write a time from 60s to 24h, as 15m")
    if not 1 <= document.most_per_tenant <= 50_000:
        raise TermsError(f"most_per_tenant: {document.most_per_tenant}; write 1 to 50000")
    if not 0 <= document.most_answer_bytes <= MAX_ANSWER:
        raise TermsError(f"most_answer_bytes: {document.most_answer_bytes}; write 0 to {MAX_ANSWER}")
    name = document.conversation_header
    if name and not NAME.fullmatch(name):
        raise TermsError(f"conversation_header: {name!r} is no header's name; write letters, digits and -")
    rules = Rules(kept, document.most_per_tenant, document.most_answer_bytes)
    return Terms(version, rules, name.lower().encode())


def read(text: bytes) -> Terms:
    """The settings in a text.  Raises TermsError."""
    if len(text) > MAX_TEXT:
        raise TermsError(f"the settings have {len(text)} bytes; {MAX_TEXT} at most")
    try:
        return compile(msgspec.json.decode(text, type=TermsDocument))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise TermsError(f"the settings of conversations: {error}") from None
