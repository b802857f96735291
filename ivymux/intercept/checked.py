"""Trials as the core takes them: read by pyserde besides.  Pure.  Costly to import."""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.intercept import board
from ivymux.intercept.board import EndDocument, TrialDocument, TrialError

serde(board.TrialDocument)
serde(board.EndDocument)


def document(text: bytes) -> TrialDocument:
    """Raises TrialError."""
    made = board.document(text)
    try:
        from_dict(TrialDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TrialError(f"the trial: {' '.join(str(error).split())}") from None
    return made


def ending(text: bytes) -> EndDocument:
    """Raises TrialError."""
    made = board.ending(text)
    try:
        from_dict(EndDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TrialError(f"the end of a trial: {' '.join(str(error).split())}") from None
    return made
