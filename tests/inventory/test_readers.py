"""CSV and YAML inventories are read alike; each kind of damage is reported with its line."""

from __future__ import annotations

from typing import Any

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from ivymux.inventory.ansible import RangeError, VariableFolders, expand_range, read_ansible, write_ansible
from ivymux.inventory.csv_reader import read_csv, write_csv
from ivymux.inventory.model import Inventory, InventoryError, Worker

from . import damage


def parse_csv(text: str | bytes) -> Inventory:
    return read_csv(text if isinstance(text, bytes) else text.encode(), "w.csv").inventory


def parse_ansible(text: str, **folders: dict[str, dict[str, bytes]]) -> Inventory:
    return read_ansible(text.encode(), "w.yml", VariableFolders(**folders)).inventory


def single_worker(inventory: Inventory) -> Worker:
    (worker,) = inventory.workers
    return worker


# --- CSV ---------------------------------------------------------------------------------------------


def test_all_forms_that_spreadsheets_export_give_the_same_inventory() -> None:
    good = parse_csv(damage.SHEET)
    assert len(good.workers) == 12
    assert good.by_name()["w03"] == Worker("w03", "127.0.0.1", 20003, "room-b", 3, "std", 1.0, "ready")
    text = damage.SHEET
    forms: list[str | bytes] = [
        text.replace(",", ";"), text.replace(",", "\t"), text.replace("\n", "\r\n"), "\ufeff" + text,
        text.encode("utf-16"), b"\xff\xfe" + text.encode("utf-16-le"),
        text.encode("utf-16-le"), text.encode("utf-16-be"),
        "sep=;\n" + text.replace(",", ";"), text.replace("\n", ",,\n"), "\n\n" + text.replace("\n", "\n\n"),
        text.replace("w03,", '"w03",').replace("room-b", '"room-b"'), "# a note, of the volunteers\n" + text,
        text.replace("name,address", "Server , IP Address").replace("weight", "WEIGHT"),
        "\n".join(sorted(text.splitlines()[1:13], reverse=True)).join([damage.HEADER + "\n", "\n"]),
        text.replace("# end 12", "Total: 12,,,"), text.replace("# end 12\n", ""),
        text.replace("\n", ',"a note\nof two lines"\n').replace(
            '# end 12,"a note\nof two lines"', "# end 12"),
    ]  # fmt: skip
    for form in forms:
        assert parse_csv(form) == good


def test_a_worker_must_not_have_the_gateways_own_address() -> None:
    text = "name,address,port\na,10.0.0.1,80\nb,127.0.0.1,8080\n"
    for listen in ("127.0.0.1", "0.0.0.0"):
        with pytest.raises(InventoryError, match="b has the gateway's own"):
            read_csv(text.encode(), "w.csv", ((listen, 8080),))
    assert read_csv(text.encode(), "w.csv", (("127.0.0.1", 8081),)).shape.order == ("a", "b")


def test_a_port_may_be_part_of_the_address_and_absent_fields_have_defaults() -> None:
    assert single_worker(parse_csv("name,address\nw,h.example:80\n")) == Worker("w", "h.example", 80)
    assert single_worker(parse_csv("name,address\nw,[::1]:80\n")).host == "::1"
    assert single_worker(parse_csv("name,address,port\nw,0:0:0:0:0:0:0:1,80\n")).host == "::1"
    assert single_worker(parse_csv("name,address,port\nw,H.Example.,80\n")).host == "h.example"


def test_an_identical_duplicate_is_a_warning_and_a_conflicting_one_an_error() -> None:
    text = "name,address,port\na,127.0.0.1,1\nb,127.0.0.1,2\na,127.0.0.1,1\n"
    reading = read_csv(text.encode(), "w.csv")
    assert len(reading.inventory.workers) == 2
    assert [str(w) for w in reading.warnings] == ["w.csv:4: warning: a is already listed in line 2"]
    with pytest.raises(InventoryError) as caught:
        parse_csv(text.replace("a,127.0.0.1,1\n", "a,127.0.0.1,7\n", 1))
    assert str(caught.value) == "w.csv:4: error: a is listed in line 2 with another port"


@pytest.mark.parametrize("variant", damage.damaged(damage.sheets), ids=lambda v: v.name)
def test_damage_to_a_csv_file_is_reported_with_its_line(variant: damage.Variant) -> None:
    if variant.line is None:
        # A valid file, which the change policy has to hold back.
        assert parse_csv(variant.data) != parse_csv(damage.SHEET)
        return
    with pytest.raises(InventoryError) as caught:
        parse_csv(variant.data)
    lines = [f.line for f in caught.value.findings if f.level == "error"]
    assert lines and (variant.line == 0 or variant.line in lines), caught.value.findings
    assert all("\n" not in f.text for f in caught.value.findings)


def test_a_csv_file_truncated_at_any_byte_is_refused_or_a_valid_shorter_one() -> None:
    data = damage.SHEET.encode()
    good = parse_csv(data)
    accepted = 0
    for cut in range(len(data)):
        try:
            found = parse_csv(data[:cut])
        except InventoryError:
            continue
        if found == good:
            continue  # only the row with the count or its line end is missing
        accepted += 1
        assert {w.name for w in found.workers} < {w.name for w in good.workers} or cut
    assert accepted > 20  # valid shorter files, which file stability and the change policy deal with
    for keep in range(1, 12):
        with_count = "\n".join([damage.HEADER, *damage.ROWS[:keep], "# end 12"])
        with pytest.raises(InventoryError, match="the file is truncated"):
            parse_csv(with_count)


# --- YAML --------------------------------------------------------------------------------------------


def test_yaml_gives_the_same_inventory_as_csv() -> None:
    assert parse_ansible(damage.YAML) == parse_csv(damage.SHEET)


@pytest.mark.parametrize("variant", damage.damaged(damage.trees), ids=lambda v: v.name)
def test_damage_to_a_yaml_file_is_reported_with_its_line(variant: damage.Variant) -> None:
    if variant.line is None:
        assert read_ansible(variant.data, "w.yml").inventory != parse_ansible(damage.YAML)
        return
    with pytest.raises(InventoryError) as caught:
        read_ansible(variant.data, "w.yml")
    lines = [f.line for f in caught.value.findings if f.level == "error"]
    assert lines and (variant.line == 0 or variant.line in lines), caught.value.findings


def test_variable_precedence_is_that_of_ansible() -> None:
    text = """
all:
  vars: {ansible_port: 1, room: all, kind: all, state: draining}
  children:
    parent:
      vars: {room: parent, kind: parent}
      children:
        child:
          vars: {kind: child}
          hosts:
            a: {ansible_host: 10.0.0.1}
            b: {ansible_host: 10.0.0.2, kind: own}
"""
    a, b = parse_ansible(text).workers
    assert (a.port, a.room, a.kind, a.state) == (1, "parent", "child", "draining")
    assert (b.room, b.kind) == ("parent", "own")
    folders: dict[str, dict[str, bytes]] = {
        "all": {"group_vars/all.yml": b"room: from-all\nstate: ready\n"},
        "parent": {"group_vars/parent.yml": b"kind: from-parent\n"},
    }
    a, b = parse_ansible(text, group_vars=folders).workers
    # group_vars/all overrides the file's group variables; a host's own variables override both.
    assert (a.room, a.state, a.kind, b.kind) == ("from-all", "ready", "from-parent", "own")
    a, b = parse_ansible(text, group_vars=folders, host_vars={"b": {"host_vars/b": b"kind: host\n"}}).workers
    assert (a.kind, b.kind) == ("from-parent", "host")


def test_groups_at_the_same_depth_apply_by_priority_and_then_by_name() -> None:
    text = """
all:
  vars: {ansible_port: 1}
  children:
    x: {vars: {kind: x}, hosts: {h: {ansible_host: 10.0.0.1}}}
    y: {vars: {kind: y}, hosts: {h: }}
"""
    assert single_worker(parse_ansible(text)).kind == "y"
    assert (
        single_worker(parse_ansible(text.replace("kind: x}", "kind: x, ansible_group_priority: 9}"))).kind
        == "x"
    )


def test_names_of_groups_give_rooms_and_bays() -> None:
    text = """
all: {vars: {ansible_port: 1}}
room_north:
  children:
    bay_3: {hosts: {"w[01:03]": }}
    bay_4: {hosts: {v: {ansible_port: 2, ansible_host: w04}}}
"""
    workers = parse_ansible(text).by_name()
    assert [(w.room, w.bay, w.host) for n, w in sorted(workers.items())] == [
        ("north", 4, "w04"), ("north", 3, "w01"), ("north", 3, "w02"), ("north", 3, "w03"),
    ]  # fmt: skip
    with pytest.raises(InventoryError, match="bay_3 and bay_4"):
        parse_ansible(text.replace("{v: {", "{w02: {"))


@pytest.mark.parametrize(
    ("pattern", "names"),
    [
        ("w", ["w"]), ("w[1:3]", ["w1", "w2", "w3"]), ("w[08:11]x", ["w08x", "w09x", "w10x", "w11x"]),
        ("w[a:d:2]", ["wa", "wc"]), ("w[0:10:5]", ["w0", "w5", "w10"]), ("w[:2]", ["w0", "w1", "w2"]),
        ("r[1:2]-[a:b]", ["r1-a", "r1-b", "r2-a", "r2-b"]),
    ],
)  # fmt: skip
def test_host_ranges(pattern: str, names: list[str]) -> None:
    assert expand_range(pattern) == names


@given(st.integers(0, 500), st.integers(0, 200), st.integers(1, 7), st.integers(0, 4))
def test_a_range_expands_to_its_numbers(first: int, more: int, step: int, width: int) -> None:
    last = first + more
    begin, end = str(first).zfill(width), str(last).zfill(width)
    if begin.startswith("0") and len(begin) > 1 and len(end) != len(begin):
        with pytest.raises(RangeError):
            expand_range(f"w[{begin}:{end}:{step}]")
        return
    names = expand_range(f"w[{begin}:{end}:{step}]")
    assert [int(n[1:]) for n in names] == list(range(first, last + 1, step))
    assert all(len(n) - 1 >= len(begin) for n in names) or not begin.startswith("0")


def test_a_name_that_is_a_plain_number_is_a_warning() -> None:
    reading = read_csv(b"name,address,port\n7,10.0.0.1,80\n8,10.0.0.2,80\n", "w.csv")
    assert [w.line for w in reading.warnings] == [2] and "leading zeros" in reading.warnings[0].text


GROUPS = ("g1", "g2", "g3", "g4", "g5", "g6")
EDGES = st.sets(st.tuples(st.integers(0, 5), st.integers(0, 5)).filter(lambda e: e[0] < e[1]), max_size=9)
KINDS = st.dictionaries(st.sampled_from(GROUPS), st.tuples(st.sampled_from("abc"), st.integers(0, 3)))


@given(EDGES, KINDS, KINDS, st.sets(st.sampled_from(GROUPS), min_size=1, max_size=3), st.booleans())
def test_inheritance_agrees_with_the_reference_implementation(
    edges: set[tuple[int, int]],
    in_file: dict[str, tuple[str, int]],
    in_folders: dict[str, tuple[str, int]],
    member: set[str],
    own: bool,
) -> None:
    """The reference: groups of a host apply from the outermost in, at equal depth by priority, then name;
    group_vars override group variables in the file, and the host's own variables override all.
    """
    above = {g: {GROUPS[a] for a, b in edges if GROUPS[b] == g} for g in GROUPS}
    tree: dict[str, Any] = {"all": {"vars": {"ansible_port": 1, "kind": "z"}}}
    for name in GROUPS:
        children: dict[str, Any] = {GROUPS[b]: {} for a, b in edges if GROUPS[a] == name}
        hosts = (
            {"h": {"ansible_host": "10.0.0.1"} | ({"kind": "mine"} if own else {})} if name in member else {}
        )
        variables = {}
        if name in in_file:
            variables = {"kind": in_file[name][0], "ansible_group_priority": in_file[name][1]}
        tree[name] = {"vars": variables, "children": children, "hosts": hosts}
    folders = {
        name: {f"group_vars/{name}.yml": f"kind: {kind}".encode()} for name, (kind, _) in in_folders.items()
    }

    def depth(name: str) -> int:
        return 1 + max((depth(parent) for parent in above[name]), default=0)

    def ancestors(name: str) -> set[str]:
        return {name}.union(*(ancestors(parent) for parent in above[name]))

    ordered = sorted(
        set().union(*map(ancestors, member)),
        key=lambda g: (depth(g), in_file[g][1] if g in in_file else 1, g),
    )
    expected = "z"
    for source in (in_file, in_folders):
        for name in ordered:
            if name in source:
                expected = source[name][0]
    found = single_worker(parse_ansible(yaml.safe_dump(tree, sort_keys=False), group_vars=folders))
    assert found.kind == ("mine" if own else expected)


# --- both formats ------------------------------------------------------------------------------------

LABEL = st.from_regex(r"[a-z][a-z0-9-]{0,6}[a-z0-9]", fullmatch=True)
WORKER = st.builds(
    Worker,
    name=st.from_regex(r"[a-z][a-z0-9]{0,5}", fullmatch=True),
    host=st.one_of(
        st.integers(1, 254).map(lambda n: f"10.0.0.{n}"), LABEL.map(lambda t: f"h{t}.example"), st.just("::1")
    ),
    port=st.integers(1, 65535),
    room=LABEL.filter(lambda t: t not in ("null", "true", "false")),
    bay=st.integers(0, 99),
    kind=LABEL,
    weight=st.sampled_from([0.5, 1.0, 2.25, 10.0]),
    state=st.sampled_from(["ready", "draining", "out"]),
)
INVENTORY = st.lists(
    WORKER, min_size=1, max_size=12, unique_by=(lambda w: w.name, lambda w: (w.host, w.port))
).map(lambda workers: Inventory(tuple(sorted(workers))))


@given(INVENTORY)
def test_writing_and_reading_gives_the_same_inventory(inventory: Inventory) -> None:
    from ivymux.inventory.model import DATE, EXPONENT

    if any(
        DATE.fullmatch(t) or EXPONENT.fullmatch(t)
        for w in inventory.workers
        for t in (w.name, w.room, w.kind)
    ):
        return
    assert parse_csv(write_csv(inventory)) == inventory
    assert read_ansible(write_ansible(inventory), "w.yml").inventory == inventory


def test_ten_thousand_workers_in_five_hundred_groups() -> None:
    groups = "\n".join(
        f"  g{n}:\n    vars: {{bay: {n}, ansible_port: 8000}}\n    hosts:\n      g{n}-w[00:19]:"
        for n in range(500)
    )
    inventory = parse_ansible("all:\n children:\n" + groups.replace("\n", "\n"))
    assert len(inventory.workers) == 10_000 and inventory.by_name()["g7-w19"].bay == 7
    assert parse_csv(write_csv(inventory)) == inventory
