"""Names by which frameworks let a request be taken for one of another method."""

from __future__ import annotations

from urllib.parse import parse_qsl, unquote_plus

HEADERS = frozenset((b"x-http-method-override", b"x-http-method", b"x-method-override"))
NAMES = frozenset(("_method", "x-http-method-override", "x-http-method", "x-method-override", "_httpmethod"))
FORM = b"application/x-www-form-urlencoded"


def is_override(name: str) -> bool:
    return name.strip().lower().replace("-", "_") in FOLDED


FOLDED = frozenset(name.replace("-", "_") for name in NAMES)


def in_query(query: bytes) -> str | None:
    """The parameter of a query, or of a form, that would override the method."""
    # No override's name can be there without an m, escaped or not; most queries end here.
    lowered = query.lower()
    if b"method" not in lowered and b"%" not in lowered:
        return None
    for part in lowered.replace(b";", b"&").split(b"&"):
        name = unquote_plus(part.partition(b"=")[0].decode("latin-1"))
        # Frameworks take a[b] and a.b for fields within a; the whole name is what overrides.
        if is_override(name.partition("[")[0]):
            return name
    return None


def values(query: bytes | None, name: str) -> list[str]:
    """All values of a query's parameter."""
    if not query:
        return []
    return [v for k, v in parse_qsl(query.decode("ascii"), keep_blank_values=True) if k == name]
