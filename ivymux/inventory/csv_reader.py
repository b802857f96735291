"""Reads an inventory from CSV as spreadsheets export it (RFC 4180 and its common variants)."""

from __future__ import annotations

import csv
import io
import re

from ivymux.inventory.model import (
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
    spreadsheet_damage,
)  # fmt: skip

MAX_BYTES = 16 << 20  # of one file
MAX_COLUMNS = 200
MAX_CELL = 4096  # characters
# The header names that are accepted for each field, in the form that `parse_header` folds them to.
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
# The last row, which states the number of workers, such as "# end 12".
TRAILER = re.compile(r"#?\s*(end|count|total|rows)\s*[:=]?\s*(\d{1,9})\s*(workers|rows)?\s*", re.I | re.ASCII)


def column_name(number: int) -> str:
    """Return a column's name in a spreadsheet; `number` counts from 1."""
    name = ""
    while number:
        number, rest = divmod(number - 1, 26)
        name = chr(65 + rest) + name
    return name


def decode_text(data: bytes, findings: Findings) -> str | None:
    """Decode a file in UTF-8 or UTF-16; add a finding and return None if it is neither."""
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


def detect_delimiter(text: str) -> str:
    """Return the delimiter that occurs most often outside quotes in the first line with cells."""
    for line in text.splitlines():
        unquoted = re.sub(r'"[^"]*"', "", line)
        if unquoted.strip(" ,;\t") and not unquoted.lstrip().startswith("#"):
            counts = {mark: unquoted.count(mark) for mark in (",", ";", "\t")}
            best = max(counts, key=lambda mark: counts[mark])
            return best if counts[best] else ","
    return ","


def parse_header(cells: list[str], line: int, findings: Findings) -> dict[int, str] | None:
    """Return the field of each column by the header; None, with a finding, if it lacks a required one."""
    fields: dict[int, str] = {}
    for column, cell in enumerate(cells, 1):
        folded = re.sub(r"[\s_]+", "-", cell.strip().casefold())
        if not folded:
            continue
        field = HEADERS.get(folded)
        if field is None:
            continue  # columns for other purposes are allowed, such as notes or a telephone number
        if field in fields.values():
            findings.error(line, column, f"two columns for the {field}; rename or remove one")
        fields[column] = field
    known = set(fields.values())
    if "name" not in known or "address" not in known:
        if "address" in known or "name" in known:
            lacking = "name" if "name" not in known else "address"
            findings.error(line, 0, f"the header has no column for the {lacking}")
        else:
            findings.error(line, 0, "the first row is not a header: it needs at least name and address")
        return None
    return fields


def read_csv(data: bytes, file: str, gateway_addresses: GatewayAddresses = ()) -> ParsedInventory:
    """Read an inventory from CSV.  Raises InventoryError with all findings."""
    findings = Findings(file)
    text = decode_text(data, findings)
    if text is None:
        raise InventoryError(findings.kept)
    if text.startswith("sep=") and len(text) > 4:  # a line by which some spreadsheets declare the delimiter
        delimiter, _, text = text[4], *text.partition("\n")[1:]
        text = "\n" + text
    else:
        delimiter = detect_delimiter(text)
    rows = split_rows(text, delimiter, findings)
    workers = parse_rows(rows, findings)
    if text and not text.endswith(("\n", "\r")) and not any(row for _, row in rows[-1:] if is_trailer(row)):
        findings.warning(text.count("\n") + 1, 0, "the last line has no line end; the file may be truncated")
    inventory = build_inventory(workers, findings, gateway_addresses)
    counted = any(is_trailer(row) for _, row in rows[1:])
    shape = FileShape(tuple(w.name for w, _ in workers), counted, text.endswith(("\n", "\r")))
    return ParsedInventory(inventory, list(findings.kept), shape)


def split_rows(text: str, delimiter: str, findings: Findings) -> list[tuple[int, list[str]]]:
    """Split the text into rows, each with the number of its first line."""
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    rows: list[tuple[int, list[str]]] = []
    first_line = 1
    try:
        for row in reader:
            rows.append((first_line, row))
            first_line = reader.line_num + 1
    except csv.Error as error:
        message = (
            "an unclosed quote, or text after a closing quote"
            if "quote" in str(error) or "expected" in str(error) or "end of data" in str(error)
            else str(error)
        )
        findings.error(first_line, 0, message)
    return rows


def is_trailer(row: list[str]) -> bool:
    """Whether a row states the number of workers."""
    return bool(TRAILER.fullmatch(" ".join(cell for cell in row if cell.strip()).strip()))


def parse_rows(rows: list[tuple[int, list[str]]], findings: Findings) -> list[tuple[Worker, Position]]:
    """Parse the header, the workers and the trailer; errors become findings."""
    fields: dict[int, str] | None = None
    header_line, workers = 0, list[tuple[Worker, Position]]()
    stated_count: int | None = None
    row_count = 0
    for line, row in rows:
        if not any(cell.strip(" \t\u00a0") for cell in row):
            continue
        joined = " ".join(cell for cell in row if cell.strip()).strip()
        if (trailer := TRAILER.fullmatch(joined)) and fields is not None:
            stated_count = int(trailer[2])
            continue
        if row[0].lstrip().startswith("#") and spreadsheet_damage(row[0]) is None:
            continue  # a comment; spreadsheet errors such as #REF! begin with the same character
        if stated_count is not None:
            findings.error(line, 0, "a row after the row with the count")
            break
        if len(row) > MAX_COLUMNS:
            findings.error(line, 0, f"more than {MAX_COLUMNS} columns")
            continue
        if fields is None:
            fields, header_line = parse_header(row, line, findings), line
            if fields is None:
                break
            width = len(row)
            continue
        if looks_like_header(row):
            findings.error(line, 0, f"a second header; the first is in line {header_line}")
            continue
        row_count += 1
        if worker := parse_row(row, line, fields, width, findings):
            workers.append((worker, Position(line, 0)))
    if stated_count is not None and stated_count != row_count and fields is not None:
        findings.error(
            0,
            0,
            f"the last row states {stated_count} workers, but {row_count} precede it: the file is truncated",
        )
    return workers


def looks_like_header(row: list[str]) -> bool:
    """Whether a row has the names of the required columns."""
    folded = {HEADERS.get(re.sub(r"[\s_]+", "-", cell.strip().casefold())) for cell in row}
    return {"name", "address"} <= folded


def parse_row(
    row: list[str], line: int, fields: dict[int, str], width: int, findings: Findings
) -> Worker | None:
    """Parse a worker; `width` is the number of the header's cells.  Errors become findings."""
    if any(cell.strip() for cell in row[width:]):
        findings.error(
            line, width + 1, f"more cells than the header has ({width}): is there a delimiter in a cell?"
        )
        return None
    values: dict[str, SourceValue] = {}
    for column, cell in enumerate(row, 1):
        field = fields.get(column)
        if len(cell) > MAX_CELL:
            findings.error(line, column, f"column {column_name(column)} has more than {MAX_CELL} characters")
            return None
        if field is not None:
            values[field] = SourceValue(cell, Position(line, column))
    if len(row) < max(n for n, f in fields.items() if f in ("name", "address")):
        findings.error(line, len(row), "fewer cells than the header requires: the row is truncated")
        return None
    return make_worker(values, Position(line, 0), findings)


def write_csv(inventory: Inventory) -> bytes:
    """Encode an inventory as CSV, with the number of workers in the last row."""
    out = io.StringIO(newline="")
    writer = csv.writer(out)
    writer.writerow(("name", "address", "port", "room", "bay", "kind", "weight", "state"))
    for w in inventory.workers:
        writer.writerow((w.name, w.host, w.port, w.room, w.bay, w.kind, f"{w.weight:g}", w.state))
    writer.writerow((f"# end {len(inventory.workers)}",))
    return out.getvalue().encode()
