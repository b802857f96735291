"""The records of the desired state, and the interfaces that each of its stores implements.

The desired state is what the administrators of an installation have configured: its tenants, the texts that
these refer to, administrators' keys and the audit records.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Literal, Protocol

import msgspec

from ivymux.tenants.model import Tenant
from ivymux.tenants.secret import StoredKey

Role = Literal["operator", "tenant"]


class StoreError(Exception):
    """The store can't carry out a call; nothing was changed, unless a subclass says otherwise."""


class StoreBusy(StoreError):
    """The store is locked by another process, or is unreachable."""


class StoreFull(StoreError):
    """The store has no space left, or a change exceeds one of its size limits."""


class StoreDamaged(StoreError):
    """The stored data can't be read; `ivymux` never overwrites it."""


class HostTaken(StoreError):
    """A host name belongs to another tenant; the text does not disclose which one."""

    def __init__(self, host: str) -> None:
        self.host = host
        super().__init__(f"the host name {host!r} is not free")


class RevisionConflict(Exception):
    """The tenant's revision is no longer the one that a change was based on."""

    def __init__(self, current: StoredTenant | None) -> None:
        self.current = current
        super().__init__("changed meanwhile")


class StoredTenant(msgspec.Struct, frozen=True):
    """A tenant as it is stored.  A tenant that is created later under the same name has another `uid`."""

    name: str
    uid: str
    revision: int  # the revision of the installation's state that changed the tenant last
    created: float  # Unix time
    tenant: Tenant


class DeletedTenant(msgspec.Struct, frozen=True):
    """A tenant that was deleted."""

    name: str
    uid: str
    revision: int


class Admin(msgspec.Struct, frozen=True):
    """A key of the administration API; an empty `uid` means an operator's key."""

    id: str
    name: str  # the key's owner, for the audit record
    uid: str
    kept: StoredKey

    @property
    def role(self) -> Role:
        """Whose key this is: an operator's, or that of a tenant's administrator."""
        return "tenant" if self.uid else "operator"


class AuditRecord(msgspec.Struct, frozen=True):
    """Who changed what; `changes` never contain a secret or the hash of one."""

    revision: int
    at: float  # Unix time
    who: str
    origin: str  # the client address that the change came from
    action: str
    uid: str
    tenant: str
    changes: list[dict[str, Any]] = []


class StoredAnswer(msgspec.Struct, frozen=True):
    """The stored answer to a creation, which is sent again for repeated requests (idempotency key)."""

    fingerprint: str  # the digest of the request's body
    status: int
    body: bytes
    etag: str


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change of one tenant, which is committed in one transaction.

    `expected` is the tenant's revision before the change, or 0 if no tenant of that name exists.  If `tenant`
    is None, the tenant is deleted.
    """

    name: str
    expected: int
    tenant: Tenant | None
    uid: str
    at: float
    who: str
    origin: str
    action: str
    changes: list[dict[str, Any]] = []
    blobs: Mapping[str, bytes] = {}
    add_admins: Sequence[Admin] = ()
    drop_admins: Sequence[str] = ()
    repeat: tuple[str, StoredAnswer] | None = None  # the idempotency key and the stored answer


class GatewayReport(msgspec.Struct, frozen=True):
    """What a gateway reports: the revision that it serves, and the usage of its tenants."""

    door: str  # the gateway's name
    revision: int
    at: float  # Unix time
    usage: dict[str, dict[str, float]] = {}  # by uid
    problems: dict[str, str] = {}  # by uid: why a tenant's latest state is not served


class StateReader(Protocol):
    """What every store of the desired state can read.

    Calls block on the disk or the network, so they are made from worker threads.  All raise StoreError.
    """

    def lineage(self) -> str:
        """Return the id of a state, which it keeps for its whole history; a new empty state has a new id."""

    def revision(self) -> int:
        """Return the revision of the state, which each commit increases."""
        ...

    def blob(self, name: str, uid: str) -> bytes | None:
        """Return a text of the tenant `uid` by its digest `name`; None if it is missing."""

    def close(self) -> None: ...


class GatewayStore(StateReader, Protocol):
    """The store interface that a gateway uses."""

    def changes_since(self, revision: int) -> tuple[int, list[StoredTenant], list[DeletedTenant] | None]:
        """Return the current revision, and the tenants changed and deleted since `revision`.

        Instead of the deleted tenants, None is returned if the deletions are no longer known that far back.
        Then the changed tenants are all that exist, and every other tenant has been deleted.
        """

    def report(self, report: GatewayReport) -> None:
        """Store a gateway's report in place of its last one."""
        ...

    def change_hint(self) -> object:
        """Return a value that differs from the last one if the state may have changed since.

        The call is cheap enough for the event loop.  The value may miss a change, so the state has to be read
        from time to time even if the value stays the same.
        """


class Store(StateReader, Protocol):
    """The store interface that the administration API uses.

    A commit that has returned survives a crash.  Lists are limited to `limit` entries.
    """

    poll_interval_s: float  # the shortest interval between polls for changes that the store can bear

    def get(self, name: str) -> StoredTenant | None:
        """Return a tenant by its name; None if there is none."""
        ...

    def page(self, after: str, limit: int) -> list[StoredTenant]:
        """Return the tenants whose names sort after `after`, by name."""
        ...

    def commit(self, change: Change) -> int:
        """Commit a change and return the new revision.

        Raises RevisionConflict, changing nothing, if the tenant's revision is not the expected one.
        """

    def answer_of_repeat(self, key: str) -> StoredAnswer | None:
        """Return the stored answer of the creation with an idempotency key; None if there is none."""
        ...

    def admin(self, key_id: str) -> Admin | None:
        """Return an administrator by the id of the key; None if there is none."""
        ...

    def admins(self, uid: str) -> list[Admin]:
        """Return the administrators of a tenant, or the operators for an empty `uid`."""
        ...

    def add_operator(self, admin: Admin, at: float) -> None:
        """Store an operator's key; `at` is Unix time.  Only the command line calls this."""

    def audit(self, uid: str, before: int, limit: int) -> list[AuditRecord]:
        """Return the audit records of a tenant, or of all for an empty `uid`, newest first.

        Only those of revisions lower than `before` are returned.
        """
        ...

    def history(self, uid: str, limit: int) -> list[StoredTenant]:
        """Return the stored revisions of a tenant, newest first."""
        ...

    def reports(self) -> list[GatewayReport]:
        """Return the last report of each gateway; old ones expire."""
        ...
