"""Headers and parameters by which web frameworks let a request override its method."""

from __future__ import annotations

from urllib.parse import parse_qsl, unquote_plus

HEADERS = frozenset((b"x-http-method-override", b"x-http-method", b"x-method-override"))
PARAMETER_NAMES = frozenset(
    ("_method", "x-http-method-override", "x-http-method", "x-method-override", "_httpmethod")
)
FORM = b"application/x-www-form-urlencoded"


def is_override(name: str) -> bool:
    """Whether a parameter's name overrides the method in some framework."""
    return name.strip().lower().replace("-", "_") in NORMALIZED_NAMES


NORMALIZED_NAMES = frozenset(name.replace("-", "_") for name in PARAMETER_NAMES)


def find_in_query(query: bytes) -> str | None:
    """Return the first parameter of a query or form that would override the method; None if there is none."""
    # Every such name contains "method", perhaps with escapes; most queries end here.
    lowered = query.lower()
    if b"method" not in lowered and b"%" not in lowered:
        return None
    for part in lowered.replace(b";", b"&").split(b"&"):
        name = unquote_plus(part.partition(b"=")[0].decode("latin-1"))
        # Frameworks read a[b] as a field of a, so only the part before the bracket is compared.
        if is_override(name.partition("[")[0]):
            return name
    return None


def query_values(query: bytes | None, name: str) -> list[str]:
    """Return all values of a query parameter."""
    if not query:
        return []
    return [v for k, v in parse_qsl(query.decode("ascii"), keep_blank_values=True) if k == name]
