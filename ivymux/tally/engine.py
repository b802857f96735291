"""The tally on Redis or Valkey: its one step there, names, lanes, and when to call again.  Pure."""

from __future__ import annotations

import hashlib

import msgspec

from ivymux.data_plane.limits import ConfigError, parse_address

# One step at the server, as no two of its calls may have another door's between them.  The name's life is set
# by its first call; `b` is drawn by it too, so that a name which was lost and begun anew can be told.
# A caller's call that came before (its number is one of the caller's last two) adds nothing.
SCRIPT = """\
local last, before = 'l' .. ARGV[4], 'p' .. ARGV[4]
local again = ARGV[5] ~= '0'
if again then
  local known = redis.call('HGET', KEYS[1], last)
  if known == ARGV[5] or redis.call('HGET', KEYS[1], before) == ARGV[5] then
    return {redis.call('HGET', KEYS[1], 't'), redis.call('HGET', KEYS[1], 'b')}
  end
  if known then redis.call('HSET', KEYS[1], before, known) end
  redis.call('HSET', KEYS[1], last, ARGV[5])
end
local total = redis.call('HINCRBYFLOAT', KEYS[1], 't', ARGV[1])
if redis.call('HSETNX', KEYS[1], 'b', ARGV[3]) == 1 then
  redis.call('PEXPIRE', KEYS[1], ARGV[2])
end
return {total, redis.call('HGET', KEYS[1], 'b')}
"""
SHA = hashlib.sha1(SCRIPT.encode()).hexdigest()  # by which the server knows it
LANES = 16  # calls out at once; those of one name follow each other in one lane
SLOTS = 16384
MAX_LIFE = 60_000  # milliseconds
RETRY_FIRST, RETRY_MAX = 0.05, 1.0  # seconds between calls while nobody can be reached
TABLE = []
for _byte in range(256):
    _crc = _byte << 8
    for _ in range(8):
        _crc = (_crc << 1) ^ 0x1021 if _crc & 0x8000 else _crc << 1
    TABLE.append(_crc & 0xFFFF)


class RedisPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """`[tally.redis]`: where the counts are kept."""

    nodes: list[str]  # HOST:PORT; sentinels, or any of a cluster's nodes
    mode: str = "single"  # or sentinel, cluster
    service: str = ""  # the master's name at the sentinels
    username: str = ""
    password_file: str = ""  # beside this file; its first line is the password
    sentinel_password_file: str = ""
    tls: bool = False
    ca: str = ""  # a file beside this one, PEM
    prefix: str = "ivymux:"  # all keys begin so
    protocol: int = 3  # of RESP
    password: str = ""  # read from the files
    sentinel_password: str = ""


def check(part: RedisPart) -> None:
    """Raises ConfigError."""
    if part.mode not in ("single", "sentinel", "cluster"):
        raise ConfigError(f"tally.redis.mode is {part.mode!r}; write single, sentinel or cluster")
    if not part.nodes or (part.mode == "single" and len(part.nodes) != 1):
        raise ConfigError("tally.redis.nodes: write one HOST:PORT; several for sentinel and cluster")
    for node in part.nodes:
        try:
            parse_address(node)
        except ConfigError as error:
            raise ConfigError(f"tally.redis.nodes: {error}") from None
    if (part.mode == "sentinel") != bool(part.service):
        raise ConfigError("tally.redis.service: the master's name, where mode is sentinel and nowhere else")
    if part.protocol not in (2, 3):
        raise ConfigError(f"tally.redis.protocol is {part.protocol}; write 2 or 3")
    if part.password or part.sentinel_password:
        raise ConfigError("tally.redis.password: write it into a file, and the file into password_file")
    if "{" in part.prefix or "}" in part.prefix or len(part.prefix) > 32:
        raise ConfigError("tally.redis.prefix: up to 32 characters, without braces")


def slot(key: bytes) -> int:
    """The hash slot of a key without braces: CRC16 (XMODEM) modulo 16384 ("Redis cluster specification")."""
    crc = 0
    for byte in key:
        crc = ((crc << 8) & 0xFFFF) ^ TABLE[(crc >> 8) ^ byte]
    return crc % SLOTS


def lane(key: bytes) -> int:
    """Neighbouring slots share a lane, as they mostly share a server: one that hangs holds up few others."""
    return slot(key) * LANES // SLOTS


def arguments(amount: float, life: float, born: int, caller: bytes, call: int) -> tuple[bytes, ...]:
    """What the script is called with: an amount, a life in milliseconds from one in seconds, a birth, whose
    call it is and its number (0: it never comes again).
    """
    span = max(1, min(MAX_LIFE, round(life * 1000)))
    return b"%.6f" % amount, b"%d" % span, b"%d" % born, caller, b"%d" % call


def pause(before: float, chance: float) -> tuple[float, float]:
    """Seconds until the next try, and the pause to go on from; `chance` from 0 to 1 keeps doors apart."""
    return before * (0.5 + chance / 2), min(RETRY_MAX, 2 * before)
