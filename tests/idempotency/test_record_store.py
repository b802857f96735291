"""The record store: one claim per key, which alone ends its record; comparison and repair of copies."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from ivymux.idempotency.record_store import (
    ANSWERED,
    DONE,
    FREE,
    FREE_RETENTION_S,
    IN_PROGRESS,
    LIMIT_REACHED,
    LOST,
    MAX_ANSWER_CHARS,
    MISMATCH,
    OUTCOME_UNKNOWN,
    PROCEED,
    SETTING_CLAIM_PREFIX,
    IdempotencyRecord,
    IdempotencyRecordError,
    RecordLimits,
    RecordStore,
    key_range,
    range_interval,
)  # fmt: skip

LIMITS = RecordLimits(retention_s=900.0, max_per_tenant=3, max_answer_chars=50)


def record(key: int, claim: str = "d/1", tenant: str = "t", **fields: object) -> IdempotencyRecord:
    made = IdempotencyRecord(f"{key:032x}", tenant, claim, "place", "body", 4.0)
    return replace(made, **fields)


def test_a_key_is_claimed_once_and_ended_only_by_its_claim() -> None:
    store, first, second = RecordStore(), record(1), record(1, "d/2")
    assert store.judge_claim(first, LIMITS, 10.0).kind == PROCEED
    assert store.apply(replace(first, change_number=1), 10.0)
    assert store.judge_claim(first, LIMITS, 10.1).kind == PROCEED  # the same claim again
    verdict = store.judge_claim(second, LIMITS, 11.0)
    assert verdict.kind == IN_PROGRESS and verdict.retry_after_s > 0
    # The first claim has not ended the record within its lifetime.
    assert store.judge_claim(second, LIMITS, 15.0).kind == OUTCOME_UNKNOWN
    assert store.ended_record(first.key, "d/2", FREE, "", LIMITS) is None
    done = store.ended_record(first.key, "d/1", DONE, "answer", LIMITS)
    assert done is not None and store.apply(replace(done, change_number=2), 15.0)
    assert store.judge_claim(second, LIMITS, 16.0).answer == "answer"
    assert store.ended_record(first.key, "d/1", FREE, "", LIMITS) is None  # an ended record stays ended
    assert store.judge_claim(replace(second, body_digest="b2"), LIMITS, 16.0).mismatch == "body"
    assert store.judge_claim(replace(second, request_digest="p2"), LIMITS, 16.0).kind == MISMATCH


@pytest.mark.parametrize(("state", "verdict"), [(FREE, PROCEED), (LOST, OUTCOME_UNKNOWN), (DONE, ANSWERED)])
def test_the_end_state_decides_the_verdict_on_the_next_claim(state: str, verdict: str) -> None:
    store = RecordStore()
    store.apply(record(1, change_number=1), 0.0)
    ended = store.ended_record(f"{1:032x}", "d/1", state, "a", LIMITS)
    assert ended is not None and store.apply(replace(ended, change_number=2), 1.0)
    assert store.judge_claim(record(1, "d/9"), LIMITS, 2.0).kind == verdict


def test_a_delayed_older_state_is_ignored() -> None:
    store = RecordStore()
    free = record(1, state=FREE, change_number=7)
    assert store.apply(free, 0.0) and not store.apply(record(1, change_number=6), 1.0)
    assert store.records[free.key] == free


def test_a_tenant_at_its_limit_is_refused_and_no_other_tenant() -> None:
    store = RecordStore()
    for key in range(3):
        store.apply(record(key, change_number=key + 1), 0.0)
    assert store.judge_claim(record(9), LIMITS, 1.0).kind == LIMIT_REACHED
    assert store.judge_claim(record(9, tenant="u"), LIMITS, 1.0).kind == PROCEED
    assert store.judge_claim(record(1, "d/5"), LIMITS, 1.0).kind == IN_PROGRESS  # known keys are still judged


def test_a_full_store_refuses_a_tenant_above_an_even_share(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ivymux.idempotency.record_store.MAX_RECORDS", 4)
    store, limits = RecordStore(), RecordLimits(max_per_tenant=100)
    for key in range(3):
        store.apply(record(key, change_number=key + 1), 0.0)
    store.apply(record(7, tenant="u", change_number=9), 0.0)
    assert store.judge_claim(record(9), limits, 1.0).kind == LIMIT_REACHED
    assert store.judge_claim(record(9, tenant="u"), limits, 1.0).kind == PROCEED


def test_a_record_is_kept_without_an_answer_that_is_too_long() -> None:
    store = RecordStore()
    store.apply(record(1, change_number=1), 0.0)
    ended = store.ended_record(f"{1:032x}", "d/1", DONE, "x" * 51, LIMITS)
    assert ended is not None and ended.state == DONE and ended.answer == ""


def test_records_expire_and_free_ones_sooner() -> None:
    store = RecordStore()
    store.apply(record(1, state=DONE, change_number=1), 0.0)
    store.apply(record(2, state=FREE, change_number=2), 1.0)
    assert store.expired_keys(LIMITS, FREE_RETENTION_S) == []
    assert store.expired_keys(LIMITS, FREE_RETENTION_S + 2) == [f"{2:032x}"]
    assert set(store.expired_keys(LIMITS, 901.5)) == {f"{1:032x}", f"{2:032x}"}
    store.apply(record(3, SETTING_CLAIM_PREFIX + "n", change_number=3), 0.0)
    assert f"{3:032x}" not in store.expired_keys(LIMITS, 1e9)


# Guards against an action that runs twice: its record was removed while its claim could still end it.
def test_an_open_record_is_kept_for_its_lifetime_and_the_retention_time() -> None:
    limits = RecordLimits(retention_s=60.0)
    store = RecordStore()
    long_lived = replace(record(1, change_number=1), lifetime_s=602.0)
    store.apply(long_lived, 0.0)
    store.apply(record(2, change_number=2, state=DONE), 1.0)
    assert store.expired_keys(limits, 62.0) == [f"{2:032x}"]  # and an older open one does not keep it
    assert store.judge_claim(replace(long_lived, claim="d/2"), limits, 500.0).kind == IN_PROGRESS
    assert store.judge_claim(replace(long_lived, claim="d/2"), limits, 650.0).kind == OUTCOME_UNKNOWN
    assert f"{1:032x}" not in store.expired_keys(limits, 661.0)
    assert f"{1:032x}" in store.expired_keys(limits, 663.0)


def test_copies_that_differ_are_repaired_to_the_newer() -> None:
    chance = random.Random(5)
    for _ in range(60):
        newer, older = RecordStore(), RecordStore()
        for number in range(1, 80):
            key = chance.getrandbits(128)
            made = record(key, change_number=number, state=chance.choice((DONE, FREE, "open")))
            for store in (newer, older):
                if chance.random() < 0.9:
                    store.apply(made, 0.0)
                elif chance.random() < 0.3:
                    store.apply(replace(made, change_number=number + 100, state=LOST), 0.0)
        differing = newer.differing_ranges(older.digests)
        assert bool(differing) == (newer.root_digest() != older.root_digest())
        for number, records in newer.records_in_ranges(differing).items():
            for changed, _ in older.repair([range_interval(number, records)], 1.0):
                assert key_range(changed) == number
        assert older.root_digest() == newer.root_digest() and older.records == newer.records
        assert older.counts_by_tenant == newer.counts_by_tenant
        assert older.answer_chars == newer.answer_chars


def test_a_malformed_record_is_rejected() -> None:
    fields = record(1, change_number=3).to_wire()
    assert IdempotencyRecord.from_wire(fields).change_number == 3
    for position, wrong in (
        (0, "short"),
        (0, "z" * 32),
        (0, "A" * 32),
        (6, "gone"),
        (7, None),
        (8, "x" * (MAX_ANSWER_CHARS + 1)),
        (5, "s"),
    ):
        with pytest.raises(IdempotencyRecordError):
            IdempotencyRecord.from_wire([*fields[:position], wrong, *fields[position + 1 :]])
    with pytest.raises(IdempotencyRecordError):
        IdempotencyRecord.from_wire(fields[:-1])
