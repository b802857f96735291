"""Requests that carry an idempotency key: their claims, conversation affinity, and the settings of both.

Imported with the first such request, so that a proxy's start does not take the time to import this module.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ivymux.data_plane.body_buffer import Blocks
from ivymux.data_plane.frontend import Headers
from ivymux.idempotency.affinity import BUCKET_COUNT, HomeBackends, bucket_of
from ivymux.idempotency.settings import ConversationSettingsError, read
from ivymux.proxy.action_claims import ActionClaim, ActionClaims
from ivymux.proxy.keyed_actions import make_action
from ivymux.proxy.membership_view import UP, Backend
from ivymux.routing_config.route_plan import Route
from ivymux.runtime.log import Log
from ivymux.transport.connector import Connector

log = Log("proxy")


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request with a key: its claim, and the service and backend of its conversation."""

    claim: ActionClaim
    service: str
    home_backend: str  # id of the conversation's backend; empty if there is none


class KeyedRequests:
    """Prepares requests with keys, and keeps the home backends of their conversations."""

    def __init__(
        self, connectors: Callable[[], list[Connector]], backends: Callable[[], Iterable[Backend]]
    ) -> None:
        """`connectors`: to the core, the nearest first; `backends`: those present in the membership view."""
        self.claims, self.homes = ActionClaims(connectors), HomeBackends()
        self.backends = backends
        self.is_stale = True  # whether backends have changed since `homes` was last updated

    def prepare(
        self, route: Route, headers: Headers, tenant: str, authorization: bytes, method: bytes, host: bytes,
        target: bytes, body: Blocks, deadline: float, try_id: bytes,
    ) -> KeyedRequest:  # fmt: skip
        """Prepare a request's claim.  Raises BadRequest if its key is malformed."""
        header = self.claims.settings.header
        action = make_action(headers, tenant, authorization, header, method, host, target, body)
        conversation_bucket = bucket_of(tenant, action.conversation)
        # A conversation stays with one service where a route is split among several.
        service = route.choose_service((conversation_bucket + 0.5) / BUCKET_COUNT)
        claim = self.claims.make_claim(action, deadline, try_id)
        return KeyedRequest(claim, service, self.home_backend(service, conversation_bucket))

    def home_backend(self, service: str, conversation_bucket: int) -> str:
        """Return the id of the backend to which a bucket's conversations go; empty if there is none."""
        if self.is_stale:
            self.is_stale = False
            capacities: dict[str, dict[str, int]] = {name: {} for name in self.homes.backends}
            for backend in self.backends():
                if backend.state == UP:
                    capacities.setdefault(backend.service, {})[backend.id] = backend.capacity
            for name, backends in capacities.items():
                self.homes.set_backends(name, backends)
        return self.homes.home_backend(service, conversation_bucket)

    def update_settings(self, text: str) -> None:
        """Apply the conversation settings that the core sent; an older version is ignored."""
        try:
            settings = read(text.encode())
        except ConversationSettingsError as error:
            log.info(f"ignored invalid conversation settings: {error}.")
            return
        if settings.version > self.claims.settings.version:
            self.claims.settings = settings
            log.info(f"settings {settings.version} of conversations are in force.")
