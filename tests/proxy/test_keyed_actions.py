"""Keyed actions at a proxy: keys, digests, stored answers, and claims whose calls to the core fail."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from ivymux.data_plane.frontend import Answer, BadRequest
from ivymux.proxy.action_claims import ActionClaims
from ivymux.proxy.keyed_actions import (
    HEADER,
    answer_for_verdict,
    encode_answer,
    make_action,
    parse_key,
    replay_answer,
)
from ivymux.transport.connection import TransportError
from ivymux.transport.connector import Connector


@pytest.mark.parametrize(
    ("value", "key"),
    [(b'"a"', b"a"), (b"a-b_c", b"a-b_c"), (b'"with a space"', b"with a space"), (b'"a\\"b"', b'a\\"b'),
     (b"x" * 255, b"x" * 255)],
)  # fmt: skip
def test_a_key_is_a_quoted_string_or_a_bare_token(value: bytes, key: bytes) -> None:
    assert parse_key([(HEADER, value)]) == key


@pytest.mark.parametrize("values", [[b'""'], [b'"a'], [b"a b"], [b""], [b"x" * 256], [b"\xff"], [b"a", b"b"]])
def test_a_malformed_key_is_rejected(values: list[bytes]) -> None:
    with pytest.raises(BadRequest, match="Idempotency-Key"):
        parse_key([(HEADER, value) for value in values])


def action(
    tenant: str = "t", key: bytes = b"k", body: bytes = b"b", target: bytes = b"/x", **more: Any
) -> Any:
    headers = [(HEADER, key), *more.get("headers", [])]
    return make_action(headers, tenant, b"Bearer 1", b"x-matter", b"POST", b"h", target, (body,))


def test_keys_are_scoped_to_a_tenant_and_digested_parts_do_not_run_together() -> None:
    assert action().key != action(tenant="u").key
    assert action(tenant="t", key=b"uk").key != action(tenant="tu", key=b"k").key
    assert (action().request_digest, action().body_digest) == (
        action(key=b"l").request_digest,
        action(key=b"l").body_digest,
    )
    assert (
        action().body_digest != action(body=b"c").body_digest
        and action().request_digest != action(target=b"/y").request_digest
    )
    named = action(headers=[(b"x-matter", b"7")])
    assert named.key == action().key and named.conversation != action().conversation


def test_a_stored_answer_is_replayed_to_a_retry() -> None:
    first = Answer(201, b"\x00body", headers=[(b"server-seal", b"s"), (b"try-id", b"one"), (b"x", b"\xe9")])
    answer = replay_answer(encode_answer(first, 1000), b"two")
    assert (answer.status, answer.body) == (201, b"\x00body")
    assert answer.headers is not None and dict(answer.headers) == {
        b"server-seal": b"s", b"x": b"\xe9", b"try-id": b"two", b"idempotent-replayed": b"true",
    }  # fmt: skip
    assert encode_answer(Answer(200, b"x" * 50), 40) == "" and encode_answer(Answer(200, b"x" * 38), 40) == ""
    not_stored = answer_for_verdict("answered", 0.0, "", "", b"")
    assert not_stored.status == 409 and not_stored.retry_after == 0


class Core:
    """A connection to the core that gives these replies in order, and then repeats the last one."""

    def __init__(self, *replies: Any) -> None:
        self.replies, self.received = list(replies), list[dict[str, Any]]()

    async def call(self, message: dict[str, Any], timeout: float) -> Any:
        self.received.append(message)
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if isinstance(reply, Exception):
            raise reply
        return reply


@pytest.mark.parametrize(
    ("replies", "status", "is_ended"),
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
def test_a_claim_without_a_usable_reply_is_answered_and_ended_as_not_run(
    replies: list[Any], status: int | None, is_ended: bool
) -> None:
    async def scenario() -> None:
        core = Core(*replies)
        claims = ActionClaims(lambda: [cast(Connector, core)])
        loop = asyncio.get_running_loop()
        claim = claims.make_claim(action(), loop.time() + 0.4, b"try")
        acquired: asyncio.Future[Answer | None] = loop.create_future()
        claim.acquire(acquired.set_result)
        answer = await asyncio.wait_for(acquired, 5.0)  # fails if the callback is never called
        assert (answer.status if answer is not None else None) == status
        before = len(core.received)
        core.replies = [{"ok": True}]
        claim.finish(None, ran=False)
        claim.finish(None, ran=True)  # a second end has no effect
        await claims.finish(1.0)
        sent = core.received[before:]
        assert [message["state"] for message in sent] == (["free"] if is_ended else [])
        assert "claimed" in claims.log_line() and claims.log_line() == ""

    asyncio.run(scenario())
