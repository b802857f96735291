"""Damaged variants of an inventory, each with a name for its damage and the line that must be reported.

If the line is None, the file is valid, and only the change policy can detect the damage, by comparing the
inventory with the previous one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import yaml

HEADER = "name,address,port,room,bay,kind,weight,state"
ROWS = [
    f"w{n:02d},127.0.0.1,{20000 + n},room-{'ab'[n % 2]},{n % 4},std,{1 + n % 3},ready" for n in range(12)
]  # fmt: skip
SHEET = "\n".join([HEADER, *ROWS, f"# end {len(ROWS)}"]) + "\n"


@dataclass(frozen=True)
class Variant:
    """A damaged inventory file."""

    name: str
    data: bytes
    line: int | None  # that an error must have; 0 for any line, None for no error


def with_row(number: int, row: str) -> str:
    """Return the CSV file with one row, counted from 0, replaced."""
    return SHEET.replace(ROWS[number], row)


def with_cell(number: int, column: int, text: str) -> str:
    """Return the CSV file with one cell replaced."""
    cells = ROWS[number].split(",")
    cells[column] = text
    return with_row(number, ",".join(cells))


BAD_CELLS: dict[str, tuple[int, list[str]]] = {
    "name": (0, ["", "w 1", "-w", "w/1", "w\u00e9", "w\u200b1", "\u00a0w1", "x" * 200, "#REF!", "=A1",
                 "1E+3", "3-Jan"]),
    "address": (1, ["", "127.0.0", "127.0.0.1.1", "300.1.1.1", "127,0,0,1", "0.0.0.0", "224.0.0.1", "a_b",
                    "http://h", "127.0.0.1:x", "127.0.0.1:99", "1.27E+08", "#N/A", "127.0.0.1\u00a0", "::g",
                    "[::1"]),
    "port": (2, ["", "0", "65536", "-1", "80.5", "8,000", "8e3", "2.00E+04", "http", "20 000",
                 "Jan-12", "99999999999"]),
    "room": (3, ["\u200b", "#VALUE!", "=B2", "x" * 80, "a/b", "1E+5"]),
    "bay": (4, ["-1", "1.5", "one", "1E+3", "2024-01-02", "99999999999", "1,0"]),
    "weight": (6, ["0", "nan", "inf", "1e308", "-1", "1,5", "abc", "0.0001", "99999", "1.", "#DIV/0!"]),
    "state": (7, ["Ready!", "gone", "true", "1", "drain ing"]),
}  # fmt: skip


def sheets() -> Iterator[Variant]:
    """Yield damaged CSV files."""
    at = 0
    for field, (column, texts) in BAD_CELLS.items():
        for text in texts:
            row = at % len(ROWS)
            at += 1
            quoted = f'"{text}"' if "," in text else text
            yield Variant(f"{field} is {text[:12]!r}", with_cell(row, column, quoted).encode(), row + 2)
    text = SHEET
    yield Variant(
        "a worker twice with another port", text.replace("# end", "w03,127.0.0.1,29999\n# end").encode(), 14
    )
    yield Variant("a worker twice with another room", with_row(5, "w04,127.0.0.1,20004,room-b").encode(), 7)
    yield Variant("one address under two names", with_cell(6, 2, "20002").encode(), 8)
    yield Variant("names that differ in case", with_cell(6, 0, "W02").encode(), 8)
    yield Variant("names that differ in white space", with_cell(6, 0, " w02 ").encode(), 8)
    yield Variant(
        "a block pasted twice with other ports",
        text.replace("# end", "\n".join(r.replace(",200", ",210") for r in ROWS[:4]) + "\n# end").encode(),
        14,
    )
    yield Variant("the header in the middle", "\n".join([*ROWS[:6], HEADER, *ROWS[6:]]).encode(), 1)
    yield Variant("the header again", text.replace(ROWS[6], HEADER + "\n" + ROWS[6]).encode(), 8)
    yield Variant("no header", "\n".join(ROWS).encode(), 1)
    yield Variant("a header without addresses", text.replace("address", "notes", 1).encode(), 1)
    yield Variant("a header without names", text.replace("name", "notes", 1).encode(), 1)
    yield Variant("a header with two ports", text.replace("weight", "port", 1).encode(), 1)
    yield Variant("another sheet's export", b"date,amount,member\n2024-01-02,3,x\n", 1)
    yield Variant("nothing at all", b"", 0)
    yield Variant("a header alone", (HEADER + "\n").encode(), 0)
    yield Variant("blank lines alone", b"\n\n,,,\n", 0)
    yield Variant("a quote that is not closed", with_cell(3, 3, '"room-a').encode(), 5)
    yield Variant("text after a closing quote", with_cell(3, 3, '"room"x').encode(), 5)
    yield Variant("a comma in a cell", with_cell(3, 3, "room,a").encode(), 5)
    shifted = [r.replace(",127", ",,127", 1) if n > 4 else r for n, r in enumerate(ROWS)]
    yield Variant("a column shifted from a row on", "\n".join([HEADER, *shifted]).encode(), 7)
    yield Variant("bytes that are no UTF-8", SHEET.replace("room-a", "room-\xff", 1).encode("latin-1"), 2)
    yield Variant("a NUL", SHEET.replace("room-a", "ro\0m", 1).encode(), 2)
    yield Variant("a lost character", SHEET.replace("room-a", "ro\ufffdm", 1).encode(), 2)
    yield Variant("a count that is too large", text.replace("# end 12", "# end 13").encode(), 0)
    yield Variant("a count that is too small", text.replace("# end 12", "# end 11").encode(), 0)
    yield Variant("rows after the count", (text + "w99,127.0.0.1,29999\n").encode(), 15)
    for keep in (1, 4, 8, 11):
        cut = "\n".join([HEADER, *ROWS[:keep], "# end 12"]) + "\n"
        yield Variant(f"{keep} rows and the old count", cut.encode(), 0)
    yield Variant("cut in a row", text[: text.index("w07") + 9].encode(), 9)
    yield Variant("cut in UTF-16", SHEET.encode("utf-16")[:-37], 0)
    yield Variant("HTML in its place", b"<!doctype html><html><body>502</body></html>", 1)
    yield Variant("JSON in its place", b'{"workers": []}', 1)
    yield Variant("a word processor's document", b"PK\x03\x04\x14\x00\x06\x00\x08\x00\x00\x00!\x00", 0)
    for keep in (1, 3, 6):
        cut = "\n".join([HEADER, *ROWS[:keep]]) + "\n"
        yield Variant(f"cut at a line's end after {keep}: a valid shorter file", cut.encode(), None)
    table = [r.split(",") for r in ROWS]
    ports = sorted((c[2] for c in table), reverse=True)
    turned = [",".join([*c[:2], port, *c[3:]]) for c, port in zip(table, ports, strict=True)]
    yield Variant(
        "one column sorted without the others: all is valid", "\n".join([HEADER, *turned]).encode(), None
    )
    yield Variant(
        "every port moved by a thousand: all is valid", SHEET.replace(",200", ",210").encode(), None
    )
    yield Variant("all set to draining: a valid state", SHEET.replace("ready", "draining").encode(), None)
    yield Variant("a room renamed for all: valid names", SHEET.replace("room-a", "room-c").encode(), None)
    yield Variant("all in one bay: a valid bay", SHEET.replace(",1,std", ",9,std").replace(
        ",3,std", ",9,std").replace(",2,std", ",9,std").encode(), None)  # fmt: skip
    yield Variant("another fleet's file", SHEET.replace("w0", "x0").replace("w1", "x1").replace(
        ",200", ",220").encode(), None)  # fmt: skip


def tree() -> dict[str, object]:
    """Return the same workers as an Ansible inventory."""
    rooms: dict[str, dict[str, object]] = {}
    for row in ROWS:
        name, address, port, room, bay, kind, weight, state = row.split(",")
        host = {"ansible_host": address, "ansible_port": int(port), "bay": int(bay), "kind": kind,
                "weight": int(weight), "state": state}  # fmt: skip
        group = rooms.setdefault(room.replace("-", "_"), {"hosts": {}, "vars": {"room": room}})
        group["hosts"][name] = host  # type: ignore[index]
    return {"all": {"children": rooms}}


YAML = yaml.safe_dump(tree(), sort_keys=False)


def line_of(text: str, part: str, nth: int = 1) -> int:
    """Return the line, counted from 1, of the nth occurrence of a part."""
    at = -1
    for _ in range(nth):
        at = text.index(part, at + 1)
    return text.count("\n", 0, at) + 1


def trees() -> Iterator[Variant]:
    """Yield damaged Ansible inventories."""

    def edit(name: str, old: str, new: str, shift: int = 0, nth: int = 1) -> Variant:
        line = line_of(YAML, old, nth)
        at = -1
        for _ in range(nth):
            at = YAML.index(old, at + 1)
        return Variant(name, (YAML[:at] + new + YAML[at + len(old) :]).encode(), line + shift)

    keys = {"address": "ansible_host: ", "port": "ansible_port: ", "bay": "bay: ", "weight": "weight: ",
            "state": "state: "}  # fmt: skip
    count = 0
    for field, key in keys.items():
        for text in BAD_CELLS[field][1]:
            if not text or text in ("0.0.0.0",):
                continue
            count += 1
            nth = count % 11 + 1
            at = -1
            for _ in range(nth):
                at = YAML.index(key, at + 1)
            end = YAML.index("\n", at)
            quoted = yaml.safe_dump(text, allow_unicode=True).splitlines()[0]
            data = YAML[: at + len(key)] + quoted + YAML[end:]
            yield Variant(f"{field} is {text[:12]!r}", data.encode(), line_of(YAML, key, nth))
    for bad in (
        "w 0",
        "w/0",
        "-w0",
        "w\u00e9",
        "x" * 200,
        "#REF!",
        "w[1:3",
        "w[3:1]",
        "w[01:2]",
        "w[a:1]",
        "w]",
        "w[1:9:0]",
        "w[0:99999]",
        "w[aa:b]",
        "1E+3",
    ):
        yield edit(
            f"a host named {bad[:12]!r}",
            "w04:",
            yaml.safe_dump(bad, allow_unicode=True).splitlines()[0] + ":",
        )
    yield edit("a host twice in one group", "w02:", "w00:", nth=1)
    yield edit("a tab", "      hosts:", "\thosts:")
    yield edit("a bracket that is not closed", "state: ready", "state: [ready", 1)
    yield edit("a quote that is not closed", "state: ready", 'state: "ready', 0)
    yield edit("an unknown part of a group", "hosts:", "host:")
    listed = edit("hosts that are a list", "        w00:", "        - w00:")
    yield Variant(listed.name, listed.data, 0)  # the parser reports where the list ends
    yield edit("vars that are a word", "vars:\n        room: room-a", "vars: room-a", 0)
    yield edit("a room that is a list", "room: room-a", "room: [room-a]")
    yield edit("a template", "ansible_host: 127.0.0.1", 'ansible_host: "{{ address }}"')
    yield edit("a vault", "ansible_host: 127.0.0.1", "ansible_host: !vault secret")
    yield edit("a Python object", "ansible_host: 127.0.0.1", "ansible_host: !!python/name:os.system x")
    yield edit("one address under two names", "ansible_port: 20002", "ansible_port: 20000", -2)
    yield edit("names that differ in case", "w02:", "W00:")
    yield edit("a cycle of groups", "    room_a:", "    room_a:\n      children: {room_a: {}}", 0)
    yield edit("a group's name with a space", "    room_b:", "    room b:")
    yield Variant("an alias to itself", (YAML + "x: &x {children: *x}\n").encode(), YAML.count("\n") + 1)
    bomb = "\n".join(
        [f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 9 if n else ['x'] * 9)}]" for n in range(12)]
    )
    yield Variant("aliases that expand", bomb.encode(), 0)
    yield Variant("nested too deeply", ("- " * 300).encode(), 1)
    yield Variant("nothing at all", b"", 0)
    yield Variant("null", b"null\n", 1)
    yield Variant("a list", b"- a\n- b\n", 1)
    yield Variant("a word", b"workers\n", 1)
    yield Variant("groups without hosts", b"all:\n  children:\n    a:\n", 0)
    yield Variant("bytes that are no UTF-8", YAML.replace("ready", "r\xe9ady", 1).encode("latin-1"),
                  line_of(YAML, "ready"))  # fmt: skip
    yield Variant("two documents", (YAML + "---\nall: {}\n").encode(), YAML.count("\n") + 1)
    yield Variant("HTML in its place", b"<!doctype html><html><body>502</body></html>", 0)
    yield Variant("a control character", YAML.replace("ready", "re\x07ady", 1).encode(), 0)
    for share in (0.2, 0.35, 0.5, 0.65, 0.8):
        cut = YAML[: int(len(YAML) * share)]
        yield Variant(f"cut at {share}", (cut.rstrip() + "\n          x").encode(), 0)
    for nth, old in enumerate(("w01:", "w03:", "w05:", "w07:", "w09:", "w11:"), 1):
        # Without the first colon, the name and the next line up to its colon become one text.
        yield edit(f"a colon lost after host {nth}", old, old[:-1], 1 if nth == 1 else 0)
    yield edit("a key twice", "bay: 0", "bay: 0\n          bay: 1", 1)
    yield edit("all twice", "all:", "all: {}\nall:", 1)
    half = yaml.safe_dump({"all": {"children": {"room_a": tree()["all"]["children"]["room_a"]}}})  # type: ignore[index]
    yield Variant("a room's group lost: a valid smaller file", half.encode(), None)
    yield Variant("every port moved: all is valid", YAML.replace("_port: 200", "_port: 210").encode(), None)
    yield Variant("all set to draining: a valid state", YAML.replace("ready", "draining").encode(), None)
    yield Variant("a room renamed: a valid name", YAML.replace("room: room-a", "room: room-z").encode(), None)
    yield Variant("all of a group at one port's host: valid names", YAML.replace(
        "127.0.0.1", "127.0.0.2").encode(), None)  # fmt: skip


def damaged(kind: Callable[[], Iterator[Variant]]) -> list[Variant]:
    """Return all distinct variants."""
    found = list({v.data: v for v in kind()}.values())
    assert len(found) >= 100
    return found
