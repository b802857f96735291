"""Reading from backends pauses while many bytes of answers are held, and goes on once clients have read."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ivymux.data_plane.answer_flow import MIN_PAUSED_BYTES, AnswerFlow

LIMIT = 1 << 20
CHUNK = 256 << 10


class Arriving:
    """An answer of some bytes, of which a chunk arrives whenever it is read."""

    def __init__(self, flow: AnswerFlow, size: int) -> None:
        self.flow, self.left, self.is_paused = flow, size, False

    def pause_reading(self) -> None:
        assert not self.is_paused
        self.is_paused = True

    def resume_reading(self) -> None:
        assert self.is_paused
        self.is_paused = False

    def read(self) -> None:
        size = min(self.left, CHUNK)
        self.left -= size
        self.flow.add(self, size)


# Guards against answers that arrive at once and together take more memory than the process has (issue 76).
@given(st.data())
def test_answers_come_to_their_end_within_the_limit_and_one_answer(data: st.DataObject) -> None:
    flow = AnswerFlow(LIMIT)
    sizes = data.draw(st.lists(st.integers(1, 3 * LIMIT), max_size=12))
    arriving = [Arriving(flow, size) for size in sizes]
    unread = 0
    flow.unread_bytes = lambda: unread
    while arriving:
        unread = data.draw(st.sampled_from([0, unread, LIMIT // 2, 2 * LIMIT]))
        flow.update()
        if all(answer.is_paused for answer in arriving):
            assert flow.is_held_up and unread and unread + next(iter(flow.sizes.values())) > LIMIT
            unread = 0
            flow.update()
        readable = [answer for answer in arriving if not answer.is_paused]
        assert readable and not (flow.is_held_up and not unread)
        answer = data.draw(st.sampled_from(readable))
        answer.read()
        _, *others = flow.sizes.values()
        assert sum(others) <= LIMIT + len(others) * (CHUNK + MIN_PAUSED_BYTES)
        if not answer.left:
            arriving.remove(answer)
            flow.remove(answer)
    assert not flow.held_bytes and not flow.sizes and not flow.paused


def test_an_answer_that_is_paused_goes_on_once_clients_have_read() -> None:
    flow = AnswerFlow(LIMIT)
    unread = LIMIT - CHUNK
    flow.unread_bytes = lambda: unread
    first, second = Arriving(flow, LIMIT), Arriving(flow, LIMIT)
    first.read()
    second.read()
    assert (first.is_paused, second.is_paused) == (False, True)
    unread = 0
    flow.update()
    assert not second.is_paused


# Guards against clients that are closed as slow readers because answers come faster than they can read.
def test_an_answer_that_clients_leave_no_room_for_waits_until_they_have_read() -> None:
    flow = AnswerFlow(LIMIT)
    unread = LIMIT // 2
    flow.unread_bytes = lambda: unread
    first, second = Arriving(flow, LIMIT), Arriving(flow, LIMIT)
    while not first.is_paused:
        first.read()
    second.read()
    assert flow.is_held_up and second.is_paused
    assert LIMIT < flow.sizes[first] + unread <= LIMIT + CHUNK
    unread = LIMIT // 4
    flow.update()
    assert (first.is_paused, second.is_paused) == (False, True)
