"""The `x-ivymux` extension, by which a description sets class, effect, cost and times of operations.

It may stand at the root, at a path item and at an operation; the innermost one that sets a field applies.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

import msgspec

from ivymux.routes.model import Cost, Key
from orchidhill.interface import Effect

EXTENSION_KEY = "x-ivymux"
FIELDS = ("class", "effect", "cost", "aim", "deadline", "worth", "key")
CLASS = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
HEADER_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}")  # a header's name (RFC 9110, 5.1)
MAX_COST = 1e6  # quota units of one request
ReportError = Callable[[str, str], None]  # takes a JSON pointer below the extension, and the error there


class OperationSettings(msgspec.Struct, frozen=True):
    """The fields of one `x-ivymux` object; None if a field is absent."""

    cls: str | None = None
    effect: Effect | None = None
    cost: Cost | None = None
    aim: float | None = None
    deadline: float | None = None
    worth: float | None = None
    key: Key | None = None

    def with_defaults(self, outer: OperationSettings) -> OperationSettings:
        """Return these settings, with absent fields taken from the outer ones."""
        return OperationSettings(*(own if own is not None else inherited for own, inherited in zip(
            msgspec.structs.astuple(self), msgspec.structs.astuple(outer), strict=True)))  # fmt: skip


def parse_number(raw: Any, maximum: float) -> float | None:
    """Return the value as a float if it is a finite positive number up to `maximum`, else None."""
    if isinstance(raw, bool) or not isinstance(raw, int | float) or not math.isfinite(raw):
        return None
    return float(raw) if 0 < raw <= maximum else None


def parse_extension(raw: Any, most_deadline: float, report: ReportError) -> OperationSettings:
    """Parse an extension object; invalid fields are reported and left out."""
    if not isinstance(raw, dict):
        report("", f"{EXTENSION_KEY} is not an object")
        return OperationSettings()
    for name in raw:
        if name not in FIELDS:
            report(f"/{name}", f"no such field; the fields are {', '.join(FIELDS)}")
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
    for name, maximum in (("aim", most_deadline), ("deadline", most_deadline), ("worth", 1e6)):
        times[name] = parse_number(raw[name], maximum) if name in raw else None
        if name in raw and times[name] is None:
            report(f"/{name}", f"not a number above 0 and up to {maximum:g}")
    cost = parse_cost(raw["cost"], report) if "cost" in raw else None
    key = parse_key(raw["key"], report) if "key" in raw else None
    return OperationSettings(cls, effect, cost, times["aim"], times["deadline"], times["worth"], key)


def parse_cost(raw: Any, report: ReportError) -> Cost | None:
    """Parse a cost: a number, or an object that computes it from a parameter.  Errors are reported."""
    if not isinstance(raw, dict):
        amount = parse_number(raw, MAX_COST)
        if amount is None:
            report("/cost", f"a cost is a number above 0 and up to {MAX_COST:g}, or has from, per and most")
            return None
        return Cost(amount)
    for name in raw:
        if name not in ("from", "per", "most", "absent"):
            report(f"/cost/{name}", "no such field; the fields of a cost are from, per, most and absent")
            return None
    source, _, name = str(raw.get("from", "")).partition(".")
    if source not in ("query", "path", "header") or not name:
        report("/cost/from", "write query.NAME, path.NAME or header.NAME")
        return None
    per, most = parse_number(raw.get("per", 1), 1e12), parse_number(raw.get("most"), MAX_COST)
    if per is None:
        report("/cost/per", "not a number above 0")
        return None
    if most is None or most < 1:
        report("/cost/most", f"a cost from a parameter needs a bound from 1 to {MAX_COST:g}")
        return None
    absent = parse_number(raw.get("absent", 1), most)
    if absent is None:
        report("/cost/absent", "not a number above 0 and up to the value of most")
        return None
    return Cost(absent, source, name.lower() if source == "header" else name, per, most)  # type: ignore[arg-type]


def parse_key(raw: Any, report: ReportError) -> Key | None:
    """Parse `header.NAME`, `query.NAME` or a header's name alone.  Errors are reported."""
    source, separator, name = str(raw).partition(".") if isinstance(raw, str) else ("", "", "")
    if not separator:
        source, name = "header", source
    if source == "header" and HEADER_NAME.fullmatch(name):
        return Key("header", name)
    if source == "query" and 0 < len(name) <= 64:
        return Key("query", name)
    report("/key", "write header.NAME or query.NAME")
    return None
