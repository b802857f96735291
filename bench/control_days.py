"""Days of the users' benchmark that strain the core most, for `python -m bench.pairs --set`.

An event of a day is a planned operation or a fault; site files call both troubles.  `control`: the five
situations that the users name, each in several forms.  `kinds`: every kind of event that may come on any
deployment, alone and with each event of the core.  `leaving`: clients that do not wait for their answers
while the backends are overloaded, alone and with each other kind.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

EventSpec = dict[str, Any]
DAY_LENGTH_S = 17.0  # of traffic
FIRST_AT_S, SECOND_AT_S = 3.0, 4.0  # when the first and the second event of a day begin


@dataclass(frozen=True, slots=True)
class Day:
    """A day's events, each with its time `at`; `length_s` is the time with traffic."""

    name: str
    events: tuple[EventSpec, ...]
    length_s: float = DAY_LENGTH_S
    closing: EventSpec | None = field(default=None)  # a fault at the end of the day


def config_changes(first: float, count: int, gap_s: float) -> tuple[EventSpec, ...]:
    """Changes of the configuration every `gap_s` seconds, in turn of different forms."""
    forms = ("route", "weights", "timeout", "tenant")
    return tuple(
        {"at": round(first + n * gap_s, 2), "kind": "config_change", "how": forms[n % len(forms)]}
        for n in range(count)
    )


def event_at(second: float, kind: str, **fields: Any) -> EventSpec:
    return {"at": second, "kind": kind, **fields}


AIMED_WIPE: EventSpec = {"kind": "wipe_after_ack", "down_s": 1.0, "how": "aimed"}

CONTROL_DAYS: tuple[Day, ...] = (
    # 1. A core machine that is partitioned for 20 s.
    Day(
        "cut leader",
        (event_at(3, "core_cut", how="leader relieve lure", for_s=20.0), *config_changes(4, 8, 2.0)),
        30.0,
    ),
    Day(
        "cut one way",
        (event_at(3, "core_cut", how="leader one_way race", for_s=20.0), *config_changes(5, 4, 3.0)),
        30.0,
    ),
    Day(
        "cut halves", (event_at(3, "core_cut", how="split race", for_s=8.0), *config_changes(4, 6, 1.5)), 20.0
    ),
    Day(
        "cut from all machines, backends report there",
        (
            event_at(3, "core_cut", how="all leader lure", for_s=12.0),
            event_at(5, "scale_in", share=0.3),
            event_at(6, "release", share=0.3, x=2.0, gap_s=1.0),
            *config_changes(4, 3, 3.0),
        ),
        22.0,
    ),
    Day(
        "cut from other zones, backends report there",
        (
            event_at(3, "core_cut", how="near lure", for_s=8.0),
            event_at(4.5, "scale_in", share=0.3),
            event_at(6, "release", share=0.3, x=2.0, gap_s=1.0),
            event_at(12, "core_cut", how="all lure", for_s=5.0),
        ),
        22.0,
    ),
    # 2. Two texts with the same version number; a change that is sent again.
    Day(
        "one number",
        (
            event_at(3, "config_race", count=5, gap_s=1.5),
            event_at(3, "ack_lost", x=0.7, for_s=12.0),
            event_at(5, "bad_config", how="same_version", count=4, gap_s=1.2),
            event_at(6, "bad_config", how="old_version", count=4, gap_s=1.3),
            event_at(7, "node_kill", on="core", count=1, for_s=2.0, how="leader race hard"),
        ),
        20.0,
    ),
    # 3. A second loss right after a repair or a replacement.
    Day(
        "planned replacement, then a disk",
        (
            event_at(3, "replace_core", x=1.0, how="planned"),
            event_at(9, "after_ack_wipe", for_s=2.0, how="oldest"),
            event_at(8.8, "config_change", how="route"),
        ),
        20.0,
        AIMED_WIPE,
    ),
    Day(
        "replacement, then a disk",
        (
            event_at(3, "replace_core", x=1.0, how="oldest"),
            event_at(10, "after_ack_wipe", for_s=2.0),
            *config_changes(9, 3, 1.0),
        ),
        20.0,
        AIMED_WIPE,
    ),
    Day(
        "a repair on a slow disk, then all power",
        (
            event_at(3, "after_ack_wipe", for_s=1.5),
            event_at(4.5, "disk_slow", count=1, x=30, for_s=8.0),
            event_at(9, "herd_kill", on="core", how="off", for_s=1.0),
            *config_changes(2.8, 3, 2.5),
        ),
        22.0,
        {"kind": "power_off_all", "down_s": 1.0},
    ),
    # 4. Hundreds of changes, with machines unreachable during some of them.
    Day(
        "many changes",
        (
            *config_changes(1.5, 90, 0.2),
            event_at(4, "core_cut", how="behind", for_s=5.0),
            event_at(14, "roll_term", on="core", x=1.0, gap_s=2.0),
        ),
        24.0,
        {"kind": "kill_all", "down_s": 1.0},
    ),
    # 5. Answers to another request, calls that are sent again.
    Day(
        "resets and late answers",
        (
            event_at(3, "reset_conns", share=0.4, x=0.6),
            event_at(4, "garble", how="extra late", share=0.6, x=0.05, for_s=6.0),
            event_at(5, "answer_lost", share=0.6, x=0.05, for_s=6.0),
            event_at(6, "reset_conns", share=0.5, x=0.8, on="core"),
            event_at(7, "srv_crash", how="dark", share=0.2, for_s=4.0),
            event_at(9, "node_freeze", share=0.2, for_s=2.0),
        ),
    ),
)

EVENT_KINDS: tuple[EventSpec, ...] = (
    {"kind": "burst", "x": 2.0, "for_s": 4.0},
    {"kind": "retry_abuse", "x": 2, "share": 0.5, "for_s": 5.0},
    {"kind": "give_up", "share": 0.3, "for_s": 6.0},
    {"kind": "srv_slow", "x": 4.0, "for_s": 5.0},
    {"kind": "replace_with_reuse"},
    {"kind": "replace_with_reuse", "how": "drain"},
    {"kind": "scale_out", "share": 0.3, "gap_s": 3.0},
    {"kind": "node_freeze", "share": 0.2, "for_s": 3.0},
    {"kind": "node_slow", "share": 0.2, "x": 5, "for_s": 5.0},
    {"kind": "replace_core", "x": 1.0, "how": "planned"},
    {"kind": "replace_core", "x": 1.0, "how": "oldest"},
    {"kind": "seed_turnover"},
    {"kind": "disk_full", "count": 1, "for_s": 4.0},
    {"kind": "disk_stall", "count": 1, "for_s": 4.0},
    {"kind": "hup", "share": 0.5, "gap_s": 3.0},
    {"kind": "reset_conns", "share": 0.3, "x": 0.6},
    {"kind": "ack_lost", "x": 0.7, "for_s": 8.0},
)
CORE_EVENTS: tuple[EventSpec, ...] = (
    {"kind": "core_cut", "how": "leader race", "for_s": 4.0},
    {"kind": "core_cut", "how": "split", "for_s": 4.0},
    {"kind": "core_cut", "how": "behind", "for_s": 4.0},
    {"kind": "after_ack_wipe", "for_s": 2.0},
    {"kind": "herd_kill", "on": "core", "how": "off", "for_s": 1.0},
    {"kind": "node_kill", "on": "core", "count": 1, "how": "leader race drain", "for_s": 2.0},
    {"kind": "disk_slow", "count": 1, "x": 30, "how": "leader", "for_s": 5.0},
    {"kind": "roll_term", "on": "core", "x": 1.0, "gap_s": 2.0},
)

OVERLOADED_BACKENDS: tuple[EventSpec, ...] = (
    {"at": FIRST_AT_S, "kind": "burst", "x": 2.2, "for_s": 9.0},
    {"at": FIRST_AT_S, "kind": "give_up", "share": 0.5, "for_s": 12.0},
)
OTHER_EVENTS: tuple[EventSpec, ...] = (
    {"kind": "hot_tenant", "x": 6.0, "for_s": 6.0},
    {"kind": "srv_crash", "how": "dark", "share": 0.3, "for_s": 5.0},
    {"kind": "srv_crash", "how": "gone", "share": 0.2},
    {"kind": "release", "share": 0.5, "x": 1.0, "gap_s": 1.0},
    {"kind": "scale_in", "share": 0.2},
    {"kind": "answer_lost", "share": 0.5, "x": 0.05, "for_s": 6.0},
    {"kind": "garble", "how": "extra", "share": 0.5, "x": 0.05, "for_s": 6.0},
    {"kind": "roll_term", "how": "busy", "gap_s": 1.2},
    {"kind": "herd_kill", "share": 0.5, "for_s": 1.5, "how": ""},
    {"kind": "node_cut", "share": 0.3, "for_s": 4.0},
    {"kind": "node_cut", "how": "servers", "share": 0.3, "for_s": 4.0},
    {"kind": "clock_step", "share": 0.4, "x": 3000, "for_s": 4.0},
    {"kind": "core_cut", "how": "all leader", "for_s": 5.0},
    {"kind": "revoke", "count": 3, "gap_s": 1.0},
    {"kind": "config_change", "how": "quota"},
)


def departure_days() -> tuple[Day, ...]:
    """Clients that disconnect from overloaded backends, alone and with each kind of event."""
    days = [Day("leaving", OVERLOADED_BACKENDS)]
    for event in (*EVENT_KINDS, *OTHER_EVENTS):
        label = f"leaving + {event['kind']} {event.get('how', '')}".strip()
        days.append(Day(label, (*OVERLOADED_BACKENDS, {"at": SECOND_AT_S, **event})))
    return tuple(days)


def kinds_with_core_events() -> tuple[Day, ...]:
    """Each kind of event alone, then with each event of the core."""
    change = event_at(FIRST_AT_S - 1.0, "config_change", how="route")
    later = event_at(FIRST_AT_S + 3.0, "config_change", how="weights")
    days = []
    for event in EVENT_KINDS:
        first = {"at": FIRST_AT_S, **event}
        label = f"{event['kind']} {event.get('how', '')}".strip()
        days.append(Day(label, (change, first, later)))
        for core_event in CORE_EVENTS:
            second = {"at": SECOND_AT_S, **core_event}
            days.append(
                Day(
                    f"{label} + {core_event['kind']} {core_event.get('how', '')}",
                    (change, first, second, later),
                )
            )
    return tuple(days)
