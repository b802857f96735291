"""Days of the users' bench on which the control side is at its worst, for `python -m bench.pairs --set`.

`control`: the five points that the users name, each with several forms.  `kinds`: every kind of trouble that
may come on any deployment, alone and with each trouble of the core.  `leaving`: clients that do not wait for
their answers while backends are crowded, beside each other kind.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

Trouble = dict[str, Any]
KIND_LENGTH = 17.0  # seconds of traffic
START, SECOND = 3.0, 4.0  # seconds at which a trouble, and the one beside it, begins


@dataclass(frozen=True, slots=True)
class Day:
    """Troubles of one day, each with its `at`; `length` in seconds of traffic."""

    name: str
    troubles: tuple[Trouble, ...]
    length: float = KIND_LENGTH
    closing: Trouble | None = field(default=None)


def changes(first: float, count: int, gap: float) -> tuple[Trouble, ...]:
    hows = ("route", "weights", "timeout", "tenant")
    return tuple(
        {"at": round(first + n * gap, 2), "kind": "config_change", "how": hows[n % len(hows)]}
        for n in range(count)
    )


def at(second: float, kind: str, **fields: Any) -> Trouble:
    return {"at": second, "kind": kind, **fields}


AIMED: Trouble = {"kind": "wipe_after_ack", "down_s": 1.0, "how": "aimed"}

CONTROL: tuple[Day, ...] = (
    # 1. A control machine that is cut off for 20 s.
    Day("cut leader", (at(3, "core_cut", how="leader relieve lure", for_s=20.0), *changes(4, 8, 2.0)), 30.0),
    Day("cut one way", (at(3, "core_cut", how="leader one_way race", for_s=20.0), *changes(5, 4, 3.0)), 30.0),
    Day("cut halves", (at(3, "core_cut", how="split race", for_s=8.0), *changes(4, 6, 1.5)), 20.0),
    Day(
        "cut from all machines, backends report there",
        (
            at(3, "core_cut", how="all leader lure", for_s=12.0),
            at(5, "scale_in", share=0.3),
            at(6, "release", share=0.3, x=2.0, gap_s=1.0),
            *changes(4, 3, 3.0),
        ),
        22.0,
    ),
    Day(
        "cut from other zones, backends report there",
        (
            at(3, "core_cut", how="near lure", for_s=8.0),
            at(4.5, "scale_in", share=0.3),
            at(6, "release", share=0.3, x=2.0, gap_s=1.0),
            at(12, "core_cut", how="all lure", for_s=5.0),
        ),
        22.0,
    ),
    # 2. One number, two texts; an order that is sent again.
    Day(
        "one number",
        (
            at(3, "config_race", count=5, gap_s=1.5),
            at(3, "ack_lost", x=0.7, for_s=12.0),
            at(5, "bad_config", how="same_version", count=4, gap_s=1.2),
            at(6, "bad_config", how="old_version", count=4, gap_s=1.3),
            at(7, "node_kill", on="core", count=1, for_s=2.0, how="leader race hard"),
        ),
        20.0,
    ),
    # 3. A second loss right behind a repair or a replacement.
    Day(
        "planned replacement, then a disk",
        (
            at(3, "replace_core", x=1.0, how="planned"),
            at(9, "after_ack_wipe", for_s=2.0, how="oldest"),
            at(8.8, "config_change", how="route"),
        ),
        20.0,
        AIMED,
    ),
    Day(
        "replacement, then a disk",
        (
            at(3, "replace_core", x=1.0, how="oldest"),
            at(10, "after_ack_wipe", for_s=2.0),
            *changes(9, 3, 1.0),
        ),
        20.0,
        AIMED,
    ),
    Day(
        "a repair on a slow disk, then all power",
        (
            at(3, "after_ack_wipe", for_s=1.5),
            at(4.5, "disk_slow", count=1, x=30, for_s=8.0),
            at(9, "herd_kill", on="core", how="off", for_s=1.0),
            *changes(2.8, 3, 2.5),
        ),
        22.0,
        {"kind": "power_off_all", "down_s": 1.0},
    ),
    # 4. Hundreds of changes, machines away through some of them.
    Day(
        "many changes",
        (
            *changes(1.5, 90, 0.2),
            at(4, "core_cut", how="behind", for_s=5.0),
            at(14, "roll_term", on="core", x=1.0, gap_s=2.0),
        ),
        24.0,
        {"kind": "kill_all", "down_s": 1.0},
    ),
    # 5. Answers of another, calls that are sent again.
    Day(
        "resets and late answers",
        (
            at(3, "reset_conns", share=0.4, x=0.6),
            at(4, "garble", how="extra late", share=0.6, x=0.05, for_s=6.0),
            at(5, "answer_lost", share=0.6, x=0.05, for_s=6.0),
            at(6, "reset_conns", share=0.5, x=0.8, on="core"),
            at(7, "srv_crash", how="dark", share=0.2, for_s=4.0),
            at(9, "node_freeze", share=0.2, for_s=2.0),
        ),
    ),
)

KINDS: tuple[Trouble, ...] = (
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
CORE: tuple[Trouble, ...] = (
    {"kind": "core_cut", "how": "leader race", "for_s": 4.0},
    {"kind": "core_cut", "how": "split", "for_s": 4.0},
    {"kind": "core_cut", "how": "behind", "for_s": 4.0},
    {"kind": "after_ack_wipe", "for_s": 2.0},
    {"kind": "herd_kill", "on": "core", "how": "off", "for_s": 1.0},
    {"kind": "node_kill", "on": "core", "count": 1, "how": "leader race drain", "for_s": 2.0},
    {"kind": "disk_slow", "count": 1, "x": 30, "how": "leader", "for_s": 5.0},
    {"kind": "roll_term", "on": "core", "x": 1.0, "gap_s": 2.0},
)

CROWDED: tuple[Trouble, ...] = (
    {"at": START, "kind": "burst", "x": 2.2, "for_s": 9.0},
    {"at": START, "kind": "give_up", "share": 0.5, "for_s": 12.0},
)
BESIDE: tuple[Trouble, ...] = (
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


def leaving_days() -> tuple[Day, ...]:
    """Clients that leave crowded backends, alone and beside each kind of trouble."""
    days = [Day("leaving", CROWDED)]
    for trouble in (*KINDS, *BESIDE):
        label = f"leaving + {trouble['kind']} {trouble.get('how', '')}".strip()
        days.append(Day(label, (*CROWDED, {"at": SECOND, **trouble})))
    return tuple(days)


def kinds_with_core_troubles() -> tuple[Day, ...]:
    """Each kind alone, then beside each trouble of the core."""
    change = at(START - 1.0, "config_change", how="route")
    later = at(START + 3.0, "config_change", how="weights")
    days = []
    for kind in KINDS:
        first = {"at": START, **kind}
        label = f"{kind['kind']} {kind.get('how', '')}".strip()
        days.append(Day(label, (change, first, later)))
        for core in CORE:
            beside = {"at": SECOND, **core}
            days.append(
                Day(f"{label} + {core['kind']} {core.get('how', '')}", (change, first, beside, later))
            )
    return tuple(days)
