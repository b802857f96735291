"""A gateway's view of the desired state in etcd: the watch, the replica, the cache on disk and reports."""

from __future__ import annotations

import contextlib
import logging
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path

from ivymux.desired.etcd.cache import Cache, Known
from ivymux.desired.etcd.client import Access
from ivymux.desired.etcd.keys import GatewayStatus, Head, State, packed, prefix_end, unpacked
from ivymux.desired.etcd.replica import Replica
from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.etcd.wire import Compacted, Put, Range, number, put_json, watch_json
from ivymux.desired.model import DeletedTenant, GatewayReport, StoreBusy, StoredTenant, StoreError
from ivymux.tenants.model import Tenant

CHECK_INTERVAL_S = 1.0  # between reads that check whether the watch still works
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 2.0  # before an interrupted watch is restarted
REPORT_LEASE_S = 6  # how long a report stays in etcd without renewal
USAGE_INTERVAL_S = 10.0  # between reports of usage
log = logging.getLogger("ivymux")


class Follower:
    """Follows the desired state in etcd, and serves the last known one while etcd is unreachable."""

    def __init__(self, access: Access, prefix: str, door: str, folder: Path | None = None) -> None:
        """Raises StoreError."""
        self.store = EtcdStore(access, prefix)
        self.door = f"{door}-{random.SystemRandom().getrandbits(64):016x}"
        self.name = door
        self.replica = Replica(self.store.keys)
        self.lock = threading.Lock()
        self.cache: Cache | None = None
        if folder is not None:
            try:
                self.cache = Cache(folder)
            except OSError as error:
                raise StoreError(f"the cache {folder} can't be used: {error.strerror}") from None
        self.errors: dict[str, str] = {}  # by source: "watch" or "reads"
        self.closed = threading.Event()
        self.end_watch: Callable[[], None] | None = None
        self.threads: list[threading.Thread] = []
        self.lease = 0
        # The status that was last reported, and the monotonic time of the last report of usage.
        self.last_report: tuple[GatewayStatus, float] | None = None
        self.cached_revision = -1  # the revision of etcd as of which the cache was written
        self.cache_error = ""
        # Uid and revision of the tenants whose texts are cached.
        self.cached_tenants: set[tuple[str, int]] = set()
        self.cache_lock = threading.Lock()

    # --- lifecycle -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Load the state from etcd, or else from the cache, and follow it.

        Raises StoreError if neither works.
        """
        try:
            self.load()
        except StoreError as error:
            known = self.cache.known() if self.cache is not None else None
            if known is None:
                raise
            with self.lock:
                self.replica.state, self.replica.at = known.state, known.at
                self.replica.heads = {head.name: head for head in known.heads}
            self.cached_revision = known.at
            self.errors["watch"] = str(error)
            age = max(0.0, time.time() - known.saved)
            log.warning("etcd: %s; serving the state that was cached %.0f s ago", error, age)
        for work, name in ((self.run_watch, "watch"), (self.run_checks, "look")):
            thread = threading.Thread(target=work, name=f"etcd {name}", daemon=True)
            thread.start()
            self.threads.append(thread)

    def close(self) -> None:
        """Stop following, and delete this gateway's report from etcd."""
        self.closed.set()
        self.stop_watch()
        if self.lease:
            with contextlib.suppress(StoreError):
                self.store.client.call("/v3/lease/revoke", {"ID": str(self.lease)})
        for thread in self.threads:
            thread.join(timeout=2 * self.store.client.access.timeout)
        self.store.close()

    def stop_watch(self) -> None:
        """End the running watch, if any; the watch thread starts another unless the follower is closed."""
        if (end_watch := self.end_watch) is not None:
            end_watch()

    # --- updates ---------------------------------------------------------------------------------------

    def load(self) -> None:
        """Read the whole state.  Raises StoreError."""
        live = self.store.keys.live
        kvs, at = self.store.read_range(live, prefix_end(live))
        with self.lock:
            self.replica.load(kvs, at)
        self.write_cache()

    def run_watch(self) -> None:
        """Keep a watch running until the follower is closed; read the whole state after each interruption."""
        wait, stale = RETRY_DELAY_S, "watch" in self.errors
        while not self.closed.is_set():
            try:
                if stale:
                    self.load()
                    stale = False
                self.watch()
                wait = RETRY_DELAY_S  # stop_watch ended it
                stale = True
            except Compacted:
                stale, wait = True, RETRY_DELAY_S
                log.info("etcd: the watch's next revision was compacted: reading the whole state again")
            except StoreError as error:
                self.set_error("watch", str(error))
                stale = True
            except Exception:
                log.exception("the watch of the desired state failed")
                self.set_error("watch", "the watch failed; see the log")
                stale = True
            self.closed.wait(wait * (0.5 + random.random()))
            wait = min(MAX_RETRY_DELAY_S, 2 * wait) if stale and "watch" in self.errors else RETRY_DELAY_S

    def watch(self) -> None:
        """Apply the events of a watch until it ends.  Raises StoreError, Compacted."""
        live = self.store.keys.live
        request = watch_json(live, prefix_end(live), self.replica.at + 1)
        with self.store.client.watch(request) as (responses, end_watch):
            self.end_watch = end_watch
            try:
                if self.closed.is_set():
                    return
                for response in responses:
                    if response.compacted:
                        raise Compacted("the watch's first revision has been compacted")
                    if response.canceled:
                        raise StoreBusy(f"etcd ended the watch: {response.reason[:100] or 'no reason given'}")
                    self.set_error("watch", "")
                    if response.events:
                        with self.lock:
                            changed = self.replica.apply(response.events, response.revision)
                        if changed:
                            self.write_cache()
            finally:
                self.end_watch = None
        if not self.closed.is_set():
            raise StoreBusy("etcd's watch ended")

    def run_checks(self) -> None:
        """Check the watch by reads, since a stalled watch looks like one without changes."""
        while not self.closed.wait(CHECK_INTERVAL_S * (0.8 + 0.4 * random.random())):
            try:
                found = self.store.range(Range(self.store.keys.state))
                with self.lock:
                    kv = next(iter(found.kvs), None)
                    is_stalled = self.replica.needs_full_read(kv, found.revision, time.monotonic())
                self.set_error("reads", "")
                self.write_cache()  # retries what could not be written earlier
                if is_stalled:
                    log.warning("etcd: the watch is stalled: reads show changes that it lacks; restarting it")
                    self.stop_watch()
            except StoreError as error:
                self.set_error("reads", str(error))
            except Exception:
                log.exception("the check of the watch of the desired state failed")

    def set_error(self, source: str, text: str) -> None:
        """Record the error of a source; an empty text clears it."""
        if text:
            self.errors[source] = text
        else:
            self.errors.pop(source, None)

    def write_cache(self) -> None:
        """Write the replica to the cache, after all texts that a start from it needs.

        If a text can't be read now, the write is retried later, and the previous cache stays intact.  If the
        disk is full, the gateway goes on without writing the cache, and logs this once.
        """
        if self.cache is None:
            return
        with self.cache_lock:
            with self.lock:
                state, at = self.replica.state, self.replica.at
                heads = list(self.replica.heads.values())
            if state is None or at == self.cached_revision:
                return
            try:
                for head in heads:
                    self.cache_texts(self.cache, head)
                self.cache.save(Known(state, heads, at, time.time()))
                self.cached_revision, self.cache_error = at, ""
                self.cached_tenants = {(head.uid, head.revision) for head in heads}
            except StoreError as error:
                log.info("etcd: the cache will be written later: %s", error)
            except OSError as error:
                if self.cache_error != str(error):
                    self.cache_error = str(error)
                    log.warning("etcd: what is known can't be kept on the disk: %s", error.strerror)

    def cache_texts(self, cache: Cache, head: Head) -> None:
        """Cache the texts that a gateway needs to serve a tenant.  Raises StoreError, OSError."""
        if (head.uid, head.revision) in self.cached_tenants:
            return
        tenant = unpacked(self.cached_text(cache, head.uid, head.body), Tenant)
        for name in (tenant.routes.compiled, tenant.inventory.parsed):
            if name:
                self.cached_text(cache, head.uid, name)
        self.cached_tenants.add((head.uid, head.revision))

    def cached_text(self, cache: Cache, uid: str, name: str) -> bytes:
        """Return a text, and cache it if it is not cached.  Raises StoreError, OSError."""
        data = cache.text(name)
        if data is None:
            data = self.store.blob(name, uid)
            if data is None:
                raise StoreBusy("a tenant changed while it was read")
            cache.write(name, data)
        return data

    # --- reads of the gateway ----------------------------------------------------------------------------

    def state(self) -> State:
        """Return the replica's state, which may be outdated.  Raises StoreError if there is none."""
        state = self.replica.state
        if state is None:
            raise StoreBusy("the desired state is not known yet")
        return state

    def lineage(self) -> str:
        return self.state().lineage

    def change_hint(self) -> object:
        return self.replica.revision, bool(self.errors)

    def revision(self) -> int:
        """Return the replica's revision.  Raises StoreError while the replica may be outdated."""
        for text in list(self.errors.values()):
            raise StoreBusy(text)
        return self.state().revision

    def changes_since(self, revision: int) -> tuple[int, list[StoredTenant], list[DeletedTenant] | None]:
        with self.lock:
            now = self.state().revision
            heads, gone = self.replica.changes_since(revision)
        return now, [self.read_tenant(head) for head in heads], gone

    def read_tenant(self, head: Head) -> StoredTenant:
        """Return the tenant of a head.  Raises StoreError."""
        body = self.blob(head.body, head.uid)
        if body is None:
            raise StoreBusy("a tenant changed while it was read")
        return StoredTenant(head.name, head.uid, head.revision, head.created, unpacked(body, Tenant))

    def blob(self, name: str, uid: str) -> bytes | None:
        data = self.cache.text(name) if self.cache is not None else None
        if data is None:
            data = self.store.blob(name, uid)
            if data is not None and self.cache is not None:
                with contextlib.suppress(OSError):  # logged when the state is written
                    self.cache.write(name, data)
        return data

    # --- reports -----------------------------------------------------------------------------------------

    def report(self, report: GatewayReport) -> None:
        """Write the report to etcd, under a lease that expires unless renewed.  Raises StoreError."""
        now, client = time.monotonic(), self.store.client
        if self.lease:
            answer = client.read("/v3/lease/keepalive", {"ID": str(self.lease)})
            if number((answer.get("result") or {}).get("TTL")) <= 0:
                self.lease = 0  # it expired while etcd was unreachable
        if not self.lease:
            self.lease, self.last_report = self.store.grant_lease(REPORT_LEASE_S), None
            self.put_report("name", self.name.encode())
        status = GatewayStatus(report.revision, dict(list(report.problems.items())[:100]))
        last_status, usage_at = self.last_report or (None, -USAGE_INTERVAL_S)
        if status != last_status:
            self.put_report("serves", packed(status))
        if now - usage_at >= USAGE_INTERVAL_S:
            usage_at = now
            self.put_report("usage", packed(report.usage))
        self.last_report = status, usage_at

    def put_report(self, part: str, value: bytes) -> None:
        """Write one part of the report under the lease.  Raises StoreError."""
        put = Put(self.store.keys.door(self.door, part), value, self.lease)
        self.store.client.read("/v3/kv/put", put_json(put))
