"""YAML inventories as Ansible keeps them: groups, inheritance, ranges, and variables in folders beside.

Precedence, lowest first, is the tool's own: variables of `all` in the file, of its other groups from parent
to child (`ansible_group_priority`, then name), `group_vars/all`, the other `group_vars`, the host in the
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
    Cell,
    Findings,
    Inventory,
    InventoryError,
    Own,
    Place,
    Reading,
    Shape,
    Worker,
    gather,
    make_worker,
)  # fmt: skip
from ivymux.text import TextError, compose_yaml

MAX_GROUPS = 5_000
MAX_LEVELS = 50
GROUP = re.compile(r"[A-Za-z_][A-Za-z0-9_.-]{0,127}", re.ASCII)
RANGE = re.compile(r"\[([0-9A-Za-z]*):([0-9A-Za-z]+)(?::(\d+))?\]", re.ASCII)
LETTERS = string.ascii_letters
# Our fields, and the variables that hold them; the first that is there counts.
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
KNOWN = frozenset(name for names in VARIABLES.values() for name in names)
PREFIXES = {"room": re.compile(r"room[_-](.+)"), "bay": re.compile(r"bay[_-](\d+)")}
Vars = dict[str, Cell]


@dataclass(slots=True)
class Group:
    name: str
    place: Place
    vars: Vars = field(default_factory=dict)
    hosts: dict[str, Place] = field(default_factory=dict)
    children: dict[str, Place] = field(default_factory=dict)
    parents: set[str] = field(default_factory=set)
    depth: int = 0


@dataclass(slots=True)
class Host:
    place: Place
    vars: Vars = field(default_factory=dict)
    groups: set[str] = field(default_factory=set)


def place_of(node: yaml.Node) -> Place:
    mark = node.start_mark
    return Place(mark.line + 1, mark.column + 1)


class RangeError(ValueError):
    """A host range that makes no names."""


def expand(pattern: str) -> list[str]:
    """The names of a host pattern: `w[01:20]`, `w[a:f]`, `w[0:10:5]`, also several of them in one."""
    found = RANGE.search(pattern)
    if found is None:
        if "[" in pattern or "]" in pattern:
            raise RangeError(f"{pattern[:60]!r} is no range: write name[01:20], name[a:f] or name[0:9:3]")
        return [pattern]
    first, last, step = found[1], found[2], int(found[3] or 1)
    if step < 1:
        raise RangeError(f"{pattern[:60]!r} has a step of 0")
    if last.isdecimal() and (not first or first.isdecimal()):
        begin, end, width = int(first or 0), int(last), 0
        if first.startswith("0") and len(first) > 1:
            width = len(first)
            if len(last) != width:
                raise RangeError(f"{pattern[:60]!r} has ends of different length")
        if (end - begin) // step >= MAX_WORKERS:
            raise RangeError(f"{pattern[:60]!r} makes more than {MAX_WORKERS} names")
        values = [str(n).zfill(width) for n in range(begin, end + 1, step)]
    elif len(first) == len(last) == 1 and first in LETTERS and last in LETTERS:
        values = list(LETTERS[LETTERS.index(first) : LETTERS.index(last) + 1 : step])
    else:
        raise RangeError(f"{pattern[:60]!r} goes neither from number to number nor from letter to letter")
    if not values:
        raise RangeError(f"{pattern[:60]!r} ends before it begins")
    before, rest = pattern[: found.start()], expand(pattern[found.end() :])
    if len(values) * len(rest) > MAX_WORKERS:
        raise RangeError(f"{pattern[:60]!r} makes more than {MAX_WORKERS} names")
    return [before + value + tail for value in values for tail in rest]


class Tree:
    """The groups and hosts of one inventory."""

    def __init__(self, findings: Findings) -> None:
        self.findings = findings
        self.groups: dict[str, Group] = {}
        self.hosts: dict[str, Host] = {}

    def group(self, name: str, place: Place) -> Group:
        return self.groups.setdefault(name, Group(name, place))

    def error(self, place: Place, text: str) -> None:
        self.findings.error(place.line, place.column, text)

    # --- reading -------------------------------------------------------------------------------------

    def read(self, root: yaml.Node) -> None:
        if not isinstance(root, yaml.MappingNode) or not root.value:
            self.error(place_of(root), "an inventory is a mapping of groups, such as 'all:'")
            return
        # A group that is written under two parents may be written out under each: the parts add up.
        stack: list[tuple[str, yaml.Node, yaml.Node, str | None, int]] = [
            (key.value, key, value, None, 0) for key, value in reversed(root.value)
        ]
        while stack:
            name, key, node, parent, level = stack.pop()
            if not GROUP.fullmatch(name):
                self.error(place_of(key), f"{name[:60]!r} is no name of a group")
                continue
            if level > MAX_LEVELS or len(self.groups) > MAX_GROUPS:
                self.error(place_of(key), f"more than {MAX_GROUPS} groups, or {MAX_LEVELS} levels of them")
                return
            group = self.group(name, place_of(key))
            if parent is not None:
                self.groups[parent].children.setdefault(name, place_of(key))
                group.parents.add(parent)
            stack.extend(reversed(self.read_group(group, node, level)))

    def read_group(
        self, group: Group, node: yaml.Node, level: int
    ) -> list[tuple[str, yaml.Node, yaml.Node, str | None, int]]:
        if empty(node):
            return []
        if not isinstance(node, yaml.MappingNode):
            self.error(place_of(node), f"the group {group.name} is not a mapping of hosts, vars and children")
            return []
        children: list[tuple[str, yaml.Node, yaml.Node, str | None, int]] = []
        for key, value in node.value:
            if key.value not in ("hosts", "vars", "children"):
                text = f"{key.value[:60]!r} in the group {group.name}: it has hosts, vars and children"
                self.error(place_of(key), text)
            elif empty(value):
                continue
            elif not isinstance(value, yaml.MappingNode):
                self.error(place_of(value), f"{key.value} of the group {group.name} is not a mapping")
            elif key.value == "hosts":
                self.read_hosts(group, value)
            elif key.value == "vars":
                group.vars |= self.read_vars(value)
            else:
                children += [(k.value, k, v, group.name, level + 1) for k, v in value.value]
        return children

    def read_hosts(self, group: Group, node: yaml.MappingNode) -> None:
        for key, value in node.value:
            place = place_of(key)
            try:
                names = expand(key.value)
            except RangeError as error:
                self.error(place, str(error))
                continue
            own: Vars = {}
            if isinstance(value, yaml.MappingNode):
                own = self.read_vars(value)
            elif not empty(value):
                self.error(place_of(value), f"the host {key.value[:60]} is not a mapping of variables")
            for name in names:
                host = self.hosts.setdefault(name, Host(place))
                for variable, cell in own.items():
                    before = host.vars.get(variable)
                    if before is not None and before.text != cell.text and variable in KNOWN:
                        text = f"{name} has {variable} {before.text!r} in line {before.place.line} already"
                        self.error(cell.place, text)
                    host.vars[variable] = cell
                host.groups.add(group.name)
                group.hosts.setdefault(name, place)
            if len(self.hosts) > MAX_WORKERS:
                self.error(place, f"more than {MAX_WORKERS} hosts")
                return

    def read_vars(self, node: yaml.MappingNode) -> Vars:
        """Variables as they are written; only ours must be plain."""
        found: Vars = {}
        for key, value in node.value:
            if key.value not in KNOWN and key.value != "ansible_group_priority":
                continue
            if not isinstance(value, yaml.ScalarNode):
                self.error(place_of(value), f"{key.value} is not a plain value")
            elif value.tag not in PLAIN_TAGS:
                self.error(place_of(value), f"{key.value} is tagged {value.tag}: write the value itself")
            elif "{{" in value.value or "{%" in value.value:
                self.error(place_of(value), f"{key.value} is a template, which only the tool fills in")
            elif not empty(value):
                found[key.value] = Cell(value.value, place_of(value))
        return found

    # --- inheritance ---------------------------------------------------------------------------------

    def settle(self) -> bool:
        """Put groups without a parent below `all`, and find each one's depth; false for a circle."""
        top = self.group("all", Place(1, 1))
        for name, group in self.groups.items():
            if name != "all" and not group.parents:
                group.parents.add("all")
                top.children.setdefault(name, group.place)
        if top.parents:
            self.error(top.place, "the group all is another's child")
            return False
        waiting = {name: len(group.parents) for name, group in self.groups.items()}
        ready, seen = ["all"], 0
        while ready:
            name = ready.pop()
            seen += 1
            group = self.groups[name]
            for child in group.children:
                self.groups[child].depth = max(self.groups[child].depth, group.depth + 1)
                waiting[child] -= 1
                if not waiting[child]:
                    ready.append(child)
        if seen < len(self.groups):
            name = min(n for n, count in waiting.items() if count > 0)
            self.error(self.groups[name].place, f"the group {name} is in a circle of children")
            return False
        return True

    def above(self, name: str, known: dict[str, frozenset[str]]) -> frozenset[str]:
        """A group and all that it is in."""
        if name not in known:
            found = {name}
            for parent in self.groups[name].parents:
                found |= self.above(parent, known)
            known[name] = frozenset(found)
        return known[name]

    def order(self, name: str, vars_of: Mapping[str, Vars]) -> tuple[int, int, str]:
        cell = self.groups[name].vars.get("ansible_group_priority") or vars_of.get(name, {}).get(
            "ansible_group_priority"
        )
        priority = int(cell.text) if cell is not None and re.fullmatch(r"-?\d{1,9}", cell.text) else 1
        return self.groups[name].depth, priority, name

    def workers(
        self, group_vars: Mapping[str, Vars], host_vars: Mapping[str, Vars]
    ) -> list[tuple[Worker, Place]]:
        known: dict[str, frozenset[str]] = {}
        orders = {name: self.order(name, group_vars) for name in self.groups}
        merged: dict[frozenset[str], tuple[Vars, list[str]]] = {}
        made = []
        for name, host in self.hosts.items():
            groups = frozenset().union(*(self.above(g, known) for g in host.groups)) | {"all"}
            if groups not in merged:
                ordered = sorted(groups, key=lambda g: orders[g])
                layers = [self.groups[g].vars for g in ordered]
                layers += [group_vars.get(g, {}) for g in ordered]
                together: Vars = {}
                for layer in layers:
                    together |= layer
                merged[groups] = together, ordered
            shared, ordered = merged[groups]
            values = shared | host.vars | host_vars.get(name, {})
            cells = {"name": Cell(name, host.place)}
            for field_, variables in VARIABLES.items():
                cell = next((values[v] for v in variables if v in values), None)
                if cell is None:
                    cell = self.by_group(field_, name, ordered, host.place)
                if cell is not None:
                    cells[field_] = cell
            cells.setdefault("address", Cell(name, host.place))
            if worker := make_worker(cells, host.place, self.findings):
                made.append((worker, host.place))
        return made

    def by_group(self, field_: str, name: str, groups: list[str], place: Place) -> Cell | None:
        """A room or bay by the name of a group that stands for it, such as `room_a` or `bay_3`."""
        pattern = PREFIXES.get(field_)
        if pattern is None:
            return None
        found = {match[1]: group for group in groups if (match := pattern.fullmatch(group))}
        if len(found) > 1:
            self.error(place, f"{name} is in the groups {' and '.join(sorted(found.values()))}")
        return Cell(next(iter(found)), place) if found else None


def empty(node: yaml.Node) -> bool:
    return isinstance(node, yaml.ScalarNode) and not node.style and node.value in ("", "~", "null")


@dataclass(frozen=True, slots=True)
class Beside:
    """The folders beside an inventory: for a group's or a host's name its files, by their own names."""

    group_vars: Mapping[str, Mapping[str, bytes]] = field(default_factory=dict)
    host_vars: Mapping[str, Mapping[str, bytes]] = field(default_factory=dict)


def read_beside(files: Mapping[str, Mapping[str, bytes]], findings: Findings, tree: Tree) -> dict[str, Vars]:
    found: dict[str, Vars] = {}
    for name, parts in files.items():
        for file, data in sorted(parts.items()):
            before = findings.file
            findings.file = file  # what is wrong there is told with that file's name
            try:
                node = compose_yaml(data)
                if isinstance(node, yaml.MappingNode):
                    found.setdefault(name, {}).update(tree.read_vars(node))
                elif node is not None and not empty(node):
                    tree.error(place_of(node), "not a mapping of variables")
            except TextError as error:
                findings.error(error.line, error.column, error.problem)
            finally:
                findings.file = before
    return found


def read_ansible(data: bytes, file: str, beside: Beside | None = None, own: Own = ()) -> Reading:
    """A YAML inventory.  Raises InventoryError with every finding."""
    findings = Findings(file)
    tree = Tree(findings)
    try:
        root = compose_yaml(data)
    except TextError as error:
        findings.error(error.line, error.column, error.problem)
        raise InventoryError(findings.kept) from None
    if root is None:
        findings.error(0, 0, "the file is empty: an empty list is never taken")
        raise InventoryError(findings.kept)
    tree.read(root)
    beside = beside or Beside()
    if findings.errors or not tree.settle():
        raise InventoryError(findings.kept)
    group_vars = read_beside(beside.group_vars, findings, tree)
    host_vars = read_beside(beside.host_vars, findings, tree)
    for names, known, what in (
        (group_vars, tree.groups, "group"), (host_vars, tree.hosts, "host"),
    ):  # fmt: skip
        for name in sorted(set(names) - set(known)):
            findings.warning(0, 0, f"{what}_vars/{name} is for no {what} of the inventory")
    workers = tree.workers(group_vars, host_vars)
    shape = Shape(tuple(w.name for w, _ in workers), ended=data.endswith(b"\n"))
    return Reading(gather(workers, findings, own), list(findings.kept), shape)


def write_ansible(inventory: Inventory) -> bytes:
    """An inventory as the tool keeps it: one group for each room, every variable at its host."""
    rooms: dict[str, dict[str, dict[str, object]]] = {}
    for w in inventory.workers:
        rooms.setdefault(w.room, {})[w.name] = {
            "ansible_host": w.host, "ansible_port": w.port, "room": w.room, "bay": w.bay, "kind": w.kind,
            "weight": float(f"{w.weight:g}"), "state": w.state,
        }  # fmt: skip
    children = {f"in_{number}": {"hosts": hosts} for number, hosts in enumerate(rooms.values())}
    text: str = yaml.safe_dump({"all": {"children": children}}, sort_keys=False)
    return text.encode()
