"""Backends that answer wrongly, while proxies are stopped and reloaded: a short run, and its checks."""

from __future__ import annotations

import asyncio
from pathlib import Path

import httpx
import pytest

from bench.backend_faults import (
    BrokenRuleError,
    Exchange,
    GivenAnswer,
    check,
    expected_body,
    play,
)

SEED, REQUESTS = 7, 600
SOUND, FAILURE, REFUSAL = GivenAnswer(200, True), GivenAnswer(500, True), GivenAnswer(503, True)
SEAL = {"server-seal": "seal-r1"}


def test_no_rule_is_broken_whatever_backends_answer(tmp_path: Path) -> None:
    clients, answers, _ = asyncio.run(play(REQUESTS, SEED, tmp_path))
    assert len(clients.exchanges) == REQUESTS
    for exchange in clients.exchanges:
        check(exchange, answers.given.get(exchange.id, []))
    assert len(answers.counts) == 13  # each kind of answer was given


def exchange(path: str, answer: httpx.Response | None) -> Exchange:
    return Exchange("r1", path, answer, waited=True, seconds=0.1)


def success(path: str = "/sign/1") -> httpx.Response:
    return httpx.Response(200, headers=SEAL, content=expected_body("r1", path))


@pytest.mark.parametrize(
    ("rule", "answer", "given"),
    [
        ("TWICE", success(), [SOUND, SOUND]),
        ("LOST", None, [SOUND]),
        ("MIXED", httpx.Response(200, headers=SEAL, content=b"half"), [SOUND]),
        ("MIXED", httpx.Response(200, content=expected_body("r1", "/sign/1")), [SOUND]),
        ("MIXED", success(), [FAILURE]),
        ("MIXED", httpx.Response(502, headers=SEAL), [FAILURE]),
        ("MIXED", httpx.Response(500, headers={"server-seal": "seal-r2"}), [FAILURE]),
        ("REFUSED", httpx.Response(503), [SOUND]),
    ],
)
def test_a_broken_rule_is_found(rule: str, answer: httpx.Response | None, given: list[GivenAnswer]) -> None:
    with pytest.raises(BrokenRuleError, match=rule):
        check(exchange("/sign/1", answer), given)


def test_what_the_rules_allow_is_not_found() -> None:
    check(exchange("/sign/1", success()), [REFUSAL, SOUND])
    check(exchange("/read/1", success("/read/1")), [FAILURE, SOUND])
    check(exchange("/sign/1", httpx.Response(502)), [GivenAnswer(200, False)])
    check(exchange("/sign/1", None), [])  # it has reached no backend
