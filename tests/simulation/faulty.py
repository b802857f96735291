"""Starts a program with a seeded fault: `python -m tests.simulation.faulty FAULT ROLE --settings FILE`.

Each fault is one that a change of the code could bring, and breaks a rule that a checker looks at.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import Answer, BadRequest
from ivymux.data_plane.host import Host
from ivymux.data_plane.upstream import Attempt
from ivymux.proxy.answer_policy import ProxyAnswerPolicy
from ivymux.proxy.frontend import ProxyFrontend
from ivymux.proxy.program import Proxy
from orchidhill import interface as i
from orchidhill.interface import Outcome, State
from orchidhill.proxy_gateway import ProxyGateway


def swap(owner: Any, name: str, part: Any) -> None:
    setattr(owner, name, part)


def leave_not_passed_on() -> None:
    swap(OnDeparture, "for_request", lambda repeatable: OnDeparture.RUN_ON)


def action_sent_again() -> None:
    true = ProxyGateway.retry_or_end

    def retry_or_end(self: ProxyGateway, job: Any, outcome: Outcome) -> None:
        job.possible_run = None
        for service in self.services.values():
            service.retry_tokens = 100.0
        true(self, job, outcome)

    swap(ProxyGateway, "retry_or_end", retry_or_end)


def failure_promised() -> None:
    swap(ProxyAnswerPolicy, "failure_status", lambda self, last: 503)


def seal_not_looked_at() -> None:
    swap(ProxyAnswerPolicy, "is_valid", lambda self, status, headers: True)


def payloads(change: Callable[[bytes], bytes], extra: float = 0.0) -> None:
    """What goes to backends is changed."""
    true = ProxyFrontend.accept

    def accept(self: ProxyFrontend, *args: Any) -> Any:
        call = true(self, *args)
        if not isinstance(call, Answer) and (to := call.make_payload_for) is not None:
            call.make_payload_for = lambda left, backend: change(to(left + extra, backend))
        return call

    swap(ProxyFrontend, "accept", accept)


def key_passed_on() -> None:
    payloads(
        lambda data: data.replace(b"\r\nTenant-Name", b"\r\nAuthorization: Bearer key-one\r\nTenant-Name")
    )


def path_changed() -> None:
    payloads(lambda data: data.replace(b" /read/", b" /read//", 1))


def more_time_handed_on() -> None:
    payloads(lambda data: data, extra=5.0)


def proper_requests_denied() -> None:
    true, count = ProxyFrontend.accept, [0]

    def accept(self: ProxyFrontend, *args: Any) -> Any:
        count[0] += 1
        if count[0] % 5 == 0:
            raise BadRequest("no route", 404)
        return true(self, *args)

    swap(ProxyFrontend, "accept", accept)


def kind_not_served() -> None:
    true = ProxyFrontend.accept

    def accept(self: ProxyFrontend, method: bytes, target: bytes, *args: Any) -> Any:
        if target.startswith(b"/sign/"):
            raise BadRequest("not now", 503)
        return true(self, method, target, *args)

    swap(ProxyFrontend, "accept", accept)


def configuration_not_applied() -> None:
    true = Proxy.apply_configuration

    def apply(self: Proxy, version: int, text: str) -> None:
        if self.config_version < 0:
            true(self, version, text)

    swap(Proxy, "apply_configuration", apply)


def configuration_reverted() -> None:
    true, first = Proxy.apply_configuration, list[Any]()

    def apply(self: Proxy, version: int, text: str) -> None:
        true(self, version, text)
        first.append(self.frontend.plan)
        if len(first) == 2:  # the newer one holds for a second
            self.loop.call_later(1.0, self.frontend.update_plan, first[0])

    swap(Proxy, "apply_configuration", apply)


def drain_not_heard() -> None:
    true = ProxyGateway.on_members

    def on_members(self: ProxyGateway, event: i.Members) -> None:
        entries = tuple(replace(entry, state=State.READY) for entry in event.entries)
        true(self, replace(event, entries=entries))

    swap(ProxyGateway, "on_members", on_members)


def quota_not_held() -> None:
    true = ProxyGateway.on_plans
    swap(ProxyGateway, "on_plans", lambda self, plans: true(self, tuple(replace(p, rate=0.0) for p in plans)))


def no_limit_of_attempts() -> None:
    true = ProxyGateway.retry_or_end

    def retry_or_end(self: ProxyGateway, job: Any, outcome: Outcome) -> None:
        job.req.most = 6
        for service in self.services.values():
            service.retry_tokens = 100.0
        true(self, job, outcome)

    swap(ProxyGateway, "retry_or_end", retry_or_end)


def deadline_not_kept() -> None:
    swap(Host, "on_deadline", lambda self, request: None)
    true = Attempt.give_up

    def give_up(self: Attempt, why: Outcome) -> None:
        if why is not Outcome.TIMEOUT:
            true(self, why)

    swap(Attempt, "give_up", give_up)


def end_cuts_requests() -> None:
    async def stop(self: Proxy) -> None:
        for client in list(self.server.clients):
            client.abort()

    swap(Proxy, "stop", stop)


def no_fault() -> None:
    pass


FAULTS = {fault.__name__: fault for fault in (
    no_fault, leave_not_passed_on, action_sent_again, failure_promised, seal_not_looked_at, key_passed_on,
    path_changed, more_time_handed_on, proper_requests_denied, kind_not_served, configuration_not_applied,
    configuration_reverted, drain_not_heard, quota_not_held, no_limit_of_attempts, deadline_not_kept,
    end_cuts_requests,
)}  # fmt: skip


if __name__ == "__main__":
    from ivymux.runtime.program import main

    fault, role = sys.argv[1], sys.argv[2]
    if role == "proxy":
        FAULTS[fault]()
    sys.exit(main(role, sys.argv[3:], None))
