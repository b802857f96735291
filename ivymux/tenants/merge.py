"""JSON Merge Patch (RFC 7396), and what is other between two documents.  Pure."""

from __future__ import annotations

from typing import Any

MAX_DIFFERENCES = 200


def merge(target: Any, patch: Any) -> Any:
    """The target with a patch: objects are merged, None removes, all else replaces.  Changes neither."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = merge(result.get(name), value)
    return result


def pointer(place: tuple[str, ...]) -> str:
    """A place as a JSON pointer (RFC 6901)."""
    return "".join("/" + part.replace("~", "~0").replace("/", "~1") for part in place)


def differences(before: Any, after: Any, place: tuple[str, ...] = ()) -> list[dict[str, Any]]:
    """Where two documents differ: `path`, and `before` and `after` where there was or is something."""
    if before == after and type(before) is type(after):
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        found: list[dict[str, Any]] = []
        for name in sorted(before.keys() | after.keys()):
            here = (*place, name)
            if name not in after:
                found.append({"path": pointer(here), "before": before[name]})
            elif name not in before:
                found.append({"path": pointer(here), "after": after[name]})
            else:
                found += differences(before[name], after[name], here)
            if len(found) >= MAX_DIFFERENCES:
                break
        return found[:MAX_DIFFERENCES]
    return [{"path": pointer(place), "before": before, "after": after}]
