"""The proxy's metrics, for operators and scrapers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ivymux.transport.connection import oversized_messages

if TYPE_CHECKING:
    from ivymux.proxy.program import Proxy

PREFIX = "ivymux_proxy"


def collect_metrics(proxy: Proxy) -> dict[str, float]:
    """Collect counters since the start, which end in `_total`, and current values."""
    host, departures, endings = proxy.host, proxy.host.departures, proxy.host.endings
    return {
        "config_version": proxy.config_version,
        "in_touch": proxy.is_core_connected,
        "doors": len(proxy.holders.joined_at),
        "requests_total": host.request_count,
        "requests_open": host.unanswered_count,
        "requests_kept": len(host.requests),
        "clients": len(proxy.server.clients),
        "held_answer_bytes": sum(client.held_answer_bytes for client in proxy.server.slow_readers),
        "closed_slow_readers_total": proxy.server.closed_slow_readers,
        "backend_connections": host.upstream.connection_count,
        "oversized_messages_total": oversized_messages.count,
        "interrupted_writes_total": host.upstream.interrupted_writes,
        "further_tries_spared_total": proxy.gateway.denied_retries,
        "backend_answers_total": endings.backend_answers,
        "own_answers_total": endings.own_answers,
        "own_failures_total": endings.own_failures,
        "broken_off_attempts_total": endings.broken_off_attempts,
        "replaced_answers_total": endings.replaced_answers,
        "departed_requests_total": departures.requests,
        "departed_attempts_total": departures.attempts,
        "departed_unwritten_total": departures.unwritten,
        "departed_cancelled_total": departures.cancelled,
        "departed_overran_total": departures.late,
        "departed_longest_seconds": departures.longest_s,
        **{f"refused_{cause}_total": count for cause, count in host.refusal_log.refusals.counts.items()},
    }


def format_metrics(values: Mapping[str, float]) -> bytes:
    """Format one metric per line, `ivymux_proxy_NAME VALUE`, as scrapers of plain text read them."""
    return "".join(f"{PREFIX}_{name} {value:.10g}\n" for name, value in values.items()).encode()
