"""Settings of conversations as the core takes them: read by pyserde besides.  Pure.  Costly to import."""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.idempotency import settings
from ivymux.idempotency.settings import Terms, TermsError

serde(settings.TermsDocument)


def read(text: bytes) -> Terms:
    """The settings in a text.  Raises TermsError."""
    made = settings.read(text)
    try:
        from_dict(settings.TermsDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TermsError(f"the settings of conversations: {' '.join(str(error).split())}") from None
    return made
