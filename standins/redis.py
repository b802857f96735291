"""A stand-in for Redis and Valkey: nodes, replicas, a cluster, sentinels, and scripted faults.

Written from the public documentation: RESP2 and RESP3 (redis.io, "Redis serialization protocol
specification"), the commands' pages, "Redis cluster specification" and "Sentinel".  It implements the
commands that a client library and the counter's script use; scripts run in a real Lua.  Replication is
asynchronous: a replica has what its master wrote `replication_lag` seconds ago.
"""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any, cast

import hiredis
from lupa.lua51 import LuaRuntime  # type: ignore[import-untyped]

HASH_SLOTS = 16384
CRC16_TABLE = []
for _byte in range(256):
    _crc = _byte << 8
    for _ in range(8):
        _crc = ((_crc << 1) ^ 0x1021) & 0xFFFF if _crc & 0x8000 else (_crc << 1) & 0xFFFF
    CRC16_TABLE.append(_crc)


def slot_of(key: bytes) -> int:
    """Return the hash slot: CRC16 (XMODEM) of the key, or of its part in braces, modulo 16384."""
    begin = key.find(b"{")
    if begin >= 0 and (end := key.find(b"}", begin + 1)) > begin + 1:
        key = key[begin + 1 : end]
    crc = 0
    for byte in key:
        crc = ((crc << 8) & 0xFFFF) ^ CRC16_TABLE[(crc >> 8) ^ byte]
    return crc % HASH_SLOTS


class CommandError(Exception):
    """An error answer; its first word is the error code."""


class SimpleString(str):
    """A simple string of RESP, such as OK."""

    __slots__ = ()


@dataclass(slots=True)
class Value:
    """A hash under a key."""

    fields: dict[bytes, bytes]
    expires_at: float | None = None  # loop time


@dataclass
class Faults:
    """The faults of a node, in force until they are changed."""

    silent: bool = False  # reads calls, but neither executes nor answers them
    delay: float = 0.0  # seconds before each answer is sent; the call is executed at once
    error: str = ""  # answers each call on a key: LOADING ..., BUSY ..., CLUSTERDOWN ...
    next_errors: deque[str] = field(default_factory=deque)  # answer the next calls on a key, one each
    # Number of calls on a key to execute and then close the connection instead of answering.
    answers_to_drop: int = 0
    reset_connections: bool = False  # resets new connections


class Node:
    """A server on a loopback port."""

    def __init__(self, deployment: RedisDeployment, name: str) -> None:
        self.deployment, self.name = deployment, name
        self.id = secrets.token_hex(20)
        self.run_id = secrets.token_hex(20)
        self.data: dict[bytes, Value] = {}
        self.scripts: dict[str, str] = {}
        self.master: Node | None = None
        self.faults = Faults()
        self.connections: set[ClientConnection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.slots: list[tuple[int, int]] = []
        self.migrating: dict[int, Node] = {}  # by slot: the node to which it migrates
        self.importing: dict[int, Node] = {}  # by slot: the node from which it comes
        self.executed_calls = 0  # calls on a key
        self.accepted_connections = 0
        self.lua: Any = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Node:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ClientConnection(self), "127.0.0.1", self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    def stop(self) -> None:
        """Simulate a crash: stop listening, reset the connections and lose all data."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort()
        self.data.clear()
        self.scripts.clear()

    async def restart(self) -> None:
        """Crash, and start again at the same address without data and scripts."""
        self.stop()
        self.run_id = secrets.token_hex(20)
        await self.start()

    def value(self, key: bytes) -> Value | None:
        """Return the value of a key that has not expired."""
        found = self.data.get(key)
        if found is not None and found.expires_at is not None and found.expires_at <= self.deployment.now():
            del self.data[key]
            return None
        return found

    # --- commands ----------------------------------------------------------------------------------

    def key_of_call(self, name: str, args: list[bytes]) -> bytes | None:
        """Return the key that a call is for, which determines its slot."""
        if name in ("EVAL", "EVALSHA"):
            return args[2] if len(args) > 2 and int(args[1]) > 0 else None
        if name in KEY_COMMANDS:
            return args[0] if args else None
        return None

    def execute(self, connection: ClientConnection, name: str, args: list[bytes]) -> Any:
        """Execute a command and return its answer.  Raises CommandError."""
        key = self.key_of_call(name, args)
        if key is not None:
            self.check_access(connection, key)
            self.executed_calls += 1
        method = getattr(self, "do_" + name.lower(), None)
        if method is None:
            raise CommandError(f"ERR unknown command '{name}', with args beginning with: ")
        try:
            result = method(connection, *args)
        except TypeError:
            raise CommandError(f"ERR wrong number of arguments for '{name.lower()}' command") from None
        if key is not None:
            self.deployment.on_write(self, key)
        return result

    def check_access(self, connection: ClientConnection, key: bytes) -> None:
        """Raise CommandError if this node does not serve the key now."""
        if self.faults.next_errors:
            raise CommandError(self.faults.next_errors.popleft())
        if self.faults.error:
            raise CommandError(self.faults.error)
        asking, connection.asking = connection.asking, False
        if not self.deployment.cluster:
            return
        slot = slot_of(key)
        owner = self.deployment.slot_owner(slot)
        if owner is None:
            raise CommandError("CLUSTERDOWN Hash slot not served")
        if owner is not self:
            if slot in self.importing and asking:
                return
            raise CommandError(f"MOVED {slot} {owner.address}")
        if slot in self.migrating and self.value(key) is None:
            raise CommandError(f"ASK {slot} {self.migrating[slot].address}")

    def check_writable(self, key: bytes) -> None:
        """Raise CommandError on a replica."""
        if self.master is not None:
            raise CommandError("READONLY You can't write against a read only replica.")

    def do_ping(self, connection: ClientConnection, *text: bytes) -> Any:
        return text[0] if text else SimpleString("PONG")

    def do_hello(self, connection: ClientConnection, *args: bytes) -> Any:
        if args:
            if args[0] not in (b"2", b"3"):
                raise CommandError("NOPROTO unsupported protocol version")
            if b"AUTH" in args:
                index = args.index(b"AUTH")
                self.do_auth(connection, *args[index + 1 : index + 3])
        if not connection.is_authenticated:
            raise CommandError("NOAUTH HELLO must be called with the client already authenticated")
        if args:
            connection.resp = int(args[0])
        return {"server": "redis", "version": "7.4.0", "proto": connection.resp, "id": 1,
                "mode": "cluster" if self.deployment.cluster else "standalone",
                "role": "replica" if self.master else "master", "modules": []}  # fmt: skip

    def do_auth(self, connection: ClientConnection, *args: bytes) -> Any:
        user, password = (b"default", args[0]) if len(args) == 1 else args
        if (user.decode(), password.decode()) != (self.deployment.user, self.deployment.password):
            raise CommandError("WRONGPASS invalid username-password pair or user is disabled.")
        connection.is_authenticated = True
        return SimpleString("OK")

    def do_client(self, connection: ClientConnection, *args: bytes) -> Any:
        return SimpleString("OK")

    def do_time(self, connection: ClientConnection) -> Any:
        seconds, microseconds = divmod(int(time.time() * 1e6), 1_000_000)
        return [b"%d" % seconds, b"%d" % microseconds]

    def do_select(self, connection: ClientConnection, number: bytes) -> Any:
        return SimpleString("OK")

    def do_role(self, connection: ClientConnection) -> Any:
        if self.master is not None:
            return ["slave", "127.0.0.1", self.master.port, "connected", 0]
        return ["master", 0, []]

    def do_info(self, connection: ClientConnection, *sections: bytes) -> Any:
        role = "slave" if self.master else "master"
        text = f"# Server\r\nredis_version:7.4.0\r\nrun_id:{self.run_id}\r\n# Replication\r\nrole:{role}\r\n"
        return text.encode()

    def do_asking(self, connection: ClientConnection) -> Any:
        connection.asking = True
        return SimpleString("OK")

    def do_readonly(self, connection: ClientConnection) -> Any:
        return SimpleString("OK")

    def do_command(self, connection: ClientConnection, *args: bytes) -> Any:
        return [[name.lower(), -2, ["write"], 1, 1, 1, [], [], [], []] for name in sorted(KEY_COMMANDS)] + [
            [name, -3, ["noscript", "movablekeys"], 0, 0, 0, [], [], [], []] for name in ("eval", "evalsha")
        ]

    def do_cluster(self, connection: ClientConnection, subcommand: bytes, *args: bytes) -> Any:
        if not self.deployment.cluster:
            raise CommandError("ERR This instance has cluster support disabled")
        match subcommand.upper():
            case b"SLOTS":
                return [
                    [
                        low,
                        high,
                        *(["127.0.0.1", n.port, n.id, []] for n in (node, *self.deployment.replicas(node))),
                    ]
                    for node in self.deployment.nodes
                    for low, high in node.slots
                ]
            case b"MYID":
                return self.id.encode()
            case b"INFO":
                return b"cluster_state:ok\r\ncluster_slots_assigned:16384\r\n"
        raise CommandError(f"ERR unknown subcommand '{subcommand.decode()}'")

    # --- values ------------------------------------------------------------------------------------

    def get_or_create(self, key: bytes) -> Value:
        found = self.value(key)
        if found is None:
            found = self.data[key] = Value({})
        return found

    def do_hincrbyfloat(self, connection: ClientConnection, key: bytes, name: bytes, amount: bytes) -> Any:
        self.check_writable(key)
        fields = self.get_or_create(key).fields
        try:
            total = float(fields.get(name, b"0")) + float(amount)
        except ValueError:
            raise CommandError("ERR value is not a valid float") from None
        fields[name] = b"%d" % total if total == int(total) else f"{total:.17g}".encode()
        return fields[name]

    def do_hsetnx(self, connection: ClientConnection, key: bytes, name: bytes, value: bytes) -> Any:
        self.check_writable(key)
        fields = self.get_or_create(key).fields
        if name in fields:
            return 0
        fields[name] = value
        return 1

    def do_hset(self, connection: ClientConnection, key: bytes, name: bytes, value: bytes) -> Any:
        self.check_writable(key)
        fields = self.get_or_create(key).fields
        new = name not in fields
        fields[name] = value
        return int(new)

    def do_hget(self, connection: ClientConnection, key: bytes, name: bytes) -> Any:
        found = self.value(key)
        return found.fields.get(name) if found is not None else None

    def do_pexpire(self, connection: ClientConnection, key: bytes, span: bytes) -> Any:
        self.check_writable(key)
        found = self.value(key)
        if found is None:
            return 0
        found.expires_at = self.deployment.now() + int(span) / 1000
        return 1

    def do_pttl(self, connection: ClientConnection, key: bytes) -> Any:
        found = self.value(key)
        if found is None:
            return -2
        return -1 if found.expires_at is None else int((found.expires_at - self.deployment.now()) * 1000)

    def do_del(self, connection: ClientConnection, *keys: bytes) -> Any:
        for key in keys:
            self.check_writable(key)
        return sum(self.data.pop(key, None) is not None for key in keys)

    def do_flushall(self, connection: ClientConnection, *how: bytes) -> Any:
        self.data.clear()
        return SimpleString("OK")

    # --- scripts -----------------------------------------------------------------------------------

    def do_script(self, connection: ClientConnection, subcommand: bytes, *args: bytes) -> Any:
        match subcommand.upper():
            case b"LOAD":
                return self.store_script(args[0].decode()).encode()
            case b"EXISTS":
                return [int(sha.decode() in self.scripts) for sha in args]
            case b"FLUSH":
                self.scripts.clear()
                return SimpleString("OK")
        raise CommandError(f"ERR unknown subcommand '{subcommand.decode()}'")

    def store_script(self, text: str) -> str:
        sha = hashlib.sha1(text.encode()).hexdigest()
        self.scripts[sha] = text
        return sha

    def do_evalsha(self, connection: ClientConnection, sha: bytes, count: bytes, *arguments: bytes) -> Any:
        text = self.scripts.get(sha.decode().lower())
        if text is None:
            raise CommandError("NOSCRIPT No matching script. Please use EVAL.")
        return self.run_script(connection, text, int(count), arguments)

    def do_eval(self, connection: ClientConnection, text: bytes, count: bytes, *arguments: bytes) -> Any:
        self.store_script(text.decode())
        return self.run_script(connection, text.decode(), int(count), arguments)

    def run_script(
        self, connection: ClientConnection, text: str, count: int, arguments: tuple[bytes, ...]
    ) -> Any:
        """Run a script atomically."""
        if self.lua is None:
            self.lua = LuaRuntime(unpack_returned_tuples=True, encoding=None)
        table, redis_table = self.lua.table_from, self.lua.table()

        def call(name: bytes, *args: Any) -> Any:
            encoded = [a if isinstance(a, bytes) else str(a).encode() for a in args]
            result = getattr(self, "do_" + name.decode().lower())(connection, *encoded)
            return False if result is None else result

        redis_table[b"call"] = call
        lua_globals = self.lua.globals()
        lua_globals[b"redis"] = redis_table
        lua_globals[b"KEYS"], lua_globals[b"ARGV"] = (
            table(list(arguments[:count])),
            table(list(arguments[count:])),
        )
        result = self.lua.execute(text.encode())
        return [result[n] for n in range(1, len(result) + 1)] if hasattr(result, "keys") else result


KEY_COMMANDS = {"HINCRBYFLOAT", "HSETNX", "HSET", "HGET", "PEXPIRE", "PTTL", "DEL"}


class Sentinel(Node):
    """A sentinel; it names the master."""

    def do_sentinel(self, connection: ClientConnection, subcommand: bytes, *args: bytes) -> Any:
        master = self.deployment.master
        match subcommand.upper():
            case b"GET-MASTER-ADDR-BY-NAME":
                return (
                    ["127.0.0.1", str(master.port)] if args[0].decode() == self.deployment.service else None
                )
            case b"MASTERS":
                return [self.describe_node(connection, master, "master")]
            case b"MASTER":
                if args[0].decode() != self.deployment.service:
                    raise CommandError("ERR No such master with that name")
                return self.describe_node(connection, master, "master")
            case b"SLAVES" | b"REPLICAS":
                return [
                    self.describe_node(connection, node, "slave") for node in self.deployment.replicas(master)
                ]
        raise CommandError(f"ERR unknown subcommand '{subcommand.decode()}'")

    def describe_node(self, connection: ClientConnection, node: Node, role: str) -> Any:
        fields = {"name": self.deployment.service, "ip": "127.0.0.1", "port": str(node.port),
                  "runid": node.run_id, "flags": role, "num-slaves": "1", "num-other-sentinels": "2",
                  "quorum": "2", "role-reported": role}  # fmt: skip
        return fields if connection.resp == 3 else [part for pair in fields.items() for part in pair]


class ClientConnection(asyncio.Protocol):
    """A client's connection to a node."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.resp, self.asking = 2, False
        self.is_authenticated = not node.deployment.password

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections.add(self)
        self.node.accepted_connections += 1
        if self.node.faults.reset_connections:
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.node.connections.discard(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.node.faults.silent:
            return
        self.reader.feed(data)
        while (call := self.reader.gets()) is not False:
            self.handle_call(call)

    def handle_call(self, call: list[bytes]) -> None:
        """Execute a call and send its answer, with the faults of the node."""
        assert self.transport is not None
        name, faults = call[0].decode().upper(), self.node.faults
        try:
            if not self.is_authenticated and name not in ("HELLO", "AUTH", "QUIT"):
                raise CommandError("NOAUTH Authentication required.")
            answer = self.node.execute(self, name, call[1:])
        except CommandError as error:
            answer = error
        if (
            faults.answers_to_drop
            and self.node.key_of_call(name, call[1:]) is not None
            and not isinstance(answer, CommandError)
        ):
            faults.answers_to_drop -= 1
            self.abort()
            return
        data = encode(answer, self.resp)
        if faults.delay:
            asyncio.get_running_loop().call_later(faults.delay, self.send, data)
        else:
            self.send(data)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


def encode(value: Any, resp: int) -> bytes:
    """Encode a value as RESP2 or RESP3."""
    match value:
        case CommandError():
            return f"-{value}\r\n".encode()
        case SimpleString():
            return f"+{value}\r\n".encode()
        case None | False:
            return b"_\r\n" if resp == 3 else b"$-1\r\n"
        case int():
            return b":%d\r\n" % value
        case bytes():
            return b"$%d\r\n%s\r\n" % (len(value), value)
        case str():
            return encode(value.encode(), resp)
        case dict():
            parts = [part for pair in value.items() for part in pair]
            head = b"%%%d\r\n" % len(value) if resp == 3 else b"*%d\r\n" % len(parts)
            return head + b"".join(encode(part, resp) for part in parts)
        case list():
            return b"*%d\r\n" % len(value) + b"".join(encode(part, resp) for part in value)
    raise TypeError(f"cannot encode as RESP: {value!r}")


class RedisDeployment:
    """A deployment: one master, a master with replicas and sentinels, or a cluster."""

    def __init__(
        self, cluster: bool = False, replication_lag: float = 0.0, user: str = "default", password: str = ""
    ) -> None:
        self.cluster, self.replication_lag, self.user, self.password = (
            cluster,
            replication_lag,
            user,
            password,
        )
        self.service = "tally"
        self.nodes: list[Node] = []
        self.sentinels: list[Sentinel] = []
        # Writes not yet replicated: the time of their replication, the master, the key and its new value.
        self.unreplicated: deque[tuple[float, Node, bytes, Value | None]] = deque()

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def start(self, masters: int = 1, replicas: int = 0, sentinels: int = 0) -> RedisDeployment:
        """Start the nodes; `replicas` is the number for each master."""
        for number in range(masters):
            master = await Node(self, f"m{number}").start()
            self.nodes.append(master)
            master.slots = [(number * HASH_SLOTS // masters, (number + 1) * HASH_SLOTS // masters - 1)]
            for replica_number in range(replicas):
                replica = await Node(self, f"m{number}r{replica_number}").start()
                replica.master = master
                self.nodes.append(replica)
        for number in range(sentinels):
            sentinel = Sentinel(self, f"s{number}")
            await sentinel.start()
            self.sentinels.append(sentinel)
        return self

    def stop(self) -> None:
        for node in (*self.nodes, *self.sentinels):
            node.stop()

    @property
    def master(self) -> Node:
        return next(node for node in self.nodes if node.master is None)

    @property
    def masters(self) -> list[Node]:
        return [node for node in self.nodes if node.master is None]

    def replicas(self, master: Node) -> list[Node]:
        return [node for node in self.nodes if node.master is master]

    def slot_owner(self, slot: int) -> Node | None:
        """Return the master that owns a hash slot, or None."""
        return next((n for n in self.nodes if any(low <= slot <= high for low, high in n.slots)), None)

    # --- replication -------------------------------------------------------------------------------

    def on_write(self, master: Node, key: bytes) -> None:
        """Replicate a key's new value to the replicas after the lag."""
        if self.replicas(master):
            found = master.value(key)
            copy = Value(dict(found.fields), found.expires_at) if found is not None else None
            self.unreplicated.append((self.now() + self.replication_lag, master, key, copy))
        self.replicate()

    def replicate(self) -> None:
        """Apply the writes whose lag is over to the replicas."""
        while self.unreplicated and self.unreplicated[0][0] <= self.now():
            _, master, key, found = self.unreplicated.popleft()
            for replica in self.replicas(master):
                if found is None:
                    replica.data.pop(key, None)
                else:
                    replica.data[key] = Value(dict(found.fields), found.expires_at)

    def promote(self, master: Node, demote: bool = False) -> Node:
        """Make a replica the master, with the data that it has; unreplicated writes are lost.

        `demote`: the old master continues as a replica, with its connections; otherwise it crashes.
        """
        self.replicate()
        replica = self.replicas(master)[0]
        self.unreplicated = deque(entry for entry in self.unreplicated if entry[1] is not master)
        replica.master, replica.slots = None, master.slots
        master.slots = []
        if demote:
            master.master = replica
            master.data = {key: Value(dict(v.fields), v.expires_at) for key, v in replica.data.items()}
        else:
            master.stop()
            self.nodes.remove(master)
        return replica

    # --- slots -------------------------------------------------------------------------------------

    def begin_migration(self, slot: int, target: Node) -> None:
        """Start to migrate a slot: the owner redirects calls on keys that it no longer has, by ASK."""
        owner = self.slot_owner(slot)
        assert owner is not None
        owner.migrating[slot], target.importing[slot] = target, owner

    def migrate_key(self, key: bytes) -> None:
        """Move one key of a migrating slot."""
        owner = self.slot_owner(slot_of(key))
        assert owner is not None
        if (found := owner.data.pop(key, None)) is not None:
            owner.migrating[slot_of(key)].data[key] = found

    def end_migration(self, slot: int) -> None:
        """Move the slot's remaining keys and its ownership to the other node."""
        owner = self.slot_owner(slot)
        assert owner is not None
        target = owner.migrating.pop(slot)
        del target.importing[slot]
        for key in [k for k in owner.data if slot_of(k) == slot]:
            target.data[key] = owner.data.pop(key)
        remaining = []
        for low, high in owner.slots:
            if low <= slot <= high:
                remaining += [(a, b) for a, b in ((low, slot - 1), (slot + 1, high)) if a <= b]
            else:
                remaining.append((low, high))
        owner.slots = remaining
        target.slots = [*target.slots, (slot, slot)]
