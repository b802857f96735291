"""CSV as spreadsheets write it (RFC 4180 and what is met beside it) as an inventory."""

from __future__ import annotations

import csv
import io
import re

from ivymux.inventory.model import (
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
    mangled,
)  # fmt: skip

MAX_BYTES = 16 << 20
MAX_COLUMNS = 200
MAX_CELL = 4096
ALIASES = {
    "name": "name host-id server worker id hostname node",
    "address": "address ip addr ip-address host ipaddress endpoint dial",
    "port": "port tcp-port",
    "room": "room zone site rack-room location",
    "bay": "bay block cell rack group",
    "kind": "kind type class model machine",
    "weight": "weight share",
    "state": "state status health",
}
HEADERS = {alias: field for field, aliases in ALIASES.items() for alias in aliases.split()}
TRAILER = re.compile(r"#?\s*(end|count|total|rows)\s*[:=]?\s*(\d{1,9})\s*(workers|rows)?\s*", re.I | re.ASCII)


def column_name(number: int) -> str:
    """A column as a spreadsheet names it, from 1."""
    made = ""
    while number:
        number, rest = divmod(number - 1, 26)
        made = chr(65 + rest) + made
    return made


def text_of(data: bytes, findings: Findings) -> str | None:
    """The text of a sheet in UTF-8 or UTF-16; None where it is neither, which is found."""
    if len(data) > MAX_BYTES:
        findings.error(0, 0, f"larger than {MAX_BYTES >> 20} MiB")
        return None
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        encoding = "utf-16"
    elif data[:4].count(b"\0") == 2:
        encoding = "utf-16-le" if data[1:2] == b"\0" else "utf-16-be"
    else:
        encoding = "utf-8-sig"
    try:
        text = data.decode(encoding)
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        findings.error(line, 0, f"not {encoding[:6].upper()}: save the sheet as CSV UTF-8")
        return None
    if "\0" in text:
        findings.error(text.count("\n", 0, text.index("\0")) + 1, 0, "a NUL character: the file is damaged")
        return None
    if "\ufffd" in text:
        at = text.index("\ufffd")
        findings.error(text.count("\n", 0, at) + 1, 0, "a character was lost when the file was saved")
        return None
    return text


def delimiter(text: str) -> str:
    """What parts the cells: the one that the first line of cells has most of, outside quotes."""
    for line in text.splitlines():
        bare = re.sub(r'"[^"]*"', "", line)
        if bare.strip(" ,;\t") and not bare.lstrip().startswith("#"):
            counts = {mark: bare.count(mark) for mark in (",", ";", "\t")}
            best = max(counts, key=lambda mark: counts[mark])
            return best if counts[best] else ","
    return ","


def header_of(cells: list[str], line: int, findings: Findings) -> dict[int, str] | None:
    """Which field each column holds."""
    fields: dict[int, str] = {}
    for number, cell in enumerate(cells, 1):
        folded = re.sub(r"[\s_]+", "-", cell.strip().casefold())
        if not folded:
            continue
        field = HEADERS.get(folded)
        if field is None:
            continue  # a column of the volunteers' own: notes, a telephone number
        if field in fields.values():
            findings.error(line, number, f"two columns hold the {field}; rename or remove one")
        fields[number] = field
    known = set(fields.values())
    if "name" not in known or "address" not in known:
        if "address" in known or "name" in known:
            lacking = "name" if "name" not in known else "address"
            findings.error(line, 0, f"the header has no column for the {lacking}")
        else:
            findings.error(line, 0, "the first row is no header: it needs at least name and address")
        return None
    return fields


def read_sheet(data: bytes, file: str, own: Own = ()) -> Reading:
    """A sheet as an inventory.  Raises InventoryError with every finding."""
    findings = Findings(file)
    text = text_of(data, findings)
    if text is None:
        raise InventoryError(findings.kept)
    if text.startswith("sep=") and len(text) > 4:  # a spreadsheet's own first line
        mark, _, text = text[4], *text.partition("\n")[1:]
        text = "\n" + text
    else:
        mark = delimiter(text)
    rows = sheet_rows(text, mark, findings)
    workers = read_rows(rows, findings)
    if text and not text.endswith(("\n", "\r")) and not any(row for _, row in rows[-1:] if is_trailer(row)):
        findings.warning(text.count("\n") + 1, 0, "the last line does not end; it may have been cut")
    inventory = gather(workers, findings, own)
    counted = any(is_trailer(row) for _, row in rows[1:])
    shape = Shape(tuple(w.name for w, _ in workers), counted, text.endswith(("\n", "\r")))
    return Reading(inventory, list(findings.kept), shape)


def sheet_rows(text: str, mark: str, findings: Findings) -> list[tuple[int, list[str]]]:
    """Rows with the line that each begins in."""
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=mark, strict=True)
    rows: list[tuple[int, list[str]]] = []
    began = 1
    try:
        for row in reader:
            rows.append((began, row))
            began = reader.line_num + 1
    except csv.Error as error:
        told = "a quote that is not closed, or text behind one" if "quote" in str(error) or "expected" in str(
            error) or "end of data" in str(error) else str(error)  # fmt: skip
        findings.error(began, 0, told)
    return rows


def is_trailer(row: list[str]) -> bool:
    return bool(TRAILER.fullmatch(" ".join(cell for cell in row if cell.strip()).strip()))


def read_rows(rows: list[tuple[int, list[str]]], findings: Findings) -> list[tuple[Worker, Place]]:
    fields: dict[int, str] | None = None
    header_line, found = 0, list[tuple[Worker, Place]]()
    told: int | None = None
    listed = 0
    for line, row in rows:
        if not any(cell.strip(" \t\u00a0") for cell in row):
            continue
        joined = " ".join(cell for cell in row if cell.strip()).strip()
        if (trailer := TRAILER.fullmatch(joined)) and fields is not None:
            told = int(trailer[2])
            continue
        if row[0].lstrip().startswith("#") and mangled(row[0]) is None:
            continue  # a note; a spreadsheet's error begins with the same mark
        if told is not None:
            findings.error(line, 0, "a row behind the row with the count")
            break
        if len(row) > MAX_COLUMNS:
            findings.error(line, 0, f"more than {MAX_COLUMNS} columns")
            continue
        if fields is None:
            fields, header_line = header_of(row, line, findings), line
            if fields is None:
                break
            width = len(row)
            continue
        if looks_like_header(row):
            findings.error(line, 0, f"a second header; the first is in line {header_line}")
            continue
        listed += 1
        if worker := read_row(row, line, fields, width, findings):
            found.append((worker, Place(line, 0)))
    if told is not None and told != listed and fields is not None:
        findings.error(0, 0, f"the last row counts {told} workers, {listed} rows stand above it: it was cut")
    return found


def looks_like_header(row: list[str]) -> bool:
    folded = {HEADERS.get(re.sub(r"[\s_]+", "-", cell.strip().casefold())) for cell in row}
    return {"name", "address"} <= folded


def read_row(
    row: list[str], line: int, fields: dict[int, str], width: int, findings: Findings
) -> Worker | None:
    if any(cell.strip() for cell in row[width:]):
        findings.error(
            line, width + 1, f"more cells than the header has: a cell with the mark in it? ({width})"
        )
        return None
    values: dict[str, Cell] = {}
    for number, cell in enumerate(row, 1):
        field = fields.get(number)
        if len(cell) > MAX_CELL:
            findings.error(
                line, number, f"column {column_name(number)} holds more than {MAX_CELL} characters"
            )
            return None
        if field is not None:
            values[field] = Cell(cell, Place(line, number))
    if len(row) < max(n for n, f in fields.items() if f in ("name", "address")):
        findings.error(line, len(row), "fewer cells than the header needs: the row was cut")
        return None
    return make_worker(values, Place(line, 0), findings)


def write_sheet(inventory: Inventory) -> bytes:
    """An inventory as a sheet, with its count in the last row."""
    out = io.StringIO(newline="")
    writer = csv.writer(out)
    writer.writerow(("name", "address", "port", "room", "bay", "kind", "weight", "state"))
    for w in inventory.workers:
        writer.writerow((w.name, w.host, w.port, w.room, w.bay, w.kind, f"{w.weight:g}", w.state))
    writer.writerow((f"# end {len(inventory.workers)}",))
    return out.getvalue().encode()
