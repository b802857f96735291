"""How requests ended, as metrics and the log line of a stop tell it."""

from __future__ import annotations

from ivymux.data_plane.frontend import Answer
from ivymux.data_plane.request_endings import RequestEndings


def test_answers_are_counted_by_who_made_them_and_whether_an_attempt_was_broken_off() -> None:
    endings = RequestEndings(broken_off_attempts=3)
    earlier = endings.copy()
    for status in (200, 500):
        endings.record_answer(Answer(status, headers=[]), has_broken_off=True)  # of a backend
    for status in (429, 503, 504):
        endings.record_answer(Answer(status), has_broken_off=False)
    endings.record_answer(Answer(504), has_broken_off=True)
    endings.broken_off_attempts += 1
    assert endings.since(earlier) == RequestEndings(2, 4, 2, broken_off_attempts=1, replaced_answers=1)
    assert earlier == RequestEndings(broken_off_attempts=3)
    assert endings.since(earlier).describe() == (
        "2 requests answered by backends, 4 by the gateway (2 as failed, 1 of these after an attempt was"
        " broken off), 1 attempts broken off"
    )
