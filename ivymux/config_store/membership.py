"""Who the members of the next epoch are, and who its backup.  Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ivymux.config_store.records import EpochRecord, address_of
from ivymux.config_store.timing import MIN_MEMBERS


def next_members(
    record: EpochRecord, me: str, joining: Iterable[str], going: Sequence[str]
) -> tuple[str, ...]:
    """One machine in, out, or in the place of another at a time.

    A machine that has lost its disk takes the place of what it was; another that joins takes that of a
    member that is `going`, which has been silent for long or leaves.  Below LEAST_MEMBERS nobody is let out.
    """
    members = list(record.members)
    joiner = next((identity for identity in joining if identity not in members), None)
    replaced = _former_self(members, joiner)
    if replaced == me:  # two machines at one address: the one that leads stays
        joiner = None
    if replaced is None or replaced == me:
        replaced = next(iter(going), None)
    if joiner is not None and replaced is not None:
        members[members.index(replaced)] = joiner
    elif joiner is not None:
        members.append(joiner)
    elif replaced is not None and len(members) > MIN_MEMBERS:
        members.remove(replaced)
    return tuple(members)


def _former_self(members: list[str], joiner: str | None) -> str | None:
    """The member at a joiner's address."""
    if joiner is None:
        return None
    return next((member for member in members if address_of(member) == address_of(joiner)), None)


def choose_backup(
    record: EpochRecord, me: str, able: Iterable[str], unfit: Iterable[str], partner: str
) -> str | None:
    """Who keeps the second copy: the one that has it, then a member, then a joiner; the unfit last."""
    last = set(unfit)
    return min(
        (member for member in able if member != me),
        key=lambda m: (m in last, m != partner, m not in record.members, address_of(m)),
        default=None,
    )
