"""Keys: made once, kept as salted hashes, compared in constant time.  Pure but for the system's randomness.

A key is `PREFIX_ID_SECRET`.  The id finds its entry; only the secret is secret.  It has 256 random bits, so
one round of SHA-256 over salt and secret is as hard to turn back as the key is to guess.
"""

from __future__ import annotations

import hmac
import re
import secrets
from collections.abc import Callable, Mapping
from hashlib import sha256

import msgspec

from ivymux.service.callers import MAX_KEY, Caller

CALLER, ADMIN = "iv", "ivadm"
FORM = re.compile(rb"(iv|ivadm)_([0-9a-f]{16})_([A-Za-z0-9_-]{43})")
NOBODY = "0" * 64
MAX_MET = 2048  # keys of a tenant that are known by their hash


class Kept(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is kept of a key.  `ends`: Unix time from which on it no longer counts, 0 for never."""

    salt: str
    hash: str
    made: float
    ends: float = 0.0

    def counts(self, now: float) -> bool:
        return not self.ends or now < self.ends


def hashed(salt: str, secret: bytes) -> str:
    return sha256(bytes.fromhex(salt) + secret).hexdigest()


def make(prefix: str, now: float) -> tuple[str, str, Kept]:
    """A new key: its id, the key itself, which is shown once, and what is kept of it."""
    number, secret, salt = secrets.token_hex(8), secrets.token_urlsafe(32), secrets.token_hex(16)
    return number, f"{prefix}_{number}_{secret}", Kept(salt, hashed(salt, secret.encode()), now)


def split(key: bytes, prefix: str) -> tuple[str, bytes] | None:
    """A key's id and secret; None for what can't be one."""
    if len(key) > MAX_KEY or (found := FORM.fullmatch(key)) is None or found[1] != prefix.encode():
        return None
    return found[2].decode(), found[3]


def fits(kept: Kept | None, secret: bytes, now: float) -> bool:
    """Whether a secret is that of an entry.  Takes as long where there is none."""
    salt, wanted = (kept.salt, kept.hash) if kept is not None else ("00" * 16, NOBODY)
    same = hmac.compare_digest(hashed(salt, secret), wanted)
    return same and kept is not None and kept.counts(now)


class TenantCallers:
    """One tenant's keys at a front door."""

    def __init__(self, keys: Mapping[str, tuple[Kept, Caller]], clock: Callable[[], float]) -> None:
        self.keys, self.clock = keys, clock  # the clock tells Unix time
        self.met: dict[bytes, tuple[Kept, Caller]] = {}  # keys that fitted before, by their hash

    def find(self, key: bytes) -> Caller | None:
        """Whose key it is.  One that fitted before is found by its hash, which tells nothing of the key."""
        if len(key) > MAX_KEY:
            return None
        name = sha256(key).digest()
        found = self.met.get(name)
        if found is None:
            parts = split(key, CALLER)
            if parts is None:
                return None
            found = self.keys.get(parts[0])
            if not fits(found[0] if found else None, parts[1], self.clock()) or found is None:
                return None
            if len(self.met) >= MAX_MET:
                self.met.clear()
            self.met[name] = found
        kept, caller = found
        return caller if not kept.ends or kept.counts(self.clock()) else None
