"""Messages to proxies about the holders of a service's shards: all, or what changed.  Pure."""

from __future__ import annotations

from collections.abc import Mapping

from ivymux.registry import message_kinds as kinds
from ivymux.sharding import SETTING_PREFIX
from ivymux.sharding.shard_table import ShardTable
from ivymux.transport.frames import Message

NO_VERSION = -1

Settings = Mapping[str, tuple[int, str]]  # versions and texts by name


def is_shard_table(setting: str) -> bool:
    """Whether a replicated setting holds a service's shards."""
    return setting.startswith(SETTING_PREFIX)


def shard_message(setting: str, version: int, text: str, known: tuple[int, str] | None = None) -> Message:
    """Return the message with a service's holders, or with those that differ from a known version.

    Raises ShardingError.
    """
    known_version, known_text = known if known is not None else (NO_VERSION, "")
    table = ShardTable.decode(text)
    before = ShardTable.decode(known_text) if known_text else None
    changed: dict[str, list[int]] = {}
    for shard, holder in enumerate(table.holders):
        if before is None or before.holders[shard].backend != holder.backend:
            changed.setdefault(holder.backend, []).append(shard)
    return {
        "k": kinds.SHARDS,
        "s": setting.removeprefix(SETTING_PREFIX),
        "f": known_version,
        "v": version,
        "c": changed,
    }
