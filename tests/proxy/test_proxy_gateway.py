"""Tests of a proxy's decisions: retries and their budget, final answers, quotas, backend choice."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import replace

import pytest

from ivymux.proxy.module_settings import module_settings
from orchidhill import interface as i
from orchidhill.interface import Effect, Outcome, State, Why
from orchidhill.proxy_backends import SILENT
from orchidhill.proxy_gateway import MAX_RETRY_TOKENS, ProxyGateway, ProxyRules

CLASSES = tuple(
    i.RequestClass(name, 0.3, 1.2, effect, i.Scope.ALL, 0.0, 1.0, 0.1, False)
    for name, effect in (("read", Effect.SAFE), ("sign", Effect.UNSAFE))
)
UNLIMITED = i.Plan("", 0.0, 0.0, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0)
LIMITED = replace(UNLIMITED, name="few", rate=10.0, burst=5.0)


class ProxyHarness:
    """A proxy's decision module with ready backends, and the requests sent to it."""

    def __init__(self, backends: int = 4) -> None:
        self.gateway = ProxyGateway(module_settings(), 3, ProxyRules(0.2, 5.0, 0.1, 20.0))
        self.now, self.number = 1000.0, 0
        self.handle(i.Classes(CLASSES))
        self.handle(i.Plans((UNLIMITED, LIMITED)))
        self.handle(i.Doors(4))
        self.set_backends(*((n, State.READY) for n in range(1, backends + 1)))

    def handle(self, event: i.Event) -> list[i.Action]:
        return self.gateway.handle(self.now, event)

    def set_backends(self, *backends: tuple[int, State], service: int = 0) -> None:
        entries = tuple(i.Entry(n, 0, 0.0, state, 0, 0, 2.0, service) for n, state in backends)
        self.handle(i.Members(i.Listing.DELTA, 1, entries))

    def send_request(
        self, cls: int = 0, plan: int = 0, service: int = 0, most: int = 2, home: int = 0
    ) -> tuple[int, list[i.Action]]:
        self.number += 1
        request = i.Request(
            self.number, cls, plan, plan, 1.0, 1.0, 4, 0, False, cls == 1, service, most, home
        )
        return self.number, self.handle(request)

    def finish_attempt(self, request: int, attempt: int, backend: int, outcome: Outcome) -> list[i.Action]:
        return self.handle(
            i.Finished(request, attempt, backend, outcome, outcome is Outcome.OK, 0.05, 0, 0, ())
        )


def sent_backends(actions: list[i.Action]) -> list[int]:
    return [a.backend for a in actions if isinstance(a, i.Send)]


def final_answers(actions: list[i.Action]) -> list[i.Action]:
    return [a for a in actions if isinstance(a, i.Refuse | i.Fail)]


def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_refused() -> None:
    for outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR):
        harness = ProxyHarness()
        request, actions = harness.send_request(cls=1)
        (backend,) = sent_backends(actions)
        actions = harness.finish_attempt(request, 0, backend, outcome)
        assert not sent_backends(actions) and final_answers(actions) == [i.Fail(request)]


def test_an_action_uses_its_home_backend_unless_that_is_busy_gone_or_rejects_it() -> None:
    harness = ProxyHarness()
    for _ in range(3):
        request, actions = harness.send_request(cls=1, home=3)
        assert sent_backends(actions) == [3]
        harness.finish_attempt(request, 0, 3, Outcome.OK)
    chosen = [sent_backends(harness.send_request(cls=1, home=3)[1])[0] for _ in range(20)]
    assert chosen[:4] == [3] * 4 and chosen.count(3) <= 8  # then the other backends are far better
    harness = ProxyHarness()
    request, actions = harness.send_request(cls=1, home=3)
    assert sent_backends(harness.finish_attempt(request, 0, 3, Outcome.FULL)) not in ([], [3])
    harness.set_backends((3, State.DRAINING))
    assert sent_backends(harness.send_request(cls=1, home=3)[1]) != [3]
    harness.set_backends((3, State.READY), service=1)  # its number now belongs to another service
    assert sent_backends(harness.send_request(cls=1, home=3)[1]) != [3]


def test_a_request_on_a_key_goes_to_the_holder_of_the_key_or_is_refused_at_once() -> None:
    harness = ProxyHarness()

    def send(home: int) -> tuple[int, list[i.Action]]:
        harness.number += 1
        request = i.Request(
            harness.number, 0, 0, 0, 1.0, 1.0, 4, 0, False, False, 0, 2, home, is_home_only=True
        )
        return harness.number, harness.handle(request)

    number, actions = send(3)
    assert sent_backends(actions) == [3]
    actions = harness.finish_attempt(number, 0, 3, Outcome.FULL)  # it no longer holds the key
    assert not sent_backends(actions) and any(isinstance(action, i.Refuse) for action in actions)
    harness.set_backends((2, State.DRAINING))
    for gone in (2, 9):
        _, actions = send(gone)
        assert not sent_backends(actions) and any(isinstance(action, i.Refuse) for action in actions)


def test_a_rejected_request_is_retried_at_another_backend() -> None:
    harness = ProxyHarness()
    request, actions = harness.send_request(cls=1)
    (first,) = sent_backends(actions)
    (second,) = sent_backends(harness.finish_attempt(request, 0, first, Outcome.FULL))
    assert second != first
    (refusal,) = final_answers(
        harness.finish_attempt(request, 1, second, Outcome.FULL)
    )  # two attempts are the maximum
    assert isinstance(refusal, i.Refuse) and refusal.why is Why.BACKENDS and refusal.retry_after > 0


def test_an_unreachable_backend_does_not_count_as_an_attempt_and_is_ejected() -> None:
    harness = ProxyHarness()
    request, actions = harness.send_request(cls=1, most=1)
    (first,) = sent_backends(actions)
    (second,) = sent_backends(harness.finish_attempt(request, 0, first, Outcome.CONNECT_FAILED))
    assert second != first
    for _ in range(6):  # the backend is ejected for a while
        other, actions = harness.send_request()
        (backend,) = sent_backends(actions)
        assert backend != first
        harness.finish_attempt(other, 0, backend, Outcome.OK)


def test_retries_stay_within_the_budget() -> None:
    harness = ProxyHarness(8)
    retries, request_count = 0, 400
    for _ in range(request_count):
        request, actions = harness.send_request()
        (backend,) = sent_backends(actions)
        retried = sent_backends(harness.finish_attempt(request, 0, backend, Outcome.ERROR))
        retries += len(retried)
        for other in retried:
            harness.finish_attempt(request, 1, other, Outcome.OK)
        harness.now += 0.05
    assert 0.2 * request_count * 0.5 < retries <= 0.2 * request_count + MAX_RETRY_TOKENS


def test_requests_go_to_ready_backends_of_their_service() -> None:
    harness = ProxyHarness(2)
    harness.set_backends((7, State.READY), service=1)
    assert sent_backends(harness.send_request(service=1)[1]) == [7]
    harness.set_backends((1, State.DRAINING), (2, State.GONE))
    _, actions = harness.send_request()
    (refusal,) = final_answers(actions)
    assert isinstance(refusal, i.Refuse) and refusal.why is Why.ROOM and not sent_backends(actions)


def test_silent_backends_are_used_if_no_backend_is_ready_but_leaving_ones_never() -> None:
    harness = ProxyHarness(3)
    lost = i.Entry(1, 0, 0.0, State.DRAINING, SILENT, 0, 2.0)
    harness.handle(i.Members(i.Listing.DELTA, 2, (lost,)))
    harness.set_backends((2, State.READY), (3, State.DRAINING))
    assert sent_backends(harness.send_request()[1]) == [2]
    harness.set_backends((2, State.DRAINING))
    assert sent_backends(harness.send_request()[1]) == [1]


def learn_latency(harness: ProxyHarness) -> None:
    """Let usual requests be answered after 50 ms."""
    for _ in range(40):
        request, actions = harness.send_request()
        harness.now += 0.05
        harness.finish_attempt(request, 0, sent_backends(actions)[0], Outcome.OK)


def slow_request(harness: ProxyHarness) -> tuple[int, int, int]:
    """Send a request to a backend that stays silent, until a copy of it is sent.

    Returns the request, its first backend and the one that got the copy.  Nothing is cancelled or answered.
    """
    learn_latency(harness)
    request, actions = harness.send_request()
    (first,) = sent_backends(actions)
    for _ in range(60):
        harness.now += 0.025
        actions = harness.handle(i.Fired(1))
        assert not final_answers(actions) and not any(isinstance(a, i.Cancel) for a in actions)
        if others := sent_backends(actions):
            return request, first, others[0]
    raise AssertionError("no copy was sent")


# Guards against requests whose attempt was broken off at a slow backend for an answer of the proxy's own.
@pytest.mark.parametrize("faster", [0, 1])
def test_a_copy_goes_beside_a_silent_attempt_and_the_slower_one_is_cancelled_after_an_answer(
    faster: int,
) -> None:
    harness = ProxyHarness()
    request, first, other = slow_request(harness)
    assert other != first
    backends, slower = (first, other), 1 - faster
    actions = harness.finish_attempt(request, faster, backends[faster], Outcome.OK)
    assert actions[0] == i.Cancel(request, slower) and not final_answers(actions)
    assert request in harness.gateway.jobs  # until the cancelled attempt has ended
    harness.finish_attempt(request, slower, backends[slower], Outcome.CANCELLED)
    assert request not in harness.gateway.jobs and not harness.gateway.attempts_in_flight


@pytest.mark.parametrize("failed", [0, 1])
@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.RESET, Outcome.ERROR, Outcome.CONNECT_FAILED])
def test_a_request_is_not_ended_while_one_of_its_attempts_is_at_work(failed: int, outcome: Outcome) -> None:
    harness = ProxyHarness()
    request, *backends = slow_request(harness)
    actions = harness.finish_attempt(request, failed, backends[failed], outcome)
    assert not final_answers(actions) and not any(isinstance(a, i.Cancel | i.Send) for a in actions)
    working = 1 - failed
    actions = harness.finish_attempt(request, working, backends[working], Outcome.OK)
    assert not final_answers(actions) and request not in harness.gateway.jobs


def test_copies_of_slow_requests_draw_on_the_retry_budget() -> None:
    harness = ProxyHarness()
    learn_latency(harness)
    service = harness.gateway.backends.service(0)
    service.retry_tokens = 0.0
    _, actions = harness.send_request()
    assert len(sent_backends(actions)) == 1 and service.retry_tokens < 1
    for _ in range(60):
        harness.now += 0.025
        assert not sent_backends(harness.handle(i.Fired(1)))
    slow_request(harness)
    assert service.retry_tokens < MAX_RETRY_TOKENS - 0.5


# Guards against requests that were ended at the one backend that may run them, as it had not answered long.
@pytest.mark.parametrize("others", [State.READY, State.DRAINING])
def test_a_safe_request_stays_at_a_silent_backend_where_no_other_may_run_it(others: State) -> None:
    harness = ProxyHarness()
    learn_latency(harness)
    if others is State.READY:  # they serve, but do not hold the request's key
        harness.number += 1
        request = harness.number
        actions = harness.handle(
            i.Request(request, 0, 0, 0, 1.0, 1.0, 4, 0, False, False, 0, 2, 3, is_home_only=True)
        )
    else:
        request, actions = harness.send_request()
    (backend,) = sent_backends(actions)
    for other in set(harness.gateway.backends.by_id) - {backend}:
        harness.set_backends((other, others))
    for _ in range(60):
        harness.now += 0.025
        actions = harness.handle(i.Fired(1))
        assert not any(isinstance(action, i.Cancel | i.Send) for action in actions)


def test_a_lower_quota_applies_at_once_and_unlimited_tenants_make_no_calls() -> None:
    harness = ProxyHarness()
    _, actions = harness.send_request()
    assert not [a for a in actions if isinstance(a, i.Count)]
    _, actions = harness.send_request(plan=1)
    (count,) = [a for a in actions if isinstance(a, i.Count)]
    harness.handle(i.Plans((UNLIMITED, replace(LIMITED, rate=2.0, burst=1.0))))
    actions = harness.handle(i.Counted(count.name, Outcome.OK, 0.0, 0.001, 9))
    (lease,) = harness.gateway.leases.values()
    assert lease.plan.rate == 2.0 and lease.capacity == 1.0
    assert 0.0 <= count.drained - 10.0 * count.since < 0.1 and count.since >= 0.0


def test_local_admission_of_all_proxies_stays_within_the_quota_rules_allowance() -> None:
    plan = replace(UNLIMITED, name="hot", rate=66.0, burst=66.0)
    for proxies in (2, 8, 75, 300):
        admitted = 0
        for seed in range(proxies):
            gateway = ProxyGateway(module_settings(), seed, ProxyRules(0.2, 5.0, 0.1, 20.0))
            gateway.handle(1000.0, i.Classes(CLASSES))
            gateway.handle(1000.0, i.Plans((UNLIMITED, plan)))
            gateway.handle(1000.0, i.Doors(proxies))
            gateway.handle(
                1000.0, i.Members(i.Listing.DELTA, 1, (i.Entry(1, 0, 0.0, State.READY, 0, 0, 90.0),))
            )
            for number in range(30):  # no call of theirs reaches the counter
                request = i.Request(number + 1, 0, 1, 7, 1.0, 1.0, proxies, 0, False, False, 0, 2)
                waiting = gateway.handle(1000.0 + number / 1000, request)
                while waiting:
                    action = waiting.pop(0)
                    admitted += isinstance(action, i.Send)
                    if isinstance(action, i.Count):
                        lost = i.Counted(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0)
                        waiting += gateway.handle(1000.0 + number / 1000, lost)
        # The rule allows 59.6 requests beyond this quota in any 5 s; a part of them is for lost counts.
        assert admitted <= 0.6 * 59.6 + 3, (proxies, admitted)


def retry_delays(harness: ProxyHarness, count: int, left: float = 1.0) -> list[float]:
    """Send requests of a tenant whose bucket is empty; return the retry-after of the refusals."""
    delays: list[float] = []
    for _ in range(count):
        harness.number += 1
        request = i.Request(harness.number, 0, 1, 1, left, 1.0, 4, 0, False, False, 0, 2)
        actions = harness.handle(request)
        for action in actions:  # the list grows during the iteration
            if isinstance(action, i.Count):
                actions += harness.handle(i.Counted(action.name, Outcome.OK, action.drained + 6.0, 0.001, 9))
        delays += [a.retry_after for a in actions if isinstance(a, i.Refuse) and a.why is Why.QUOTA]
    return delays


def test_retries_after_quota_refusals_are_spread_over_time() -> None:
    harness = ProxyHarness()
    harness.handle(i.Classes(tuple(replace(cls, deadline=12.0, aim=2.0) for cls in CLASSES)))
    delays = retry_delays(harness, 4, left=12.0)
    # Retries get half of ten requests per second, over four proxies: one per 0.8 s.
    assert [round(b - a, 3) for a, b in itertools.pairwise(delays)] == [0.8] * 3
    # The delay is limited by the client's remaining time.
    assert retry_delays(harness, 1, left=3.0) == [pytest.approx(0.9)]


def test_in_a_flood_new_requests_retry_soon_and_older_ones_after_it() -> None:
    harness = ProxyHarness()
    harness.handle(i.Classes(tuple(replace(cls, deadline=12.0, aim=2.0) for cls in CLASSES)))
    retry_delays(harness, 20, left=11.9)
    new, old = retry_delays(harness, 1, left=11.9), retry_delays(harness, 1, left=9.0)
    assert new[0] < 0.5 and old == [pytest.approx(2.7)]
    harness.now += 10.0  # the flood is over
    assert retry_delays(harness, 1, left=9.0)[0] < 0.5


def test_proxies_without_history_do_not_all_choose_the_same_backend() -> None:
    """85 proxies start at once; a service has 64 backends with two slots each, none used before."""
    first: Counter[int] = Counter()
    for seed in range(85):
        harness = ProxyHarness(0)
        harness.gateway = ProxyGateway(module_settings(), seed, ProxyRules(0.2, 5.0, 0.1, 20.0))
        harness.handle(i.Classes(CLASSES))
        harness.handle(i.Plans((UNLIMITED, LIMITED)))
        harness.set_backends(*((n, State.READY) for n in range(1, 65)))
        chosen = [sent_backends(harness.send_request()[1])[0] for _ in range(64)]
        assert len(set(chosen)) == 64  # each is used once before any is used again
        first[chosen[0]] += 1
    assert len(first) > 40 and max(first.values()) < 8


def test_a_slow_class_is_not_taken_for_silence_before_its_latency_is_learned() -> None:
    """The first estimate follows the class's target latency, so that attempts are not cancelled too soon."""
    harness = ProxyHarness()
    harness.handle(i.Classes((replace(CLASSES[0], aim=2.0, deadline=12.0), CLASSES[1])))
    harness.gateway.class_latency, harness.gateway.answer_counts = [], []
    harness.handle(i.Classes(harness.gateway.settings.classes))
    number, actions = harness.send_request()
    assert sent_backends(actions)
    for _ in range(30):  # 3 s, five times the estimated latency
        harness.now += 0.1
        assert not [a for a in harness.handle(i.Fired(1)) if isinstance(a, i.Cancel)]
    assert harness.gateway.class_latency[0] == pytest.approx(0.6)
    harness.finish_attempt(number, 0, sent_backends(actions)[0], Outcome.OK)
    assert harness.gateway.class_latency[0] > 0.6  # the first answer moves the estimate by a fifth


def test_a_backend_reported_by_other_proxies_is_ejected_while_others_are_left() -> None:
    harness = ProxyHarness(2)
    harness.handle(i.Shun(1, 2.0))
    for _ in range(3):
        assert sent_backends(harness.send_request()[1]) == [2]
    harness.set_backends((2, State.GONE))
    number, actions = harness.send_request()
    assert sent_backends(actions) == [1]  # better than a refusal
    harness.finish_attempt(number, 0, 1, Outcome.OK)
    harness.set_backends((3, State.READY))
    # One good answer does not outweigh several reports.
    assert sent_backends(harness.send_request()[1]) == [3]
    harness.now += 2.0
    assert 1 in sent_backends(harness.send_request()[1]) + sent_backends(harness.send_request()[1])


def test_a_silent_backend_does_not_look_idle_because_its_clients_have_left() -> None:
    harness = ProxyHarness()
    chosen: Counter[int] = Counter()
    for _ in range(200):
        request, actions = harness.send_request()
        (backend,) = sent_backends(actions)
        chosen[backend] += 1
        if backend == 1:  # clients wait for twice the usual latency, then leave
            harness.now += 2 * harness.gateway.class_latency[0]
            harness.handle(i.Left(request))
            harness.handle(i.Finished(request, 0, backend, Outcome.CANCELLED, True, 0.1, 0, 0, ()))
        else:
            harness.now += harness.gateway.class_latency[0]
            harness.finish_attempt(request, 0, backend, Outcome.OK)
    assert chosen[1] < min(chosen[n] for n in (2, 3, 4)) / 2


def test_a_client_that_leaves_at_once_does_not_affect_its_backends_latency() -> None:
    harness = ProxyHarness()
    request, actions = harness.send_request()
    (backend,) = sent_backends(actions)
    harness.now += harness.gateway.class_latency[0] / 2
    harness.handle(i.Left(request))
    harness.handle(i.Finished(request, 0, backend, Outcome.CANCELLED, True, 0.01, 0, 0, ()))
    assert harness.gateway.backends.by_id[backend].relative_latency == 1.0 and not harness.gateway.jobs
