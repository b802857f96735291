"""Counters in Redis or Valkey: settings, the script, hash slots of keys, lanes and retry delays.  Pure."""

from __future__ import annotations

import hashlib

import msgspec

from ivymux.data_plane.limits import ConfigError, parse_address

# A script, because the server executes it atomically: no other gateway's calls may run between its commands.
# The first call for a name sets the name's life and its incarnation `b`, a random number by which callers
# notice that the name was lost and created again.  A repeated call adds nothing: its number is one of the
# caller's last two.  Fields of a name: `t` is the total, `l` and `p` with a caller's id its last two numbers.
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
SCRIPT_SHA1 = hashlib.sha1(SCRIPT.encode()).hexdigest()  # identifies the script in EVALSHA
LANES = 16  # max concurrent calls; the calls for one name run one by one in its lane
HASH_SLOTS = 16384
MAX_LIFE_MS = 60_000
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # while the server is unreachable
CRC16_TABLE = []
for _byte in range(256):
    _crc = _byte << 8
    for _ in range(8):
        _crc = (_crc << 1) ^ 0x1021 if _crc & 0x8000 else _crc << 1
    CRC16_TABLE.append(_crc & 0xFFFF)


class RedisPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The settings `[tally.redis]`: the servers that store the counters."""

    nodes: list[str]  # HOST:PORT of the server, the sentinels or some nodes of the cluster
    mode: str = "single"  # or sentinel, cluster
    service: str = ""  # the name of the master that the sentinels monitor
    username: str = ""
    password_file: str = ""  # relative to the settings file; its first line is the password
    sentinel_password_file: str = ""
    tls: bool = False
    ca: str = ""  # PEM file, relative to the settings file
    prefix: str = "ivymux:"  # of all keys
    protocol: int = 3  # RESP version
    password: str = ""  # from password_file; not a setting
    sentinel_password: str = ""  # from sentinel_password_file; not a setting


def check_redis_settings(part: RedisPart) -> None:
    """Check the settings.  Raises ConfigError."""
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
        raise ConfigError(
            "tally.redis.service: write the master's name if mode is sentinel, and nothing otherwise"
        )
    if part.protocol not in (2, 3):
        raise ConfigError(f"tally.redis.protocol is {part.protocol}; write 2 or 3")
    if part.password or part.sentinel_password:
        raise ConfigError(
            "tally.redis.password: write the password into a file, and name the file in password_file"
        )
    if "{" in part.prefix or "}" in part.prefix or len(part.prefix) > 32:
        raise ConfigError("tally.redis.prefix: up to 32 characters, without braces")


def hash_slot(key: bytes) -> int:
    """Return the hash slot of a key without braces: CRC16 (XMODEM) modulo 16384.

    Source: Redis cluster specification.
    """
    crc = 0
    for byte in key:
        crc = ((crc << 8) & 0xFFFF) ^ CRC16_TABLE[(crc >> 8) ^ byte]
    return crc % HASH_SLOTS


def lane_of(key: bytes) -> int:
    """Return the lane of a key.

    Adjacent slots share a lane because they are mostly on the same server: a server that does not respond
    then blocks few of the other servers' calls.
    """
    return hash_slot(key) * LANES // HASH_SLOTS


def script_arguments(
    amount: float, life: float, incarnation: int, caller: bytes, call: int
) -> tuple[bytes, ...]:
    """Return the script's arguments.

    `life` is in seconds.  `incarnation` identifies the name's totals if this call creates them.  `call` is
    the caller's number for this call; 0 if the call is never repeated.
    """
    life_ms = max(1, min(MAX_LIFE_MS, round(life * 1000)))
    return b"%.6f" % amount, b"%d" % life_ms, b"%d" % incarnation, caller, b"%d" % call


def retry_delay(backoff: float, jitter: float) -> tuple[float, float]:
    """Return the delay before the next attempt and the next backoff, in seconds.

    `jitter` is a random number from 0 to 1; it spreads the attempts of several gateways.
    """
    return backoff * (0.5 + jitter / 2), min(MAX_RETRY_DELAY_S, 2 * backoff)
