"""What a door makes of an action with a caller's key: its ticket, its conversation, its answers.  Pure.

The key is the value of `Idempotency-Key` (the IETF's draft of that name): a text in quotes, or a bare word.
It is the tenant's own: two tenants' equal keys are two.
"""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from ivymux.data_plane.frontend import Answer, BadRequest, Headers
from ivymux.idempotency.record_store import ANSWERED, IN_PROGRESS, KEY_DIGITS, LIMIT_REACHED, MISMATCH

FIELD = b"idempotency-key"
KEY = re.compile(rb'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\]){1,255})"|([!#-\[\]-~]{1,255})')
REPLAYED = (b"idempotent-replayed", b"true")
BY_TRY = frozenset((b"try-id", b"connection", b"keep-alive"))  # of an answer, what belongs to its own try
UNKNOWN_TEXT = b"whether this action ran is not known; it is not sent again\n"


@dataclass(frozen=True, slots=True)
class Action:
    """One action by its key; digests only."""

    key: str
    tenant: str
    place: str  # of its method, host and target
    body: str
    name: str  # of its conversation


def digest(*parts: bytes, size: int = 8) -> str:
    made = blake2b(digest_size=size)
    for part in parts:
        made.update(b"%d:" % len(part))
        made.update(part)
    return made.hexdigest()


def parse_key(headers: Headers) -> bytes:
    """The caller's key.  Raises BadRequest."""
    values = [value for field, value in headers if field == FIELD]
    found = KEY.fullmatch(values[0]) if len(values) == 1 else None
    if found is None:
        raise BadRequest('Idempotency-Key: send it once, as a text of 1 to 255 characters in quotes: "a-key"')
    return found[1] if found[1] is not None else found[2]


def make_action(
    headers: Headers, tenant: str, auth: bytes, header: bytes, method: bytes, host: bytes, target: bytes,
    body: bytes,
) -> Action:  # fmt: skip
    """`header` names a conversation where it is sent, else the caller's own credentials do.

    Raises BadRequest.
    """
    name = next((value for field, value in headers if header and field == header), b"")
    return Action(
        digest(tenant.encode(), parse_key(headers), size=KEY_DIGITS // 2), tenant,
        digest(method, host, target), digest(body),
        digest(b"named", name) if name else digest(b"caller", auth),
    )  # fmt: skip


def encode_answer(answer: Answer, most: int) -> str:
    """An answer as a ticket keeps it; empty where it is longer than `most` characters."""
    if len(answer.body) > most:
        return ""
    fields = [
        [name.decode("latin-1"), value.decode("latin-1")]
        for name, value in answer.headers or ()
        if name not in BY_TRY
    ]
    wire = [answer.status, fields, b64encode(answer.body).decode()]
    text = msgspec.json.encode(wire).decode()
    return text if len(text) <= most else ""


def replay_answer(text: str, name: bytes) -> Answer:
    """A kept answer, for another try of the same action."""
    wire: Any = msgspec.json.decode(text)
    status, fields, body = wire
    headers = [(str(n).encode("latin-1"), str(v).encode("latin-1")) for n, v in fields]
    if name:
        headers.append((b"try-id", name))
    return Answer(int(status), b64decode(body), headers=[*headers, REPLAYED])


def answer_for_verdict(verdict: str, after: float, text: str, what: str, name: bytes) -> Answer:
    """What a caller is told whose action is not sent."""
    if verdict == IN_PROGRESS:
        return Answer(409, b"an action with this key is at work\n", retry_after=max(0.05, after))
    if verdict == ANSWERED:
        return (
            replay_answer(text, name)
            if text
            else Answer(409, b"this action has run; its answer was not kept\n")
        )
    if verdict == MISMATCH:
        return Answer(422, f"this key was sent with another {what}; give each action its own\n".encode())
    if verdict == LIMIT_REACHED:
        return Answer(429, b"too many actions are remembered for this caller\n", retry_after=max(0.1, after))
    return Answer(502, UNKNOWN_TEXT)
