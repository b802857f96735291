"""Epochs: who keeps the state, who may lead, and when nothing acknowledged can be lost.  Pure.

An epoch names a primary, a backup and the members whose majority decides.  Members that are neither keep only
epochs (witnesses).  After Vertical Paxos II (Lamport, Malkhi, Zhou 2009) and PacificA (2008):

* A member promises upward: once it has promised number n it takes part in nothing below n.
* A new epoch needs promises of a majority of the members of the last epoch that any of them knows.  Only that
  epoch's primary or backup may make it, and only with the whole state of that epoch.
* It is in force once its backup has the whole state on disk, and a majority of the old members and of the new
  ones keep its record on disk.
* A primary writes to its own disk and its backup's before it answers.  It reads and answers only under a
  lease of a majority, which it stops using before any of them counts it as over.
* A machine with an empty disk that is not at its first start has an identity of its own: it is no member
  until an epoch takes it in.

Whatever must be on disk before it is told comes as `Keep` before the messages that rest on it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ivymux.exchange.tickets import Tickets, Told
from ivymux.exchange.words import (
    Action,
    Done,
    Keep,
    Kept,
    Known,
    Message,
    Record,
    Say,
    State,
    Tell,
    ip,
    majority,
)  # fmt: skip
from ivymux.ticket.book import Book

LEASE = 0.75  # seconds for which a member stands by a primary, from when it heard of it
SAFE = 0.85  # part of that for which the primary counts on it, from when it asked
RENEW = 0.2  # seconds between a primary's renewals
WHOLE = 5  # of so many renewals at least one has the whole record; the others its number alone
LOST = 1.0  # seconds without a word after which the backup counts as lost
JOIN = 0.3  # seconds between the calls of a machine that asks to be taken in
GONE = 5.0  # and after which a member is let out, where others suffice
TRY = 0.35  # seconds that one try at a new epoch may take before it is begun anew
TRY_STATE = 4.0  # and one that waits for the backup's disk
LEAST_MEMBERS = 3


@dataclass(slots=True)
class Attempt:
    """A new epoch on its way."""

    number: int
    began: float
    promises: dict[str, Record | None] = field(default_factory=dict)
    old: Record | None = None
    record: Record | None = None  # once promised by a majority
    backed: bool = False  # its backup has the state on disk
    accepted: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Write:
    call: int
    state: State
    mine: bool = False
    backup: bool = False
    told: float = 0.0


class Member:
    """One core machine's part in it; `handle` and `tick` are the ways in, with steady time."""

    def __init__(self, kept: Kept, now: float) -> None:
        self.me = kept.me
        self.record, self.state = kept.record, kept.state
        self.promised, self.promised_to = kept.promised, kept.promised_to
        self.leased_to, self.leased_until = "", 0.0  # my vote for a primary's lease
        # Votes from before a restart are not known any more: until they have ended only their holder gets
        # one.
        self.held_until = now + LEASE if kept.record is not None else 0.0
        self.leading: Record | None = None  # the epoch in force that I lead
        self.grants: dict[str, float] = {}  # until when each member stands by me
        self.heard: dict[str, float] = {}  # when each member last answered me
        self.joining: dict[str, float] = {}  # who asks to be taken in, and when it last did
        self.attempt: Attempt | None = None
        self.writes: list[Write] = []
        self.next_at = 0.0
        self.renew_at = 0.0
        self.renewals = 0
        self.wait_until = 0.0  # before the next try at a new epoch
        self.backoff = 0
        self.primary = ""  # who leads, as last heard
        self.primary_at = -1e9
        self.known = -1  # version last told by Known
        self.taught_until = 0.0  # no vote before, for an epoch that was first heard of by a lease
        self.quitting: set[str] = set()  # members that said they end
        self.actions: list[Action] = []
        self.now = now
        book = Book()
        for ticket in kept.tickets.values():
            book.take(ticket, now)
        self.tickets = Tickets(self, book)
        if self.founding():
            self.wait_until = now + 0.05 + 0.3 * self.order()

    # --- ways in -----------------------------------------------------------------------------------

    def handle(self, now: float, source: str, message: Message) -> list[Action]:
        """A message of the machine at address `source`.  Raises ValueError for what no correct peer says."""
        self.now, self.actions = now, []
        kind = message.get("k")
        how = None
        if isinstance(kind, str) and kind.isalpha():
            how = getattr(self, f"on_{kind}", None) or getattr(self.tickets, f"on_{kind}", None)
        if how is None:
            raise ValueError(f"no such message: {kind!r}")
        try:
            how(source, message)
        except (KeyError, TypeError) as error:
            raise ValueError(f"{kind}: {error}") from None
        return self.actions

    def tick(self, now: float) -> list[Action]:
        """Called every 50 ms or so."""
        self.now, self.actions = now, []
        if self.leading is not None:
            self.lead()
        elif self.attempt is not None:
            self.press()
        elif self.may_try():
            self.begin("the primary is silent" if self.record and self.record.number else "a first start")
        elif not self.is_member() and now >= self.renew_at:
            self.renew_at = now + JOIN
            self.broadcast({"k": "join", "id": self.me})
        return self.actions

    def met(self) -> None:
        """Another machine can be reached from now on: what is being asked is said to it at once."""
        self.renew_at = 0.0

    def put(self, now: float, call: int, version: int, text: str) -> list[Action] | None:
        """Take a change that was checked.  None where this machine doesn't lead."""
        self.now, self.actions = now, []
        if not self.may_serve(now):
            return None
        if self.attempt is not None:
            return None  # the state stands still while it goes over to another backup
        assert self.state is not None and self.leading is not None
        held = max([self.state.version, *(w.state.version for w in self.writes)])
        if version <= held:
            if version <= self.state.version:
                self.actions.append(Done(call, version))
            else:  # a higher one is on its way: this one is overtaken once that holds
                last = self.writes[-1]
                self.writes.append(Write(call, last.state, last.mine, last.backup, self.now))
            return self.actions
        write = Write(call, State(self.leading.number, version, text), told=self.now)
        self.writes.append(write)
        self.send_write(write)
        self.actions.append(Keep(state=write.state))
        self.actions.append(
            Tell(ip(self.me), {"k": "wrote", "id": self.me, "e": write.state.epoch, "v": version})
        )
        return self.actions

    def ask(self, now: float, call: int, message: Message) -> Told | None:
        """A call that only who leads can answer; None where this machine does not.  Raises ValueError."""
        if message.get("k") != "put":
            return self.tickets.ask(now, call, message)
        actions = self.put(now, call, int(message["v"]), str(message["t"]))
        return None if actions is None else Told(actions, {"ok": True}, wait=True)

    def may_serve(self, now: float) -> bool:
        """Whether this machine leads an epoch in force, under a lease of a majority."""
        if self.leading is None:
            return False
        votes = {m for m, until in self.grants.items() if until > now}
        return majority(self.leading.members, votes | {self.me})

    def free(self, now: float) -> list[Action]:
        """Before this process ends: let the backup take over at once."""
        self.now, self.actions = now, []
        self.broadcast({"k": "quit", "id": self.me})
        if self.leading is not None:
            self.step_down("this process ends")
            self.broadcast({"k": "free", "id": self.me})
        self.wait_until = now + 1e9
        return self.actions

    # --- who is who --------------------------------------------------------------------------------

    def is_member(self) -> bool:
        return self.record is not None and self.me in self.record.members

    def in_pair(self) -> bool:
        return self.record is not None and self.me in (self.record.primary, self.record.backup)

    def founding(self) -> bool:
        return self.record is not None and self.record.number == 0 and self.me in self.record.members

    def may_try(self) -> bool:
        if self.now < self.wait_until or not (self.in_pair() or self.founding()):
            return False
        assert self.record is not None
        if not self.founding() and (self.state is None or self.state.epoch < self.record.number):
            return False
        stands = max(self.leased_until, self.held_until if self.record.primary != self.me else 0.0)
        return self.now >= stands or self.leased_to == self.me

    def order(self) -> int:
        """My place among those that may try, so that two do not go on meeting."""
        assert self.record is not None
        able = self.record.members if not self.record.number else (self.record.backup, self.record.primary)
        return sorted(able).index(self.me) if self.me in able else len(able)

    def broadcast(self, message: Message) -> None:
        """To all core machines that are known; the host adds those that are no members."""
        self.actions.append(Tell("*", message))

    # --- a new epoch ---------------------------------------------------------------------------------

    def begin(self, why: str) -> None:
        assert self.record is not None
        number = max(self.promised, self.record.number) + 1
        self.attempt = Attempt(number, self.now)
        self.promised, self.promised_to = number, self.me
        self.actions.append(Keep(promised=(number, self.me)))
        self.actions.append(Say(f"tries epoch {number}: {why}"))
        self.broadcast({"k": "promise", "e": number, "id": self.me})
        self.attempt.promises[self.me] = self.record
        self.backoff += 1
        self.decide()

    def on_promise(self, source: str, message: Message) -> None:
        number, who = int(message["e"]), str(message["id"])
        record = self.record
        if record is None or not self.is_member():
            return
        if number < self.promised or (number == self.promised and who != self.promised_to):
            self.actions.append(
                Tell(source, {"k": "refused", "e": self.promised, "id": self.me, "r": record.wire()})
            )
            return
        stands = self.leased_until if self.leased_to != who else 0.0
        held = self.held_until if record.primary != who and record.number else 0.0
        if self.now < max(stands, held):
            return  # a primary may still act on my vote
        if self.leading is not None:
            self.step_down("another one leads now")
        if self.attempt is not None and self.attempt.number < number:
            self.attempt = None
            self.wait_until = self.now + TRY
        if number > self.promised:
            self.promised, self.promised_to = number, who
            self.actions.append(Keep(promised=(number, who)))
        self.wait_until = max(self.wait_until, self.now + 2 * TRY)  # let it come to an end
        self.actions.append(Tell(source, {"k": "promised", "e": number, "id": self.me, "r": record.wire()}))

    def on_refused(self, source: str, message: Message) -> None:
        seen = Record.read(message["r"])
        self.learn(seen)
        number = int(message["e"])
        if number > self.promised:
            self.promised, self.promised_to = number, ""
            self.actions.append(Keep(promised=(number, "")))
        attempt = self.attempt
        if attempt is not None and attempt.number < number:
            self.attempt = None
            # Two that try at once must not go on meeting: who has the lower name goes first.
            self.wait_until = self.now + (0.03 + 0.15 * self.order()) * min(4, self.backoff)
        if self.leading is not None and number > self.leading.number:
            self.again("a member has promised another")

    def on_promised(self, source: str, message: Message) -> None:
        attempt = self.attempt
        if attempt is None or int(message["e"]) != attempt.number or attempt.record is not None:
            return
        seen = Record.read(message["r"])
        attempt.promises[str(message["id"])] = seen
        self.heard[str(message["id"])] = self.now
        self.decide()

    def decide(self) -> None:
        """With a majority's promises: who is the backup, who the members."""
        attempt = self.attempt
        assert attempt is not None and self.record is not None
        if attempt.record is not None:
            return
        newest = max((r for r in attempt.promises.values() if r is not None), key=lambda r: r.number)
        if not majority(newest.members, set(attempt.promises)):
            return
        mine = newest.number == 0 or self.me in (newest.primary, newest.backup)
        whole = newest.number == 0 or (self.state is not None and self.state.epoch >= newest.number)
        if not mine or not whole:
            self.attempt = None  # it is another's to lead
            self.wait_until = self.now + 4 * TRY
            self.learn(newest)
            return
        members = self.new_members(newest, set(attempt.promises))
        partner = newest.backup if newest.primary == self.me else newest.primary
        able = [m for m in members if m in attempt.promises and m != self.me]
        if partner in able:
            backup = partner
        elif able:
            backup = min(able, key=lambda m: (m not in newest.members, ip(m)))
        else:
            return
        if newest.number and partner not in able and self.now - attempt.began < TRY / 3:
            return  # its promise may be on the way
        attempt.old = newest
        attempt.record = Record(attempt.number, self.me, backup, members)
        version, text = (self.state.version, self.state.text) if self.state is not None else (-1, "")
        self.state = State(attempt.number, version, text)
        self.actions.append(Keep(state=self.state))
        self.send_state()

    def new_members(self, old: Record, alive: set[str]) -> tuple[str, ...]:
        """One machine in or out at a time, or one that has lost its disk in the place of what it was."""
        members = list(old.members)
        for joiner, at in self.joining.items():
            if self.now - at > 3 * JOIN or joiner in members:
                continue
            former = next((m for m in members if ip(m) == ip(joiner)), None)
            if former is not None and former not in (self.me,):
                members[members.index(former)] = joiner
                return tuple(members)
            if former is None:
                return (*members, joiner)
        if len(members) > LEAST_MEMBERS:
            for member in members:
                silent = self.now - self.heard.get(member, -1e9) > (LOST if member in self.quitting else GONE)
                if member != self.me and member not in alive and silent:
                    return tuple(m for m in members if m != member)
        return tuple(members)

    def send_state(self) -> None:
        attempt, state = self.attempt, self.state
        assert attempt is not None and attempt.record is not None and state is not None
        whole: Message = {"k": "state", "e": attempt.number, "id": self.me}
        whole |= {"v": state.version, "t": state.text, "d": self.tickets.book.root()}
        self.actions.append(Tell(ip(attempt.record.backup), whole))

    def on_state(self, source: str, message: Message) -> None:
        number = int(message["e"])
        if number < self.promised or (number == self.promised and message["id"] != self.promised_to):
            return
        if self.promised < number:
            self.promised, self.promised_to = number, str(message["id"])
            self.actions.append(Keep(promised=(number, self.promised_to)))
        state = State(number, int(message["v"]), str(message["t"]))
        if self.state is None or self.state.epoch < number:
            self.state = state
            self.tickets.last = 0  # numbers of an epoch before mean nothing in this one
            self.actions.append(Keep(state=state))
        if int(message["d"]) != self.tickets.book.root():
            self.tickets.tell_ranges(source, number)  # `backed` comes once they are mended
        else:
            self.actions.append(Tell(source, {"k": "backed", "e": number, "id": self.me}))

    def on_backed(self, source: str, message: Message) -> None:
        attempt = self.attempt
        if attempt is None or attempt.record is None or int(message["e"]) != attempt.number:
            return
        if message["id"] == attempt.record.backup and not attempt.backed:
            attempt.backed = True
            self.send_accept()

    def send_accept(self) -> None:
        attempt = self.attempt
        assert attempt is not None and attempt.record is not None
        # I count as one of those that keep it, so it has to be on my disk before the others are asked.
        self.record = attempt.record
        self.actions.append(Keep(record=attempt.record))
        attempt.accepted.add(self.me)
        self.broadcast({"k": "accept", "e": attempt.number, "id": self.me, "r": attempt.record.wire()})
        self.in_force()

    def on_accept(self, source: str, message: Message) -> None:
        record = Record.read(message["r"])
        if record.number < self.promised or (
            record.number == self.promised and record.primary != self.promised_to
        ):
            if self.record is not None and record.number < self.promised:
                self.actions.append(
                    Tell(source, {"k": "refused", "e": self.promised, "id": self.me, "r": self.record.wire()})
                )
            return
        if record.number > self.promised:
            self.promised, self.promised_to = record.number, record.primary
            self.actions.append(Keep(promised=(record.number, record.primary)))
        if self.attempt is not None and self.attempt.number < record.number:
            self.attempt = None
        self.learn(record)
        self.actions.append(Tell(source, {"k": "accepted", "e": record.number, "id": self.me}))

    def on_accepted(self, source: str, message: Message) -> None:
        attempt = self.attempt
        if attempt is not None and int(message["e"]) == attempt.number and attempt.record is not None:
            attempt.accepted.add(str(message["id"]))
            self.heard[str(message["id"])] = self.now
            self.in_force()

    def in_force(self) -> None:
        attempt = self.attempt
        assert attempt is not None and attempt.record is not None and attempt.old is not None
        if not (
            majority(attempt.old.members, attempt.accepted)
            and majority(attempt.record.members, attempt.accepted)
        ):
            return
        self.leading, self.attempt, self.backoff = attempt.record, None, 0
        self.grants = {}
        self.renew_at = 0.0
        # The backup has just answered; the others have time to.
        for member in attempt.record.members:
            self.heard.setdefault(member, self.now)
        self.heard[attempt.record.backup] = self.now
        for joiner in [j for j in self.joining if j in attempt.record.members]:
            del self.joining[joiner]
        record = attempt.record
        roles = f"primary {ip(self.me)}, backup {ip(record.backup)}, {len(record.members)} members"
        self.actions.append(Say(f"epoch {attempt.record.number} is in force: {roles}"))
        self.lead()
        self.tell_state()
        self.tickets.tell_notes()

    def press(self) -> None:
        """A try that takes too long is said again, then begun anew."""
        attempt = self.attempt
        assert attempt is not None
        if attempt.record is None:
            self.decide()
            attempt = self.attempt
            if attempt is None or attempt.record is not None:
                return
        most = TRY if attempt.record is None else TRY_STATE
        if self.now - attempt.began > most:
            self.attempt = None
            self.wait_until = self.now + 0.05 * min(8, self.backoff)
            return
        if self.now >= self.renew_at:
            self.renew_at = self.now + TRY / 2
            if attempt.record is None:
                self.broadcast({"k": "promise", "e": attempt.number, "id": self.me})
            elif not attempt.backed:
                self.send_state()
            else:
                self.broadcast(
                    {"k": "accept", "e": attempt.number, "id": self.me, "r": attempt.record.wire()}
                )

    def learn(self, record: Record) -> None:
        """A later epoch than the one on record."""
        if self.record is not None and record.number <= self.record.number:
            return
        if self.leading is not None and record.number > self.leading.number:
            self.step_down("a later epoch is known")
        self.record = record
        self.actions.append(Keep(record=record))

    def step_down(self, why: str) -> None:
        if self.leading is not None:
            self.actions.append(Say(f"leads epoch {self.leading.number} no more: {why}"))
        self.leading = None
        self.writes.clear()
        self.tickets.stop()
        self.grants = {}

    def again(self, why: str) -> None:
        """A primary makes a new epoch: another backup, other members."""
        self.step_down(why)
        self.begin(why)

    # --- in force ------------------------------------------------------------------------------------

    def lead(self) -> None:
        record = self.leading
        assert record is not None
        if self.now >= self.renew_at:
            self.renew_at = self.now + RENEW
            self.leased_to, self.leased_until = self.me, self.now + LEASE
            version = self.state.version if self.state is not None else -1
            lease: Message = {"k": "lease", "e": record.number, "id": self.me, "at": self.now, "v": version}
            stand = sum(until > self.now for until in self.grants.values())
            if self.renewals % WHOLE == 0 or stand < len(record.members) - 1:
                lease["r"] = record.wire()  # somebody may not know this epoch yet
            if self.tickets.known:
                lease["nn"] = self.tickets.told_number()
            self.renewals += 1
            self.broadcast(lease)
        self.tickets.lead()
        for write in self.writes:
            if self.now - write.told > TRY:
                write.told = self.now
                self.send_write(write)
        if self.now < self.wait_until:
            return
        if self.now - self.heard.get(record.backup, self.now) > LOST:
            alive = [m for m in record.members if self.now - self.heard.get(m, -1e9) < LOST]
            if majority(record.members, {*alive, self.me}):
                self.again("the backup is silent")
            return
        if self.writes:
            return
        changed = self.new_members(record, {m for m, at in self.heard.items() if self.now - at < LOST})
        if changed != record.members:
            self.again("the members change")

    def on_lease(self, source: str, message: Message) -> None:
        record, who = self.record, str(message["id"])
        if "r" in message:
            record = Record.read(message["r"])
        elif record is None or record.number < int(message["e"]):
            return  # an epoch that is not known here: the next whole one tells
        elif record.number > int(message["e"]):
            record = Record(int(message["e"]), who, "", ())
        if record.number < self.promised or (self.record is not None and record.number < self.record.number):
            if self.record is not None:
                self.actions.append(
                    Tell(source, {"k": "refused", "e": self.promised, "id": self.me, "r": self.record.wire()})
                )
            return
        self.primary, self.primary_at = who, self.now
        if self.record is None or self.record.number < record.number:
            # In force already: a lease is asked for only then.
            if self.promised < record.number:
                self.promised, self.promised_to = record.number, record.primary
                self.actions.append(Keep(promised=(record.number, record.primary)))
            self.learn(record)
            # A vote for a lease must not outlive what the disk says of its epoch: none until that is surely
            # there.
            self.taught_until = self.now + LEASE
        if self.attempt is not None and self.attempt.number <= record.number:
            self.attempt = None
        if self.me not in record.members:
            self.joining.clear()
        elif self.now >= self.taught_until:
            self.leased_to, self.leased_until = who, self.now + LEASE
            self.actions.append(
                Tell(source, {"k": "leased", "e": record.number, "id": self.me, "at": message["at"]})
            )
        version = int(message["v"])
        if version > self.known:
            self.actions.append(Tell(source, {"k": "ask", "id": self.me}))
        if int(message.get("nn", 0)) > self.tickets.told_number():
            self.actions.append(Tell(source, {"k": "asknotes", "id": self.me}))

    def on_leased(self, source: str, message: Message) -> None:
        who = str(message["id"])
        self.heard[who] = self.now
        self.quitting.discard(who)
        if self.leading is not None and int(message["e"]) == self.leading.number:
            self.grants[who] = max(self.grants.get(who, 0.0), float(message["at"]) + SAFE * LEASE)

    def on_free(self, source: str, message: Message) -> None:
        if self.leased_to == message["id"]:
            self.leased_until, self.held_until = 0.0, 0.0
            self.wait_until = 0.0

    def on_quit(self, source: str, message: Message) -> None:
        self.quitting.add(str(message["id"]))

    def on_join(self, source: str, message: Message) -> None:
        if self.leading is not None:
            who = str(message["id"])
            if ip(who) == source and who not in self.leading.members:
                self.joining[who] = self.now
                self.heard[who] = self.now

    def on_ask(self, source: str, message: Message) -> None:
        if self.may_serve(self.now) and self.state is not None and not self.attempt:
            self.actions.append(
                Tell(
                    source,
                    {"k": "known", "v": self.state.version, "t": self.state.text, "e": self.state.epoch},
                )
            )

    def on_known(self, source: str, message: Message) -> None:
        """What is in force, told by its primary."""
        version = int(message["v"])
        if version > self.known:
            self.known = version
            self.actions.append(Known(version, str(message["t"])))

    # --- changes -------------------------------------------------------------------------------------

    def send_write(self, write: Write) -> None:
        assert self.leading is not None
        state = write.state
        self.actions.append(
            Tell(
                ip(self.leading.backup),
                {"k": "write", "id": self.me, "e": state.epoch, "v": state.version, "t": state.text},
            )
        )

    def on_write(self, source: str, message: Message) -> None:
        number = int(message["e"])
        if self.state is None or self.state.epoch != number or self.promised > number:
            return
        state = State(number, int(message["v"]), str(message["t"]))
        # Within an epoch versions only rise: one that is said again must not undo a later one.
        if state.version > self.state.version:
            self.state = state
            self.actions.append(Keep(state=state))
        self.actions.append(Tell(source, {"k": "wrote", "id": self.me, "e": number, "v": state.version}))

    def on_wrote(self, source: str, message: Message) -> None:
        who, number, version = str(message["id"]), int(message["e"]), int(message["v"])
        self.heard[who] = self.now
        if self.leading is None or number != self.leading.number:
            return
        for write in self.writes:
            # A disk that has a later one has what this one was overtaken by.
            write.mine = write.mine or (who == self.me and write.state.version <= version)
            write.backup = write.backup or (who == self.leading.backup and write.state.version <= version)
        done = [w for w in self.writes if w.mine and w.backup]
        if done:
            self.writes = [w for w in self.writes if not (w.mine and w.backup)]
            newest = max((w.state for w in done), key=lambda s: s.version)
            if self.state is None or newest.version > self.state.version:
                self.state = newest
            self.actions += [Done(w.call, w.state.version) for w in done]
            self.tell_state()

    def tell_state(self) -> None:
        """What can be lost no more goes to all."""
        state = self.state
        if state is None or state.version < 0:
            return
        if state.version > self.known:
            self.known = state.version
            self.actions.append(Known(state.version, state.text))
        self.broadcast({"k": "known", "v": state.version, "t": state.text, "e": state.epoch})
