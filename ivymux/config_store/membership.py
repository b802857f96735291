"""Which members decide on the next epoch, and the choice of its members and backup.  Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ivymux.config_store.records import EpochRecord, Membership, address_of, is_majority


def newest_record(records: Iterable[EpochRecord]) -> EpochRecord:
    """Return the record with the highest number; of two copies, the one that is known to be in force."""
    return max(records, key=lambda record: (record.number, not record.joint_memberships))


def deciding_memberships(records: Iterable[EpochRecord]) -> tuple[Membership, ...]:
    """Return the memberships of all epochs that may be in force, given the records that promises name.

    A majority of each of them has to promise the next epoch, and to accept it.  Every epoch in force below a
    record's number either has its members among the record's memberships, or was followed by one that has.
    So nothing below the newest record without joint memberships needs to be asked.
    """
    records = tuple(records)
    lowest = max((r.number for r in records if not r.joint_memberships), default=-1)
    by_members: dict[frozenset[str], Membership] = {}
    for membership in sorted((m for r in records for m in r.memberships()), key=lambda m: m.number):
        if membership.number >= lowest:
            by_members[frozenset(membership.members)] = membership
    return tuple(by_members.values())


def are_majorities(memberships: Iterable[Membership], votes: set[str]) -> bool:
    """Whether more than half of the members of each membership have voted."""
    return all(is_majority(membership.members, votes) for membership in memberships)


def next_members(
    record: EpochRecord, identity: str, joining: Iterable[str], removable: Sequence[str], min_members: int
) -> tuple[str, ...]:
    """Return the next epoch's members, which differ from `record`'s by at most one machine.

    A joining machine replaces the member at its own address, whose disk was lost; else it replaces a
    member in `removable`, which is silent or leaves; else it is added.  Without a joining machine, a member
    in `removable` is removed while more than `min_members` are left.
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
    elif replaced is not None and len(members) > min_members:
        members.remove(replaced)
    return tuple(members)


def _member_at_address(members: list[str], joiner: str | None) -> str | None:
    """Return the member at a joining machine's address."""
    if joiner is None:
        return None
    return next((member for member in members if address_of(member) == address_of(joiner)), None)


def choose_backups(
    record: EpochRecord, identity: str, able: Iterable[str], unfit: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return `count` backups: preferably machines that hold the state, then members, then joining machines.

    `record`: of the previous epoch, whose primary and backups hold the state.  A machine in `unfit` comes
    after every other one.  Returns fewer where not enough machines are `able`.
    """
    avoided, holders = set(unfit), set(record.copies())
    ranked = sorted(
        (member for member in able if member != identity),
        key=lambda m: (m in avoided, m not in holders, m not in record.members, address_of(m)),
    )
    return tuple(ranked[:count])
