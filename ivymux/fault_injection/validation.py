"""Trials as the core takes them: read by pyserde besides.  Pure.  Costly to import."""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.fault_injection import trial_set
from ivymux.fault_injection.trial_set import EndDocument, TrialDocument, TrialError

serde(trial_set.TrialDocument)
serde(trial_set.EndDocument)


def document(text: bytes) -> TrialDocument:
    """Raises TrialError."""
    made = trial_set.document(text)
    try:
        from_dict(TrialDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TrialError(f"the trial: {' '.join(str(error).split())}") from None
    return made


def ending(text: bytes) -> EndDocument:
    """Raises TrialError."""
    made = trial_set.ending(text)
    try:
        from_dict(EndDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TrialError(f"the end of a trial: {' '.join(str(error).split())}") from None
    return made
