"""Decodes operators' calls about trials by msgspec and by pyserde; both have to accept a call.  Pure.

Importing pyserde takes long: import this module only where such a call is served.
"""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.fault_injection import trial_set
from ivymux.fault_injection.trial_set import EndDocument, TrialDocument, TrialError

serde(trial_set.TrialDocument)
serde(trial_set.EndDocument)


def decode_trial(text: bytes) -> TrialDocument:
    """Decode the body of a call that starts a trial.  Raises TrialError."""
    document = trial_set.decode_trial(text)
    try:
        from_dict(TrialDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TrialError(f"the trial: {' '.join(str(error).split())}") from None
    return document


def decode_end(text: bytes) -> EndDocument:
    """Decode the body of a call that ends a trial.  Raises TrialError."""
    document = trial_set.decode_end(text)
    try:
        from_dict(EndDocument, msgspec.json.decode(text))
    except SerdeError as error:
        raise TrialError(f"the end of a trial: {' '.join(str(error).split())}") from None
    return document
