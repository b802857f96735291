"""Choice of the members and the backup of the next epoch.  Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ivymux.config_store.records import EpochRecord, address_of
from ivymux.config_store.timing import MIN_MEMBERS


def next_members(
    record: EpochRecord, identity: str, joining: Iterable[str], removable: Sequence[str]
) -> tuple[str, ...]:
    """Return the next epoch's members, which differ from `record`'s by at most one machine.

    A joining machine replaces the member at its own address, whose disk was lost; else it replaces a
    member in `removable`, which is silent or leaves; else it is added.  Without a joining machine, a member
    in `removable` is removed while more than MIN_MEMBERS are left.
    """
    members = list(record.members)
    joiner = next((machine for machine in joining if machine not in members), None)
    replaced = _member_at_address(members, joiner)
    if replaced == identity:  # another machine at the primary's address: the primary stays
        joiner = None
    if replaced is None or replaced == identity:
        replaced = next(iter(removable), None)
    if joiner is not None and replaced is not None:
        members[members.index(replaced)] = joiner
    elif joiner is not None:
        members.append(joiner)
    elif replaced is not None and len(members) > MIN_MEMBERS:
        members.remove(replaced)
    return tuple(members)


def _member_at_address(members: list[str], joiner: str | None) -> str | None:
    """Return the member at a joining machine's address."""
    if joiner is None:
        return None
    return next((member for member in members if address_of(member) == address_of(joiner)), None)


def choose_backup(
    record: EpochRecord, identity: str, able: Iterable[str], unfit: Iterable[str], partner: str
) -> str | None:
    """Return the backup: preferably `partner`, then another member, then a joining machine.

    The partner holds the state: it is the other one of the previous epoch's primary and backup.
    A machine in `unfit` comes after every other one.  Returns None where no machine is `able`.
    """
    avoided = set(unfit)
    return min(
        (member for member in able if member != identity),
        key=lambda m: (m in avoided, m != partner, m not in record.members, address_of(m)),
        default=None,
    )
