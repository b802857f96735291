"""Actions with keys at a door: their claims, their conversations' homes, and the settings of both.

Imported with the first such action: a door that sees none starts without it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ivymux.data_plane.frontend import Headers
from ivymux.idempotency.affinity import BUCKET_COUNT, HomeBackends, bucket_of
from ivymux.idempotency.settings import ConversationSettingsError, read
from ivymux.proxy.action_claims import ActionClaim, ActionClaims
from ivymux.proxy.keyed_actions import make_action
from ivymux.proxy.membership_view import UP, Backend
from ivymux.routing_config.route_plan import Route
from ivymux.runtime.log import Log
from ivymux.transport.connection import Connector

log = Log("proxy")


@dataclass(frozen=True, slots=True)
class Taken:
    """What an action's key makes of its request."""

    claim: ActionClaim
    service: str
    home: str  # the backend of its conversation, by its id; empty where there is none


class KeyedRequests:
    def __init__(
        self, lines: Callable[[], list[Connector]], backends: Callable[[], Iterable[Backend]]
    ) -> None:
        """`lines`: to the core, the nearest first; `backends`: all that the door knows."""
        self.claims, self.homes = ActionClaims(lines), HomeBackends()
        self.backends = backends
        self.stale = True  # whether backends have come or gone since homes were made

    def take(
        self, route: Route, headers: Headers, tenant: str, auth: bytes, method: bytes, host: bytes,
        target: bytes, body: bytes, end: float, name: bytes,
    ) -> Taken:  # fmt: skip
        """Raises BadRequest for what is no key."""
        header = self.claims.terms.header
        made = make_action(headers, tenant, auth, header, method, host, target, body)
        at = bucket_of(tenant, made.name)
        service = route.choose_service(
            (at + 0.5) / BUCKET_COUNT
        )  # a conversation stays with one service of a split too
        return Taken(self.claims.make(made, end, name), service, self.home(service, at))

    def home(self, service: str, at: int) -> str:
        """The backend that a bucket of conversations goes to."""
        if self.stale:
            self.stale = False
            there: dict[str, dict[str, int]] = {name: {} for name in self.homes.backends}
            for backend in self.backends():
                if backend.state == UP:
                    there.setdefault(backend.service, {})[backend.id] = backend.capacity
            for name, backends in there.items():
                self.homes.set_backends(name, backends)
        return self.homes.home_backend(service, at)

    def use(self, text: str) -> None:
        """Settings of conversations, as the core tells them; older ones change nothing."""
        try:
            terms = read(text.encode())
        except ConversationSettingsError as error:
            log.info(f"settings of conversations that cannot be used here: {error}.")
            return
        if terms.version > self.claims.terms.version:
            self.claims.terms = terms
            log.info(f"settings {terms.version} of conversations are in force.")
