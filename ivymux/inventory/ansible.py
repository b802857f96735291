"""Reads Ansible inventories in YAML: groups, inheritance, host ranges, `group_vars` and `host_vars`.

Precedence is Ansible's, lowest first: variables of `all` in the file, of its other groups from parent to
child (by `ansible_group_priority`, then name), `group_vars/all`, the other `group_vars`, the host in the
file, `host_vars` ("Ansible Community Documentation: Using variables, variable precedence").
"""

from __future__ import annotations

import re
import string
from collections.abc import Mapping
from dataclasses import dataclass, field

import yaml

from ivymux.inventory.model import (
    MAX_WORKERS,
    FileShape,
    Findings,
    GatewayAddresses,
    Inventory,
    InventoryError,
    ParsedInventory,
    Position,
    SourceValue,
    Worker,
    build_inventory,
    make_worker,
)  # fmt: skip
from ivymux.text import TextError, compose_yaml

MAX_GROUPS = 5_000
MAX_LEVELS = 50  # of groups in groups
GROUP = re.compile(r"[A-Za-z_][A-Za-z0-9_.-]{0,127}", re.ASCII)
RANGE = re.compile(r"\[([0-9A-Za-z]*):([0-9A-Za-z]+)(?::(\d+))?\]", re.ASCII)
LETTERS = string.ascii_letters
# The variables of each field of a worker, in order of preference.
VARIABLES = {
    "address": ("ivymux_address", "ansible_host"),
    "port": ("ivymux_port", "ansible_port"),
    "room": ("ivymux_room", "room"),
    "bay": ("ivymux_bay", "bay"),
    "kind": ("ivymux_kind", "kind"),
    "weight": ("ivymux_weight", "weight"),
    "state": ("ivymux_state", "state"),
}
PLAIN_TAGS = frozenset(f"tag:yaml.org,2002:{name}" for name in ("str", "int", "float", "null", "bool"))
KNOWN_VARIABLES = frozenset(name for names in VARIABLES.values() for name in names)
GROUP_PATTERNS = {"room": re.compile(r"room[_-](.+)"), "bay": re.compile(r"bay[_-](\d+)")}
Variables = dict[str, SourceValue]


@dataclass(slots=True)
class Group:
    """A group of the inventory."""

    name: str
    position: Position
    vars: Variables = field(default_factory=dict)
    hosts: dict[str, Position] = field(default_factory=dict)
    children: dict[str, Position] = field(default_factory=dict)
    parents: set[str] = field(default_factory=set)
    depth: int = 0


@dataclass(slots=True)
class Host:
    """A host of the inventory."""

    position: Position
    vars: Variables = field(default_factory=dict)
    groups: set[str] = field(default_factory=set)


def position_of(node: yaml.Node) -> Position:
    mark = node.start_mark
    return Position(mark.line + 1, mark.column + 1)


class RangeError(ValueError):
    """An invalid host range."""


def expand_range(pattern: str) -> list[str]:
    """Expand a host pattern such as `w[01:20]`, `w[a:f]` or `w[0:10:5]`, which may have several ranges.

    Raises RangeError.
    """
    found = RANGE.search(pattern)
    if found is None:
        if "[" in pattern or "]" in pattern:
            raise RangeError(
                f"{pattern[:60]!r} is not a valid range: write name[01:20], name[a:f] or name[0:9:3]"
            )
        return [pattern]
    first, last, step = found[1], found[2], int(found[3] or 1)
    if step < 1:
        raise RangeError(f"{pattern[:60]!r} has a step of 0")
    if last.isdecimal() and (not first or first.isdecimal()):
        begin, end, width = int(first or 0), int(last), 0
        if first.startswith("0") and len(first) > 1:
            width = len(first)
            if len(last) != width:
                raise RangeError(f"{pattern[:60]!r} has bounds of different length")
        if (end - begin) // step >= MAX_WORKERS:
            raise RangeError(f"{pattern[:60]!r} expands to more than {MAX_WORKERS} names")
        values = [str(n).zfill(width) for n in range(begin, end + 1, step)]
    elif len(first) == len(last) == 1 and first in LETTERS and last in LETTERS:
        values = list(LETTERS[LETTERS.index(first) : LETTERS.index(last) + 1 : step])
    else:
        raise RangeError(f"{pattern[:60]!r} must go from number to number or from letter to letter")
    if not values:
        raise RangeError(f"{pattern[:60]!r} ends before it begins")
    before, rest = pattern[: found.start()], expand_range(pattern[found.end() :])
    if len(values) * len(rest) > MAX_WORKERS:
        raise RangeError(f"{pattern[:60]!r} expands to more than {MAX_WORKERS} names")
    return [before + value + tail for value in values for tail in rest]


class InventoryTree:
    """The groups and hosts of one inventory."""

    def __init__(self, findings: Findings) -> None:
        self.findings = findings
        self.groups: dict[str, Group] = {}
        self.hosts: dict[str, Host] = {}

    def add_group(self, name: str, position: Position) -> Group:
        """Return the group, added if absent."""
        return self.groups.setdefault(name, Group(name, position))

    def error(self, position: Position, text: str) -> None:
        self.findings.error(position.line, position.column, text)

    # --- reading -------------------------------------------------------------------------------------

    def read(self, root: yaml.Node) -> None:
        """Read the groups and hosts of a file; errors become findings."""
        if not isinstance(root, yaml.MappingNode) or not root.value:
            self.error(position_of(root), "an inventory is a mapping of groups, such as 'all:'")
            return
        # A group with two parents may be defined under each; the definitions are merged.
        stack: list[tuple[str, yaml.Node, yaml.Node, str | None, int]] = [
            (key.value, key, value, None, 0) for key, value in reversed(root.value)
        ]
        while stack:
            name, key, node, parent, level = stack.pop()
            if not GROUP.fullmatch(name):
                self.error(position_of(key), f"{name[:60]!r} is not a valid name of a group")
                continue
            if level > MAX_LEVELS or len(self.groups) > MAX_GROUPS:
                self.error(
                    position_of(key), f"more than {MAX_GROUPS} groups, or {MAX_LEVELS} levels of groups"
                )
                return
            group = self.add_group(name, position_of(key))
            if parent is not None:
                self.groups[parent].children.setdefault(name, position_of(key))
                group.parents.add(parent)
            stack.extend(reversed(self.read_group(group, node, level)))

    def read_group(
        self, group: Group, node: yaml.Node, level: int
    ) -> list[tuple[str, yaml.Node, yaml.Node, str | None, int]]:
        """Read a group's hosts and variables; return its children, which are still to be read.

        Each child has its name, key node, value node, parent and level.
        """
        if is_empty(node):
            return []
        if not isinstance(node, yaml.MappingNode):
            self.error(
                position_of(node), f"the group {group.name} is not a mapping of hosts, vars and children"
            )
            return []
        children: list[tuple[str, yaml.Node, yaml.Node, str | None, int]] = []
        for key, value in node.value:
            if key.value not in ("hosts", "vars", "children"):
                text = f"{key.value[:60]!r} in the group {group.name}: expected hosts, vars or children"
                self.error(position_of(key), text)
            elif is_empty(value):
                continue
            elif not isinstance(value, yaml.MappingNode):
                self.error(position_of(value), f"{key.value} of the group {group.name} is not a mapping")
            elif key.value == "hosts":
                self.read_hosts(group, value)
            elif key.value == "vars":
                group.vars |= self.read_vars(value)
            else:
                children += [(k.value, k, v, group.name, level + 1) for k, v in value.value]
        return children

    def read_hosts(self, group: Group, node: yaml.MappingNode) -> None:
        """Add the hosts of a group, whose keys may be ranges, with their variables."""
        for key, value in node.value:
            position = position_of(key)
            try:
                names = expand_range(key.value)
            except RangeError as error:
                self.error(position, str(error))
                continue
            own_variables: Variables = {}
            if isinstance(value, yaml.MappingNode):
                own_variables = self.read_vars(value)
            elif not is_empty(value):
                self.error(position_of(value), f"the host {key.value[:60]} is not a mapping of variables")
            for name in names:
                host = self.hosts.setdefault(name, Host(position))
                for variable, entry in own_variables.items():
                    previous = host.vars.get(variable)
                    if previous is not None and previous.text != entry.text and variable in KNOWN_VARIABLES:
                        text = (
                            f"{name} already has {variable} {previous.text!r} in line {previous.place.line}"
                        )
                        self.error(entry.place, text)
                    host.vars[variable] = entry
                host.groups.add(group.name)
                group.hosts.setdefault(name, position)
            if len(self.hosts) > MAX_WORKERS:
                self.error(position, f"more than {MAX_WORKERS} hosts")
                return

    def read_vars(self, node: yaml.MappingNode) -> Variables:
        """Read the variables that describe a worker, which must be plain values; others are ignored."""
        found: Variables = {}
        for key, value in node.value:
            if key.value not in KNOWN_VARIABLES and key.value != "ansible_group_priority":
                continue
            if not isinstance(value, yaml.ScalarNode):
                self.error(position_of(value), f"{key.value} is not a plain value")
            elif value.tag not in PLAIN_TAGS:
                self.error(position_of(value), f"{key.value} is tagged {value.tag}: write the value itself")
            elif "{{" in value.value or "{%" in value.value:
                self.error(position_of(value), f"{key.value} is a template, which only Ansible can evaluate")
            elif not is_empty(value):
                found[key.value] = SourceValue(value.value, position_of(value))
        return found

    # --- inheritance ---------------------------------------------------------------------------------

    def resolve_hierarchy(self) -> bool:
        """Put groups without a parent under `all` and compute depths; return whether there is no cycle."""
        top = self.add_group("all", Position(1, 1))
        for name, group in self.groups.items():
            if name != "all" and not group.parents:
                group.parents.add("all")
                top.children.setdefault(name, group.position)
        if top.parents:
            self.error(top.position, "the group all must not be a child of another group")
            return False
        pending_parents = {name: len(group.parents) for name, group in self.groups.items()}
        unvisited, visited_count = ["all"], 0
        while unvisited:
            name = unvisited.pop()
            visited_count += 1
            group = self.groups[name]
            for child in group.children:
                self.groups[child].depth = max(self.groups[child].depth, group.depth + 1)
                pending_parents[child] -= 1
                if not pending_parents[child]:
                    unvisited.append(child)
        if visited_count < len(self.groups):
            name = min(n for n, count in pending_parents.items() if count > 0)
            self.error(self.groups[name].position, f"the group {name} is in or below a cycle of groups")
            return False
        return True

    def with_ancestors(self, name: str, ancestors: dict[str, frozenset[str]]) -> frozenset[str]:
        """Return a group and all groups that contain it; `ancestors` caches the results."""
        if name not in ancestors:
            found = {name}
            for parent in self.groups[name].parents:
                found |= self.with_ancestors(parent, ancestors)
            ancestors[name] = frozenset(found)
        return ancestors[name]

    def precedence(self, name: str, folder_variables: Mapping[str, Variables]) -> tuple[int, int, str]:
        """Return the sort key of a group: variables of groups that sort later override those before."""
        entry = self.groups[name].vars.get("ansible_group_priority") or folder_variables.get(name, {}).get(
            "ansible_group_priority"
        )
        priority = int(entry.text) if entry is not None and re.fullmatch(r"-?\d{1,9}", entry.text) else 1
        return self.groups[name].depth, priority, name

    def build_workers(
        self, group_vars: Mapping[str, Variables], host_vars: Mapping[str, Variables]
    ) -> list[tuple[Worker, Position]]:
        """Build the workers from the merged variables of their hosts and groups; errors become findings."""
        ancestors: dict[str, frozenset[str]] = {}
        precedences = {name: self.precedence(name, group_vars) for name in self.groups}
        merged_by_groups: dict[frozenset[str], tuple[Variables, list[str]]] = {}
        workers = []
        for name, host in self.hosts.items():
            groups = frozenset().union(*(self.with_ancestors(g, ancestors) for g in host.groups)) | {"all"}
            if groups not in merged_by_groups:
                ordered = sorted(groups, key=lambda g: precedences[g])
                layers = [self.groups[g].vars for g in ordered]
                layers += [group_vars.get(g, {}) for g in ordered]
                combined: Variables = {}
                for layer in layers:
                    combined |= layer
                merged_by_groups[groups] = combined, ordered
            shared, ordered = merged_by_groups[groups]
            values = shared | host.vars | host_vars.get(name, {})
            entries = {"name": SourceValue(name, host.position)}
            for field_, variables in VARIABLES.items():
                entry = next((values[v] for v in variables if v in values), None)
                if entry is None:
                    entry = self.value_from_group(field_, name, ordered, host.position)
                if entry is not None:
                    entries[field_] = entry
            entries.setdefault("address", SourceValue(name, host.position))
            if worker := make_worker(entries, host.position, self.findings):
                workers.append((worker, host.position))
        return workers

    def value_from_group(
        self, field_: str, name: str, groups: list[str], position: Position
    ) -> SourceValue | None:
        """Return the room or bay that a group's name gives, such as `room_a` or `bay_3`."""
        pattern = GROUP_PATTERNS.get(field_)
        if pattern is None:
            return None
        found = {match[1]: group for group in groups if (match := pattern.fullmatch(group))}
        if len(found) > 1:
            self.error(position, f"{name} is in the groups {' and '.join(sorted(found.values()))}")
        return SourceValue(next(iter(found)), position) if found else None


def is_empty(node: yaml.Node) -> bool:
    """Whether a node is YAML's null."""
    return isinstance(node, yaml.ScalarNode) and not node.style and node.value in ("", "~", "null")


@dataclass(frozen=True, slots=True)
class VariableFolders:
    """The variable files next to an inventory, by group or host and then by file name."""

    group_vars: Mapping[str, Mapping[str, bytes]] = field(default_factory=dict)
    host_vars: Mapping[str, Mapping[str, bytes]] = field(default_factory=dict)


def read_variable_files(
    files: Mapping[str, Mapping[str, bytes]], findings: Findings, tree: InventoryTree
) -> dict[str, Variables]:
    """Read the variables of each group or host from its files; errors become findings."""
    found: dict[str, Variables] = {}
    for name, parts in files.items():
        for file, data in sorted(parts.items()):
            previous = findings.file
            findings.file = file  # findings in the file get its name
            try:
                node = compose_yaml(data)
                if isinstance(node, yaml.MappingNode):
                    found.setdefault(name, {}).update(tree.read_vars(node))
                elif node is not None and not is_empty(node):
                    tree.error(position_of(node), "not a mapping of variables")
            except TextError as error:
                findings.error(error.line, error.column, error.problem)
            finally:
                findings.file = previous
    return found


def read_ansible(
    data: bytes, file: str, folders: VariableFolders | None = None, gateway_addresses: GatewayAddresses = ()
) -> ParsedInventory:
    """Read an inventory from YAML.  Raises InventoryError with all findings."""
    findings = Findings(file)
    tree = InventoryTree(findings)
    try:
        root = compose_yaml(data)
    except TextError as error:
        findings.error(error.line, error.column, error.problem)
        raise InventoryError(findings.kept) from None
    if root is None:
        findings.error(0, 0, "the file is empty: an empty list is never accepted")
        raise InventoryError(findings.kept)
    tree.read(root)
    folders = folders or VariableFolders()
    if findings.errors or not tree.resolve_hierarchy():
        raise InventoryError(findings.kept)
    group_vars = read_variable_files(folders.group_vars, findings, tree)
    host_vars = read_variable_files(folders.host_vars, findings, tree)
    for names, known, what in (
        (group_vars, tree.groups, "group"), (host_vars, tree.hosts, "host"),
    ):  # fmt: skip
        for name in sorted(set(names) - set(known)):
            findings.warning(0, 0, f"{what}_vars/{name} belongs to no {what} of the inventory")
    workers = tree.build_workers(group_vars, host_vars)
    shape = FileShape(tuple(w.name for w, _ in workers), ended=data.endswith(b"\n"))
    return ParsedInventory(build_inventory(workers, findings, gateway_addresses), list(findings.kept), shape)


def write_ansible(inventory: Inventory) -> bytes:
    """Encode an inventory for Ansible: one group for each room, all variables at their hosts."""
    rooms: dict[str, dict[str, dict[str, object]]] = {}
    for w in inventory.workers:
        rooms.setdefault(w.room, {})[w.name] = {
            "ansible_host": w.host, "ansible_port": w.port, "room": w.room, "bay": w.bay, "kind": w.kind,
            "weight": float(f"{w.weight:g}"), "state": w.state,
        }  # fmt: skip
    children = {f"in_{number}": {"hosts": hosts} for number, hosts in enumerate(rooms.values())}
    text: str = yaml.safe_dump({"all": {"children": children}}, sort_keys=False)
    return text.encode()
