"""`x-ivymux`: what a description says of class, effect, cost and times, the nearest statement first."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

import msgspec

from ivymux.routes.model import Cost, Key
from orchidhill.interface import Effect

NAME = "x-ivymux"
FIELDS = ("class", "effect", "cost", "aim", "deadline", "worth", "key")
CLASS = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}")  # a header's name (RFC 9110, 5.1)
MAX_COST = 1e6
Report = Callable[[str, str], None]  # a place below the extension, and what is wrong there


class Terms(msgspec.Struct, frozen=True):
    """What one `x-ivymux` states; None is not stated."""

    cls: str | None = None
    effect: Effect | None = None
    cost: Cost | None = None
    aim: float | None = None
    deadline: float | None = None
    worth: float | None = None
    key: Key | None = None

    def over(self, outer: Terms) -> Terms:
        """These terms with what they leave open taken from outer ones."""
        return Terms(*(mine if mine is not None else theirs for mine, theirs in zip(
            msgspec.structs.astuple(self), msgspec.structs.astuple(outer), strict=True)))  # fmt: skip


def number(raw: Any, most: float) -> float | None:
    """A finite positive number up to `most`."""
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not math.isfinite(raw):
        return None
    return float(raw) if 0 < raw <= most else None


def read_terms(raw: Any, most_deadline: float, report: Report) -> Terms:
    """One extension object.  A field that is wrong is reported, never guessed."""
    if not isinstance(raw, dict):
        report("", f"{NAME} is not an object")
        return Terms()
    for name in raw:
        if name not in FIELDS:
            report(f"/{name}", f"no such field; it has {', '.join(FIELDS)}")
    cls = raw.get("class")
    if cls is not None and not (isinstance(cls, str) and CLASS.fullmatch(cls)):
        report("/class", "a class is a name of up to 64 letters, digits, dots, dashes and underscores")
        cls = None
    effect = None
    if "effect" in raw:
        try:
            effect = Effect(raw["effect"])
        except ValueError:
            report("/effect", "an effect is safe, keyed or unsafe")
    times: dict[str, float | None] = {}
    for name, most in (("aim", most_deadline), ("deadline", most_deadline), ("worth", 1e6)):
        times[name] = number(raw[name], most) if name in raw else None
        if name in raw and times[name] is None:
            report(f"/{name}", f"not a number over 0 and up to {most:g}")
    cost = read_cost(raw["cost"], report) if "cost" in raw else None
    key = read_key(raw["key"], report) if "key" in raw else None
    return Terms(cls, effect, cost, times["aim"], times["deadline"], times["worth"], key)


def read_cost(raw: Any, report: Report) -> Cost | None:
    if not isinstance(raw, dict):
        amount = number(raw, MAX_COST)
        if amount is None:
            report("/cost", f"a cost is a number over 0 and up to {MAX_COST:g}, or from, per and most")
            return None
        return Cost(amount)
    for name in raw:
        if name not in ("from", "per", "most", "absent"):
            report(f"/cost/{name}", "no such field; a cost has from, per, most and absent")
            return None
    source, _, name = str(raw.get("from", "")).partition(".")
    if source not in ("query", "path", "header") or not name:
        report("/cost/from", "write query.NAME, path.NAME or header.NAME")
        return None
    per, most = number(raw.get("per", 1), 1e12), number(raw.get("most"), MAX_COST)
    if per is None:
        report("/cost/per", "not a number over 0")
        return None
    if most is None or most < 1:
        report("/cost/most", f"a cost from a parameter needs a bound from 1 to {MAX_COST:g}")
        return None
    absent = number(raw.get("absent", 1), most)
    if absent is None:
        report("/cost/absent", "not a number over 0 and up to most")
        return None
    return Cost(absent, source, name.lower() if source == "header" else name, per, most)  # type: ignore[arg-type]


def read_key(raw: Any, report: Report) -> Key | None:
    source, dot, name = str(raw).partition(".") if isinstance(raw, str) else ("", "", "")
    if not dot:
        source, name = "header", source
    if source == "header" and FIELD_NAME.fullmatch(name):
        return Key("header", name)
    if source == "query" and 0 < len(name) <= 64:
        return Key("query", name)
    report("/key", "write header.NAME or query.NAME")
    return None
