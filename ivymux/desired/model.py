"""What a store of the desired state keeps and promises, whatever it is made of."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Literal, Protocol

import msgspec

from ivymux.tenants.model import Tenant
from ivymux.tenants.secret import StoredKey

Role = Literal["operator", "tenant"]


class StoreError(Exception):
    """The store can't do it now; nothing was changed."""


class StoreBusy(StoreError):
    """Locked by another process, or away."""


class StoreFull(StoreError):
    """No room on the disk."""


class StoreDamaged(StoreError):
    """What is there can't be read; `ivymux` never writes over it."""


class HostTaken(StoreError):
    """A host name that is another tenant's; the text does not say whose."""

    def __init__(self, host: str) -> None:
        self.host = host
        super().__init__(f"the host name {host!r} is not free")


class RevisionConflict(Exception):
    """The state is no longer the one that a change was made from."""

    def __init__(self, current: StoredTenant | None) -> None:
        self.current = current
        super().__init__("changed meanwhile")


class StoredTenant(msgspec.Struct, frozen=True):
    """A tenant as it is kept.  `uid` is its own: one of the same name, made later, has another."""

    name: str
    uid: str
    revision: int  # of the installation, when it changed last
    created: float  # Unix time
    tenant: Tenant


class DeletedTenant(msgspec.Struct, frozen=True):
    """A tenant that was deleted."""

    name: str
    uid: str
    revision: int


class Admin(msgspec.Struct, frozen=True):
    """A key of the administration API; without a tenant's uid it is an operator's."""

    id: str
    name: str  # whose it is, for the audit record
    uid: str
    kept: StoredKey

    @property
    def role(self) -> Role:
        return "tenant" if self.uid else "operator"


class AuditRecord(msgspec.Struct, frozen=True):
    """Who changed what.  `changes` never hold a secret, nor what is kept of one."""

    revision: int
    at: float  # Unix time
    who: str
    origin: str  # the address that it came from
    action: str
    uid: str
    tenant: str
    changes: list[dict[str, Any]] = []


class StoredAnswer(msgspec.Struct, frozen=True):
    """What a creation was answered with, for its repeats."""

    fingerprint: str
    status: int
    body: bytes
    etag: str


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One transaction.

    `expected` is the tenant's revision before: 0 for none of that name.  `tenant` None deletes.
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
    repeat: tuple[str, StoredAnswer] | None = None  # under which key, and what a repeat is answered with


class GatewayReport(msgspec.Struct, frozen=True):
    """What a front door tells: up to which revision it serves, and what its tenants used."""

    door: str
    revision: int
    at: float
    usage: dict[str, dict[str, float]] = {}  # by uid
    problems: dict[str, str] = {}  # by uid: why a tenant's last state is not served


class StateReader(Protocol):
    """What every store of a desired state tells.

    Calls block for as long as a disk or a network does: they are made from threads.  All raise StoreError.
    """

    def lineage(self) -> str:
        """Of which state this is a continuation: one that starts empty has another."""

    def revision(self) -> int: ...

    def blob(self, name: str, uid: str) -> bytes | None:
        """A text of a tenant, by its digest."""

    def close(self) -> None: ...


class GatewayStore(StateReader, Protocol):
    """What a front door needs."""

    def changes_since(self, revision: int) -> tuple[int, list[StoredTenant], list[DeletedTenant] | None]:
        """The revision, tenants changed since and tenants gone since; None where those are not known that far
        back: then all that is not among the tenants of revision 0 is gone.
        """

    def report(self, report: GatewayReport) -> None: ...

    def change_hint(self) -> object:
        """What is other once the state may be; cheap enough for the event loop, and it may miss a change."""


class Store(StateReader, Protocol):
    """What the administration API needs: what was answered is kept, whatever ends the process."""

    poll_interval_s: float  # seconds between looks for changes that don't burden it

    def get(self, name: str) -> StoredTenant | None: ...

    def page(self, after: str, limit: int) -> list[StoredTenant]: ...

    def commit(self, change: Change) -> int:
        """The new revision.  Raises RevisionConflict, changing nothing."""

    def answer_of_repeat(self, key: str) -> StoredAnswer | None: ...

    def admin(self, number: str) -> Admin | None: ...

    def admins(self, uid: str) -> list[Admin]: ...

    def add_operator(self, admin: Admin, at: float) -> None:
        """Keep an operator's key: the first one comes from the command line."""

    def audit(self, uid: str, before: int, limit: int) -> list[AuditRecord]: ...

    def history(self, uid: str, limit: int) -> list[StoredTenant]: ...

    def reports(self) -> list[GatewayReport]: ...
