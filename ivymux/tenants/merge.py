"""JSON Merge Patch (RFC 7396) and the differences between two JSON documents.  Pure."""

from __future__ import annotations

from typing import Any

MAX_DIFFERENCES = 200


def merge(target: Any, patch: Any) -> Any:
    """Return the target with a patch applied: objects are merged, None removes, other values replace.

    Neither argument is changed.
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = merge(result.get(name), value)
    return result


def pointer(path: tuple[str, ...]) -> str:
    """Return the JSON pointer (RFC 6901) of a path of member names."""
    return "".join("/" + part.replace("~", "~0").replace("/", "~1") for part in path)


def differences(before: Any, after: Any, path: tuple[str, ...] = ()) -> list[dict[str, Any]]:
    """Return the places where two documents differ, at most MAX_DIFFERENCES.

    Each entry has a `path` (a JSON pointer), and the values `before` and `after` where there is one.
    """
    if before == after and type(before) is type(after):
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        found: list[dict[str, Any]] = []
        for name in sorted(before.keys() | after.keys()):
            member_path = (*path, name)
            if name not in after:
                found.append({"path": pointer(member_path), "before": before[name]})
            elif name not in before:
                found.append({"path": pointer(member_path), "after": after[name]})
            else:
                found += differences(before[name], after[name], member_path)
            if len(found) >= MAX_DIFFERENCES:
                break
        return found[:MAX_DIFFERENCES]
    return [{"path": pointer(path), "before": before, "after": after}]
