"""Settings of conversations as the core takes them: read by pyserde besides.  Pure.  Costly to import."""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.ticket import terms
from ivymux.ticket.terms import Terms, TermsError

serde(terms.TermsDocument)


def read(text: bytes) -> Terms:
    """The settings in a text.  Raises TermsError."""
    made = terms.read(text)
    try:
        from_dict(terms.TermsDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TermsError(f"the settings of conversations: {' '.join(str(error).split())}") from None
    return made
