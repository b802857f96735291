"""The book of tickets: a claim goes once, only its own end frees it; copies compared and mended by ranges."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from ivymux.idempotency.record_store import (
    ANSWERED,
    DIFFERS,
    DONE,
    FREE,
    FREE_KEPT,
    FULL,
    GO,
    IN_HAND,
    LOST,
    MAX_ANSWER,
    NOTE,
    UNKNOWN,
    IdempotencyRecord,
    IdempotencyRecordError,
    RecordStore,
    Rules,
    place,
)  # fmt: skip

RULES = Rules(kept=900.0, most_for_tenant=3, most_answer=50)


def ticket(key: int, claim: str = "d/1", tenant: str = "t", **more: object) -> IdempotencyRecord:
    made = IdempotencyRecord(f"{key:032x}", tenant, claim, "place", "body", 4.0)
    return replace(made, **more)


def test_a_key_is_claimed_once_and_ended_by_its_own_claim() -> None:
    book, one, other = RecordStore(), ticket(1), ticket(1, "d/2")
    assert book.judge(one, RULES, 10.0).kind == GO
    assert book.take(replace(one, number=1), 10.0)
    assert book.judge(one, RULES, 10.1).kind == GO  # the same claim, asked again
    said = book.judge(other, RULES, 11.0)
    assert said.kind == IN_HAND and said.after > 0
    assert book.judge(other, RULES, 15.0).kind == UNKNOWN  # its door has not ended it within its time
    assert book.ended(one.key, "d/2", FREE, "", RULES) is None
    done = book.ended(one.key, "d/1", DONE, "answer", RULES)
    assert done is not None and book.take(replace(done, number=2), 15.0)
    assert book.judge(other, RULES, 16.0).answer == "answer"
    assert book.ended(one.key, "d/1", FREE, "", RULES) is None  # an end is not taken back
    assert book.judge(replace(other, body="b2"), RULES, 16.0).what == "body"
    assert book.judge(replace(other, place="p2"), RULES, 16.0).kind == DIFFERS


@pytest.mark.parametrize(("state", "verdict"), [(FREE, GO), (LOST, UNKNOWN), (DONE, ANSWERED)])
def test_what_an_end_means_for_the_next_claim(state: str, verdict: str) -> None:
    book = RecordStore()
    book.take(ticket(1, number=1), 0.0)
    ended = book.ended(f"{1:032x}", "d/1", state, "a", RULES)
    assert ended is not None and book.take(replace(ended, number=2), 1.0)
    assert book.judge(ticket(1, "d/9"), RULES, 2.0).kind == verdict


def test_a_late_copy_undoes_nothing() -> None:
    book = RecordStore()
    free = ticket(1, state=FREE, number=7)
    assert book.take(free, 0.0) and not book.take(ticket(1, number=6), 1.0)
    assert book.tickets[free.key] == free


def test_one_tenant_that_fills_its_part_is_told_and_no_other() -> None:
    book = RecordStore()
    for key in range(3):
        book.take(ticket(key, number=key + 1), 0.0)
    assert book.judge(ticket(9), RULES, 1.0).kind == FULL
    assert book.judge(ticket(9, tenant="u"), RULES, 1.0).kind == GO
    assert book.judge(ticket(1, "d/5"), RULES, 1.0).kind == IN_HAND  # what it has is known all the same


def test_a_full_book_refuses_who_has_more_than_an_even_part(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ivymux.idempotency.record_store.MAX_TICKETS", 4)
    book, rules = RecordStore(), Rules(most_for_tenant=100)
    for key in range(3):
        book.take(ticket(key, number=key + 1), 0.0)
    book.take(ticket(7, tenant="u", number=9), 0.0)
    assert book.judge(ticket(9), rules, 1.0).kind == FULL
    assert book.judge(ticket(9, tenant="u"), rules, 1.0).kind == GO


def test_an_answer_over_the_bound_is_not_kept_and_its_ticket_is() -> None:
    book = RecordStore()
    book.take(ticket(1, number=1), 0.0)
    ended = book.ended(f"{1:032x}", "d/1", DONE, "x" * 51, RULES)
    assert ended is not None and ended.state == DONE and ended.answer == ""


def test_tickets_age_and_free_ones_sooner() -> None:
    book = RecordStore()
    book.take(ticket(1, state=DONE, number=1), 0.0)
    book.take(ticket(2, state=FREE, number=2), 1.0)
    assert book.aged(RULES, FREE_KEPT) == []
    assert book.aged(RULES, FREE_KEPT + 2) == [f"{2:032x}"]
    assert set(book.aged(RULES, 901.5)) == {f"{1:032x}", f"{2:032x}"}
    book.take(ticket(3, NOTE + "n", number=3), 0.0)
    assert f"{3:032x}" not in book.aged(RULES, 1e9)


def test_copies_that_differ_anywhere_are_mended_to_the_newer() -> None:
    chance = random.Random(5)
    for _ in range(60):
        mine, other = RecordStore(), RecordStore()
        for number in range(1, 80):
            made = ticket(chance.getrandbits(128), number=number, state=chance.choice((DONE, FREE, "open")))
            for book in (mine, other):
                if chance.random() < 0.9:
                    book.take(made, 0.0)
                elif chance.random() < 0.3:
                    book.take(replace(made, number=number + 100, state=LOST), 0.0)
        differing = mine.differing(other.digests)
        assert bool(differing) == (mine.root() != other.root())
        for at, tickets in mine.inside(differing).items():
            for key, _ in other.mend(at, tickets, 1.0):
                assert place(key) == at
        assert other.root() == mine.root() and other.tickets == mine.tickets
        assert other.held == mine.held and other.bytes == mine.bytes


def test_a_ticket_that_no_process_sends_is_refused() -> None:
    whole = ticket(1, number=3).wire()
    assert IdempotencyRecord.read(whole).number == 3
    for at, wrong in (
        (0, "short"),
        (0, "z" * 32),
        (6, "gone"),
        (7, None),
        (8, "x" * (MAX_ANSWER + 1)),
        (5, "s"),
    ):
        with pytest.raises(IdempotencyRecordError):
            IdempotencyRecord.read([*whole[:at], wrong, *whole[at + 1 :]])
    with pytest.raises(IdempotencyRecordError):
        IdempotencyRecord.read(whole[:-1])
