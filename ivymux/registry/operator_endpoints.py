"""The operators' endpoints about configurations and about the settings of conversations."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

import msgspec

from ivymux.config_store.calls import Call as StoreCall
from ivymux.config_store.calls import PutConfiguration, PutSetting, encode
from ivymux.config_store.history import ChangeOutcome
from ivymux.data_plane.frontend import Answer
from ivymux.idempotency import CONVERSATIONS
from ivymux.registry import message_kinds as kinds
from ivymux.routing_config.route_plan import RoutingConfigError
from ivymux.transport.connection import TransportError
from ivymux.transport.connector import Connector
from ivymux.transport.frames import MAX_FRAME_BYTES, Message
from ivymux.transport.http_calls import JSON, HttpRequest, endpoint, error_answer

# Of a configuration within a message, where a quote or a line break takes two bytes; the rest of the largest
# frame is for the history that is sent with it.
MAX_STORED_TEXT_BYTES = MAX_FRAME_BYTES - (1 << 20)
TEXT_TOO_LONG = (
    "the configuration takes {} bytes in a message between machines, {} at most; quotes and line breaks"
    " count twice: send it without indentation, or with fewer routes"
)
STORE_CALL_TIMEOUT_S = 0.95  # operators send a call to another core machine after 1 s without an answer
CONFIG_READ_TIMEOUT_S = 0.9
APPLY_TIMEOUT_S = 0.3  # within STORE_CALL_TIMEOUT_S, for the proxies to put a configuration in force


def rejection_answer(version: int, reply: Message) -> Answer:
    """The answer to an operator whose change was not accepted, from the config store's reply."""
    if reply["outcome"] == ChangeOutcome.CONFLICT.value:
        digests = f"digest {reply['known_digest']}, this one {reply['digest']}"
        why = f"version {version} was taken with other content ({digests})"
        return error_answer(409, f"{why}; read the configuration, and send the change under a higher version")
    body = {
        "config_version": version, "outcome": reply["outcome"], "digest": reply["digest"],
        "held_version": reply["held_version"], "held_digest": reply["known_digest"],
    }  # fmt: skip
    return Answer(200, msgspec.json.encode(body), JSON)


class OperatorEndpoints(ABC):
    """The part of `Registry` that declares these endpoints, as a base class."""

    config_store: Connector
    replicated_settings: dict[str, tuple[int, str]]  # versions and texts by name

    @abstractmethod
    async def wait_until_applied(self, version: int, timeout: float) -> None:
        """Wait until all connected proxies have a configuration in force, at most `timeout` seconds."""

    @endpoint("PUT", "/configuration")
    async def put_configuration(self, request: HttpRequest) -> Answer:
        """Check a configuration and have the config store take it."""
        from ivymux.routing_config.validation import parse_route_plan  # slow import, deferred until needed

        try:
            plan = parse_route_plan(request.body)
            text = request.body.decode()
        except RoutingConfigError as error:
            return error_answer(400, str(error))
        except UnicodeDecodeError:
            return error_answer(400, "the configuration is not UTF-8")
        if (stored_bytes := len(msgspec.json.encode(text))) > MAX_STORED_TEXT_BYTES:
            return error_answer(400, TEXT_TOO_LONG.format(stored_bytes, MAX_STORED_TEXT_BYTES))
        began = time.monotonic()
        reply = await self.store(PutConfiguration(plan.version, text))
        if isinstance(reply, Answer):
            return reply
        if reply["outcome"] != ChangeOutcome.STORED.value:
            return rejection_answer(plan.version, reply)
        # The change is final whatever the proxies do, but connected ones should apply it before the answer.
        left_s = STORE_CALL_TIMEOUT_S - (time.monotonic() - began)
        await self.wait_until_applied(plan.version, min(APPLY_TIMEOUT_S, left_s))
        body = {"config_version": plan.version, "outcome": reply["outcome"], "digest": reply["digest"]}
        return Answer(200, msgspec.json.encode(body), JSON)

    async def store(self, call: StoreCall) -> Message | Answer:
        """Have a change stored; return the config store's reply, or an error answer for the operator."""
        try:
            reply = await self.config_store.call(encode(call), STORE_CALL_TIMEOUT_S)
        except TransportError as error:
            return error_answer(503, f"the store of configuration does not answer: {error}; repeat the call")
        if not reply.get("ok"):
            return error_answer(503, "no core machine can take a change just now; repeat the call")
        return reply

    @endpoint("GET", "/configuration")
    async def get_configuration(self, request: HttpRequest) -> Answer:
        """The newest configuration, as the config store's primary knows it."""
        try:
            reply = await self.config_store.call({"k": kinds.CONFIG_READ}, CONFIG_READ_TIMEOUT_S)
        except TransportError as error:
            return error_answer(503, f"the store of configuration does not answer: {error}; repeat the call")
        if not reply.get("ok"):
            return error_answer(
                503, "no core machine can answer for the newest configuration just now; repeat the call"
            )
        if int(reply["v"]) < 0:
            return error_answer(404, "there is no configuration yet; send one by PUT /configuration")
        return Answer(200, str(reply["t"]).encode(), JSON)

    @endpoint("PUT", "/conversations")
    async def put_conversations(self, request: HttpRequest) -> Answer:
        """Check the settings of conversations and have the config store take them."""
        from ivymux.idempotency.settings import ConversationSettingsError
        from ivymux.idempotency.validation import read  # slow import, deferred until needed

        try:
            settings = read(request.body)
            text = request.body.decode()
        except ConversationSettingsError as error:
            return error_answer(400, str(error))
        reply = await self.store(PutSetting(CONVERSATIONS, settings.version, text))
        if isinstance(reply, Answer):
            return reply
        if reply.get("taken") is False:
            why = f"version {settings.version} was taken with other settings; send these under a higher one"
            return error_answer(409, why)
        return Answer(200, msgspec.json.encode({"settings_version": settings.version}), JSON)

    @endpoint("GET", "/conversations")
    async def get_conversations(self, request: HttpRequest) -> Answer:
        """The settings that this machine knows; a partitioned core machine may know older ones."""
        _, text = self.replicated_settings.get(CONVERSATIONS, (-1, ""))
        if not text:
            return error_answer(404, "there are no settings of conversations; the defaults are in force")
        return Answer(200, text.encode(), JSON)
