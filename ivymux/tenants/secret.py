"""API keys: created once, stored as salted hashes, compared in constant time.

A key has the form `PREFIX_ID_SECRET`.  The stored entry is found by the id; only the secret is confidential.
The secret has 256 random bits, so one round of SHA-256 over salt and secret is as hard to invert as guessing
the key.

Pure except for the system's random numbers.
"""

from __future__ import annotations

import hmac
import re
import secrets
from collections.abc import Callable, Mapping
from hashlib import sha256

import msgspec

from ivymux.service.callers import MAX_KEY_BYTES, Caller

CALLER_PREFIX, ADMIN_PREFIX = "iv", "ivadm"
KEY_PATTERN = re.compile(rb"(iv|ivadm)_([0-9a-f]{16})_([A-Za-z0-9_-]{43})")
NO_SECRET_HASH = "0" * 64  # compared where there is no entry, so that both cases take the same time
MAX_CACHED_KEYS = 2048  # of one tenant


class StoredKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is stored of a key.

    `made` and `ends` are Unix times; the key expires at `ends`, or never if it is 0.
    """

    salt: str
    hash: str
    made: float
    ends: float = 0.0

    def is_valid_at(self, now: float) -> bool:
        """Return whether the key has not expired at a Unix time."""
        return not self.ends or now < self.ends


def hash_secret(salt: str, secret: bytes) -> str:
    """Return the hash of a secret, in hex; the salt is in hex too."""
    return sha256(bytes.fromhex(salt) + secret).hexdigest()


def create_key(prefix: str, now: float) -> tuple[str, str, StoredKey]:
    """Create a key; return its id, the key itself, and what to store of it."""
    key_id, secret, salt = secrets.token_hex(8), secrets.token_urlsafe(32), secrets.token_hex(16)
    return key_id, f"{prefix}_{key_id}_{secret}", StoredKey(salt, hash_secret(salt, secret.encode()), now)


def split_key(key: bytes, prefix: str) -> tuple[str, bytes] | None:
    """Return a key's id and secret, or None if it is malformed or has another prefix."""
    if (
        len(key) > MAX_KEY_BYTES
        or (parts := KEY_PATTERN.fullmatch(key)) is None
        or parts[1] != prefix.encode()
    ):
        return None
    return parts[2].decode(), parts[3]


def is_valid_secret(stored: StoredKey | None, secret: bytes, now: float) -> bool:
    """Return whether a secret belongs to a stored key that is valid.

    Takes the same time without an entry, so that the time does not reveal which ids exist.
    """
    salt, expected_hash = (stored.salt, stored.hash) if stored is not None else ("00" * 16, NO_SECRET_HASH)
    is_equal = hmac.compare_digest(hash_secret(salt, secret), expected_hash)
    return is_equal and stored is not None and stored.is_valid_at(now)


class TenantCallers:
    """The keys of one tenant's callers; `clock` returns Unix time."""

    def __init__(self, keys: Mapping[str, tuple[StoredKey, Caller]], clock: Callable[[], float]) -> None:
        self.keys, self.clock = keys, clock
        self.cache: dict[bytes, tuple[StoredKey, Caller]] = {}  # verified keys, by the hash of the whole key

    def find(self, key: bytes) -> Caller | None:
        """Return the caller of a valid key.

        A key that was verified before is found by its hash; the cache does not contain the key itself.
        """
        if len(key) > MAX_KEY_BYTES:
            return None
        cache_name = sha256(key).digest()
        found = self.cache.get(cache_name)
        if found is None:
            parts = split_key(key, CALLER_PREFIX)
            if parts is None:
                return None
            found = self.keys.get(parts[0])
            if not is_valid_secret(found[0] if found else None, parts[1], self.clock()) or found is None:
                return None
            if len(self.cache) >= MAX_CACHED_KEYS:
                self.cache.clear()
            self.cache[cache_name] = found
        stored, caller = found
        return caller if not stored.ends or stored.is_valid_at(self.clock()) else None
