"""An action's key, ticket and answers at a door; claims that hear of nobody or of nonsense."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from ivymux.data_plane.frontend import Answer, BadRequest
from ivymux.proxy.action_claims import ActionClaims
from ivymux.proxy.keyed_actions import (
    FIELD,
    answer_for_verdict,
    encode_answer,
    make_action,
    parse_key,
    replay_answer,
)
from ivymux.transport.connection import Connector, TransportError


@pytest.mark.parametrize(
    ("value", "key"),
    [(b'"a"', b"a"), (b"a-b_c", b"a-b_c"), (b'"with a space"', b"with a space"), (b'"a\\"b"', b'a\\"b'),
     (b"x" * 255, b"x" * 255)],
)  # fmt: skip
def test_a_key_is_a_text_in_quotes_or_a_bare_word(value: bytes, key: bytes) -> None:
    assert parse_key([(FIELD, value)]) == key


@pytest.mark.parametrize("values", [[b'""'], [b'"a'], [b"a b"], [b""], [b"x" * 256], [b"\xff"], [b"a", b"b"]])
def test_what_is_no_key_is_refused(values: list[bytes]) -> None:
    with pytest.raises(BadRequest, match="Idempotency-Key"):
        parse_key([(FIELD, value) for value in values])


def made(tenant: str = "t", key: bytes = b"k", body: bytes = b"b", target: bytes = b"/x", **more: Any) -> Any:
    headers = [(FIELD, key), *more.get("headers", [])]
    return make_action(headers, tenant, b"Bearer 1", b"x-matter", b"POST", b"h", target, body)


def test_keys_are_a_tenants_own_and_parts_do_not_run_together() -> None:
    assert made().key != made(tenant="u").key
    assert made(tenant="t", key=b"uk").key != made(tenant="tu", key=b"k").key
    assert (made().place, made().body) == (made(key=b"l").place, made(key=b"l").body)
    assert made().body != made(body=b"c").body and made().place != made(target=b"/y").place
    named = made(headers=[(b"x-matter", b"7")])
    assert named.key == made().key and named.name != made().name


def test_a_kept_answer_comes_back_for_another_try() -> None:
    first = Answer(201, b"\x00body", headers=[(b"server-seal", b"s"), (b"try-id", b"one"), (b"x", b"\xe9")])
    answer = replay_answer(encode_answer(first, 1000), b"two")
    assert (answer.status, answer.body) == (201, b"\x00body")
    assert answer.headers is not None and dict(answer.headers) == {
        b"server-seal": b"s", b"x": b"\xe9", b"try-id": b"two", b"idempotent-replayed": b"true",
    }  # fmt: skip
    assert encode_answer(Answer(200, b"x" * 50), 40) == "" and encode_answer(Answer(200, b"x" * 38), 40) == ""
    told = answer_for_verdict("answered", 0.0, "", "", b"")
    assert told.status == 409 and told.retry_after == 0


class Core:
    """A line to the core that says one thing."""

    def __init__(self, *says: Any) -> None:
        self.says, self.heard = list(says), list[dict[str, Any]]()

    async def call(self, message: dict[str, Any], timeout: float) -> Any:
        self.heard.append(message)
        said = self.says.pop(0) if len(self.says) > 1 else self.says[0]
        if isinstance(said, Exception):
            raise said
        return said


@pytest.mark.parametrize(
    ("says", "status", "ends"),
    [
        ([TransportError("gone")], 503, True), ([{"ok": False}], 503, True), ([{"ok": True}], 503, True),
        ([{"ok": True, "verdict": "answered", "after": 0, "answer": "{", "what": ""}], 503, True),
        ([{"ok": True, "verdict": "in hand", "after": 0.3, "answer": "", "what": ""}], 409, False),
        (
            [TransportError("x"), {"ok": True, "verdict": "go", "after": 0, "answer": "", "what": ""}],
            None, True,
        ),
    ],
)  # fmt: skip
def test_a_claim_that_was_not_granted_sends_nothing_and_is_ended_as_not_run(
    says: list[Any], status: int | None, ends: bool
) -> None:
    async def day() -> None:
        core = Core(*says)
        claims = ActionClaims(lambda: [cast(Connector, core)])
        loop = asyncio.get_running_loop()
        claim = claims.make(made(), loop.time() + 0.4, b"try")
        heard: asyncio.Future[Answer | None] = loop.create_future()
        claim.acquire(heard.set_result)
        answer = await asyncio.wait_for(heard, 5.0)  # else nobody is ever told
        assert (answer.status if answer is not None else None) == status
        before = len(core.heard)
        core.says = [{"ok": True}]
        claim.finish(None, ran=False)
        claim.finish(None, ran=True)  # a second end is none
        await claims.finish(1.0)
        told = core.heard[before:]
        assert [m["state"] for m in told] == (["free"] if ends else [])
        assert "claimed" in claims.line() and claims.line() == ""

    asyncio.run(day())
