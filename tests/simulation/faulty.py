"""Starts a program with a seeded fault: `python -m tests.simulation.faulty FAULT ROLE --settings FILE`.

Only a proxy gets the fault; other roles start without one.  Each fault patches one method, as a faulty change
to the code could, and breaks one rule of `ivymux.simulation.rules`.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ivymux.data_plane.attempt import Attempt
from ivymux.data_plane.client_departures import OnDeparture
from ivymux.data_plane.frontend import Answer, BadRequest
from ivymux.data_plane.host import Host
from ivymux.data_plane.server import Server
from ivymux.proxy.answer_policy import ProxyAnswerPolicy
from ivymux.proxy.frontend import ProxyFrontend
from ivymux.proxy.program import Proxy
from orchidhill import interface as i
from orchidhill.interface import Outcome, State
from orchidhill.proxy_backends import MIN_SILENCE_S
from orchidhill.proxy_gateway import ProxyGateway


def replace_attribute(owner: Any, name: str, value: Any) -> None:
    """Set an attribute of a class; unlike an assignment, mypy accepts this for methods."""
    setattr(owner, name, value)


def disconnect_not_passed_on() -> None:
    replace_attribute(OnDeparture, "for_request", lambda repeatable: OnDeparture.RUN_ON)


def action_retried() -> None:
    original = ProxyGateway.retry_or_end

    def retry_or_end(self: ProxyGateway, job: Any, outcome: Outcome) -> None:
        job.possible_run = None
        for service in self.backends.services.values():
            service.retry_tokens = 100.0
        original(self, job, outcome)

    replace_attribute(ProxyGateway, "retry_or_end", retry_or_end)


def failure_reported_as_not_executed() -> None:
    replace_attribute(ProxyAnswerPolicy, "failure_status", lambda self, last: 503)


def seal_not_checked() -> None:
    replace_attribute(ProxyAnswerPolicy, "is_valid", lambda self, status, headers: True)


def change_payloads(change: Callable[[bytes], bytes], extra_s: float = 0.0) -> None:
    """Change the bytes that are sent to backends, and add seconds to the remaining time stated there."""
    original = ProxyFrontend.accept

    def accept(self: ProxyFrontend, *args: Any) -> Any:
        call = original(self, *args)
        if not isinstance(call, Answer) and (make := call.make_payload_for) is not None:
            call.make_payload_for = lambda remaining_s, backend: change(make(remaining_s + extra_s, backend))
        return call

    replace_attribute(ProxyFrontend, "accept", accept)


def key_passed_on() -> None:
    change_payloads(
        lambda data: data.replace(b"\r\nTenant-Name", b"\r\nAuthorization: Bearer key-one\r\nTenant-Name")
    )


def path_changed() -> None:
    change_payloads(lambda data: data.replace(b" /read/", b" /read//", 1))


def remaining_time_extended() -> None:
    change_payloads(lambda data: data, extra_s=5.0)


def valid_requests_denied() -> None:
    original, request_count = ProxyFrontend.accept, [0]

    def accept(self: ProxyFrontend, *args: Any) -> Any:
        request_count[0] += 1
        if request_count[0] % 5 == 0:
            raise BadRequest("no route", 404)
        return original(self, *args)

    replace_attribute(ProxyFrontend, "accept", accept)


def route_not_served() -> None:
    original = ProxyFrontend.accept

    def accept(self: ProxyFrontend, method: bytes, target: bytes, *args: Any) -> Any:
        if target.startswith(b"/sign/"):
            raise BadRequest("not now", 503)
        return original(self, method, target, *args)

    replace_attribute(ProxyFrontend, "accept", accept)


def configuration_not_applied() -> None:
    original = Proxy.apply_configuration

    def apply_configuration(self: Proxy, version: int, text: str) -> None:
        if self.config_version < 0:
            original(self, version, text)

    replace_attribute(Proxy, "apply_configuration", apply_configuration)


def configuration_reverted() -> None:
    original, route_plans = Proxy.apply_configuration, list[Any]()

    def apply_configuration(self: Proxy, version: int, text: str) -> None:
        original(self, version, text)
        route_plans.append(self.frontend.plan)
        if len(route_plans) == 2:  # the newer plan is in force for a second
            self.loop.call_later(1.0, self.frontend.update_plan, route_plans[0])

    replace_attribute(Proxy, "apply_configuration", apply_configuration)


def draining_ignored() -> None:
    original = ProxyGateway.on_members

    def on_members(self: ProxyGateway, event: i.Members) -> None:
        entries = tuple(replace(entry, state=State.READY) for entry in event.entries)
        original(self, replace(event, entries=entries))

    replace_attribute(ProxyGateway, "on_members", on_members)


def quota_not_enforced() -> None:
    original = ProxyGateway.on_plans
    replace_attribute(
        ProxyGateway,
        "on_plans",
        lambda self, plans: original(self, tuple(replace(p, rate=0.0) for p in plans)),
    )


def attempts_not_limited() -> None:
    original = ProxyGateway.retry_or_end

    def retry_or_end(self: ProxyGateway, job: Any, outcome: Outcome) -> None:
        job.req.most = 6
        for service in self.backends.services.values():
            service.retry_tokens = 100.0
        original(self, job, outcome)

    replace_attribute(ProxyGateway, "retry_or_end", retry_or_end)


def deadline_ignored() -> None:
    replace_attribute(Host, "on_deadline", lambda self, request: None)
    original = Attempt.give_up

    def give_up(self: Attempt, why: Outcome) -> None:
        if why is not Outcome.TIMEOUT:
            original(self, why)

    replace_attribute(Attempt, "give_up", give_up)


def stop_cuts_requests() -> None:
    async def stop(self: Proxy) -> None:
        for client in list(self.server.clients):
            client.abort()

    replace_attribute(Proxy, "stop", stop)


def slow_requests_broken_off() -> None:
    def copy_to_others(self: ProxyGateway) -> None:
        for job in [job for job in self.jobs.values() if job.in_flight and not job.closed]:
            service = self.backends.service(job.req.service)
            service.retry_tokens = 0.0  # so that it ends
            for attempt, (_, sent_at) in job.in_flight.items():
                if self.now - sent_at > MIN_SILENCE_S:
                    self.actions.append(i.Cancel(job.req.request, attempt))

    replace_attribute(ProxyGateway, "copy_to_others", copy_to_others)


def connects_before_it_listens() -> None:
    add_cores, listen = Proxy.add_cores, Server.listen_without_accepting

    async def start_metrics_server(self: Proxy) -> None:
        add_cores(self, [address.host for address in self.settings.seed_addresses])
        while self.config_version < 0 or self.accept_task is None or not self.accept_task.done():
            await asyncio.sleep(0.001)  # as a busy machine may delay this process

    def listen_again(self: Server) -> None:
        if self.asyncio_server is None:
            listen(self)
        else:
            self.listening_socket = socket.create_server((self.listen.host, self.listen.port))

    replace_attribute(Proxy, "start_metrics_server", start_metrics_server)
    replace_attribute(Server, "listen_without_accepting", listen_again)


def no_fault() -> None:
    pass


FAULTS = {fault.__name__: fault for fault in (
    no_fault, disconnect_not_passed_on, action_retried, failure_reported_as_not_executed, seal_not_checked,
    key_passed_on, path_changed, remaining_time_extended, valid_requests_denied, route_not_served,
    configuration_not_applied, configuration_reverted, draining_ignored, quota_not_enforced,
    attempts_not_limited, deadline_ignored, stop_cuts_requests, slow_requests_broken_off,
    connects_before_it_listens,
)}  # fmt: skip


if __name__ == "__main__":
    from ivymux.runtime.program import main

    fault, role = sys.argv[1], sys.argv[2]
    if role == "proxy":
        FAULTS[fault]()
    sys.exit(main(role, sys.argv[3:], None))
