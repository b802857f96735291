"""Names of a tenant's counters in a counter service that several tenants use.  Pure."""

from __future__ import annotations

from hashlib import blake2b


def counter_name(uid: str, name: int) -> int:
    """Return the shared name of a tenant's counter, which no other tenant can produce.

    The name is hashed with the tenant's uid as the key.  No request carries the uid and no API shows it.  A
    later tenant of the same name has another uid and so inherits no counts.
    """
    return int.from_bytes(blake2b(b"%d" % name, digest_size=8, key=uid.encode()[:64]).digest(), "little")
