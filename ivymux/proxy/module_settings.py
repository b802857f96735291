"""Settings with which a proxy's decision module starts.  Pure."""

from __future__ import annotations

from orchidhill import interface as i

CONNECT_TIMEOUT_S = 0.5
COUNTER_TIMEOUT_S = 0.25
INITIAL_COUNTER_CALLS_PER_S = 400.0  # by one proxy
INITIAL_PROXY_COUNT = 8  # until the core has reported the number of proxies
MAX_ATTEMPTS = 6  # per request, including attempts that reached no backend
MAX_RETRY_AFTER_S = 0.6
ANSWER_SLACK_S = 0.5
DRAIN_GRACE_S = 2.5
TICK_PERIOD_S = 0.025


def module_settings() -> i.Settings:
    """Return the settings without classes and plans, which arrive with the configuration."""
    second_copies, cancel, probes, retry_after = True, True, False, True
    limits = i.Limits(
        MAX_ATTEMPTS, second_copies, cancel, probes, retry_after, MAX_RETRY_AFTER_S, CONNECT_TIMEOUT_S
    )
    cold_share, warm_up, fall_multiple, fall_time, ask_within = 1.0, 0.0, 0.0, 0.0, 0.0
    rules = i.Rules(ANSWER_SLACK_S, DRAIN_GRACE_S, cold_share, warm_up, fall_multiple, fall_time, ask_within)
    me, zone, zones = 0, 0, ()
    has_counter, counter_price, settles, membership_push = True, 0.01, False, True
    weight_source, report_how, report_columns = "", "none", ()
    return i.Settings(
        me, INITIAL_PROXY_COUNT, zone, zones, TICK_PERIOD_S, (), (), rules, limits, has_counter,
        counter_price, COUNTER_TIMEOUT_S, settles, membership_push, weight_source, report_how,
        report_columns, {}, counter_pace=INITIAL_PROXY_COUNT * INITIAL_COUNTER_CALLS_PER_S,
    )  # fmt: skip
