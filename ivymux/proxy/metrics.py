"""A door's collect_metrics, as operators and scrapers fetch them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ivymux.proxy.program import Proxy

PREFIX = "ivymux_proxy"


def collect_metrics(door: Proxy) -> dict[str, float]:
    """Counts since the start end in `_total`; the others are of this moment."""
    host, departures = door.host, door.host.departures
    return {
        "config_version": door.version,
        "in_touch": door.touch,
        "doors": len(door.holders.joined_at),
        "requests_total": host.request_count,
        "requests_open": host.unanswered_count,
        "requests_kept": len(host.requests),
        "clients": len(door.server.clients),
        "backend_connections": host.upstream.connection_count,
        "further_tries_spared_total": door.switch.denied_retries,
        "departed_requests_total": departures.requests,
        "departed_attempts_total": departures.attempts,
        "departed_unwritten_total": departures.unwritten,
        "departed_cancelled_total": departures.cancelled,
        "departed_overran_total": departures.late,
        "departed_longest_seconds": departures.longest_s,
        **{f"refused_{cause}_total": count for cause, count in host.refusal_log.refusals.counts.items()},
    }


def format_metrics(values: Mapping[str, float]) -> bytes:
    """One figure a line, `ivymux_proxy_NAME VALUE`, as scrapers of plain text read them."""
    return "".join(f"{PREFIX}_{name} {value:.10g}\n" for name, value in values.items()).encode()
