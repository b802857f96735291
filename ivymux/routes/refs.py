"""Resolves references within a description and to other files in its folder; nothing is fetched."""

from __future__ import annotations

import posixpath
import re
from collections.abc import Callable, Iterator
from hashlib import sha256
from typing import Any
from urllib.parse import unquote

from ivymux.routes.model import Findings
from ivymux.text import MAX_BYTES, TextError, parse

MAX_FILES = 200
MAX_HOPS = 32  # references in a chain, each of which leads to the next
SCHEME = re.compile(r"[A-Za-z][A-Za-z0-9+.-]*:")
# Keys whose values are data, in which `$ref` is not a reference.
DATA_KEYWORDS = frozenset(("example", "examples", "default", "enum", "const"))
ReadFile = Callable[[str], bytes]  # takes a path relative to the description's folder; raises OSError


class RefError(ValueError):
    """A reference that cannot be resolved."""


class Documents:
    """The files of one description, each read and parsed once."""

    def __init__(self, read: ReadFile) -> None:
        self.read = read
        self.values: dict[str, Any] = {}  # parsed, by file name
        self.digests: dict[str, str] = {}  # SHA-256 in hex, by file name
        self.size = 0  # bytes of all files

    def load(self, name: str) -> Any:
        """Read and parse a file, once.  Raises RefError, TextError."""
        if name not in self.values:
            if len(self.values) >= MAX_FILES:
                raise RefError(f"more than {MAX_FILES} files")
            try:
                data = self.read(name)
            except OSError as error:
                raise RefError(f"cannot read {name}: {error.strerror or error}") from None
            self.size += len(data)
            if self.size > MAX_BYTES:
                raise RefError(f"the files are larger than {MAX_BYTES >> 20} MiB together")
            self.digests[name] = sha256(data).hexdigest()
            try:
                self.values[name] = parse(data)
            except TextError as error:
                raise TextError(f"{name}: {error}") from None
        return self.values[name]

    def follow(self, file: str, ref: str) -> tuple[str, str, Any]:
        """Return the file, JSON pointer and value that a reference leads to.  Raises RefError, TextError."""
        target, _, fragment = ref.partition("#")
        if SCHEME.match(target) or target.startswith("//"):
            raise RefError(f"{ref[:120]!r} is remote and is not fetched; put the file next to this one")
        name = file
        if target:
            name = posixpath.normpath(posixpath.join(posixpath.dirname(file), unquote(target)))
            if name.startswith(("../", "/")) or name == ".." or "\0" in name or "\\" in name:
                raise RefError(f"{ref[:120]!r} points outside the description's folder")
        value = self.load(name)
        fragment = unquote(fragment)
        if fragment and not fragment.startswith("/"):
            raise RefError(f"{ref[:120]!r} is not a JSON pointer")
        for part in fragment.split("/")[1:]:
            part = part.replace("~1", "/").replace("~0", "~")
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdecimal() and int(part) < len(value):
                value = value[int(part)]
            else:
                raise RefError(f"{ref[:120]!r} has no target")
        return name, fragment, value

    def resolve(self, file: str, pointer: str, value: Any) -> tuple[str, str, Any]:
        """Follow references until they lead to another value; return that value's file, pointer and itself.

        Raises RefError, TextError.
        """
        seen: set[tuple[str, str]] = set()
        while isinstance(value, dict) and isinstance(value.get("$ref"), str):
            if (file, pointer) in seen or len(seen) > MAX_HOPS:
                raise RefError("a circular reference")
            seen.add((file, pointer))
            file, pointer, value = self.follow(file, value["$ref"])
        return file, pointer, value


def escape_pointer_part(part: str) -> str:
    """Escape one part of a JSON pointer (RFC 6901)."""
    return part.replace("~", "~0").replace("/", "~1")


def iterate_references(value: Any) -> Iterator[tuple[str, str]]:
    """Yield the JSON pointer and the text of every reference in a document."""
    # A pointer is kept as a linked list of parts and formatted only for references.
    stack: list[tuple[Any, Any, bool]] = [(value, None, False)]
    while stack:
        node, pointer, keys_are_names = stack.pop()
        if isinstance(node, dict):
            ref = node.get("$ref")
            if isinstance(ref, str) and not keys_are_names:
                yield format_pointer(pointer), ref
            for key, inner in node.items():
                if isinstance(inner, dict | list) and (keys_are_names or not holds_data(key)):
                    stack.append(
                        (inner, (pointer, key), not keys_are_names and key in ("properties", "schemas"))
                    )
        else:
            for index, inner in enumerate(node):
                if isinstance(inner, dict | list):
                    stack.append((inner, (pointer, index), False))


def holds_data(key: str) -> bool:
    """Whether the value of a key is data, so that a `$ref` in it is not a reference."""
    return key in DATA_KEYWORDS or key.startswith("x-")


def format_pointer(pointer: Any) -> str:
    """Format a linked list of parts as a JSON pointer."""
    parts: list[str] = []
    while pointer is not None:
        pointer, part = pointer
        parts.append(escape_pointer_part(str(part)))
    return "".join("/" + part for part in reversed(parts))


def check_references(documents: Documents, first: str, findings: Findings) -> None:
    """Check that every reference of every file resolves, also in schemas, which are not used for routing."""
    checked: set[str] = set()
    known: set[tuple[str, str]] = set()
    while unchecked := [name for name in documents.values if name not in checked]:
        for name in unchecked:
            checked.add(name)
            for pointer, ref in iterate_references(documents.values[name]):
                if (name, ref) not in known:
                    known.add((name, ref))
                    try:
                        documents.follow(name, ref)
                    except (RefError, TextError) as error:
                        findings.error(name, pointer, str(error))
