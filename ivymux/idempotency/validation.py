"""Validation of the settings of conversations with pyserde, as the registry accepts them.  Pure.

Importing this module takes long, as pyserde generates code: proxies do without it.
"""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.idempotency import settings
from ivymux.idempotency.settings import ConversationSettings, ConversationSettingsError

serde(settings.ConversationSettingsDocument)


def read(text: bytes) -> ConversationSettings:
    """Read and validate the settings in a JSON text.  Raises ConversationSettingsError."""
    compiled = settings.read(text)
    try:
        from_dict(settings.ConversationSettingsDocument, msgspec.json.decode(text))
    except SerdeError as error:
        problem = " ".join(str(error).split())
        raise ConversationSettingsError(f"the settings of conversations: {problem}") from None
    return compiled
