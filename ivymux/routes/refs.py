"""References within a description and to files beside it.  Nothing is fetched, nothing leaves the folder."""

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
MAX_HOPS = 32  # references one behind another
SCHEME = re.compile(r"[A-Za-z][A-Za-z0-9+.-]*:")
LITERAL = frozenset(("example", "examples", "default", "enum", "const"))  # hold data, not references
Read = Callable[[str], bytes]  # a file's bytes, by its path from the description's folder; raises OSError


class RefError(ValueError):
    """A reference that can't be followed."""


class Documents:
    """The files of one description, each read and parsed once."""

    def __init__(self, read: Read) -> None:
        self.read = read
        self.values: dict[str, Any] = {}
        self.digests: dict[str, str] = {}
        self.size = 0

    def load(self, name: str) -> Any:
        """The value of a file.  Raises RefError, TextError."""
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
        """Where a reference in a file leads: file, pointer and value.  Raises RefError, TextError."""
        target, _, fragment = ref.partition("#")
        if SCHEME.match(target) or target.startswith("//"):
            raise RefError(f"{ref[:120]!r} is remote: nothing is fetched; put the file beside this one")
        name = file
        if target:
            name = posixpath.normpath(posixpath.join(posixpath.dirname(file), unquote(target)))
            if name.startswith(("../", "/")) or name == ".." or "\0" in name or "\\" in name:
                raise RefError(f"{ref[:120]!r} leads out of the description's folder")
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
                raise RefError(f"{ref[:120]!r} leads nowhere")
        return name, fragment, value

    def resolve(self, file: str, place: str, value: Any) -> tuple[str, str, Any]:
        """A value, or what it refers to in the end.  Raises RefError, TextError."""
        seen: set[tuple[str, str]] = set()
        while isinstance(value, dict) and isinstance(value.get("$ref"), str):
            if (file, place) in seen or len(seen) > MAX_HOPS:
                raise RefError("a reference that leads back to itself")
            seen.add((file, place))
            file, place, value = self.follow(file, value["$ref"])
        return file, place, value


def escape(part: str) -> str:
    """One part of a JSON pointer (RFC 6901)."""
    return part.replace("~", "~0").replace("/", "~1")


def references(value: Any) -> Iterator[tuple[str, str]]:
    """Place and text of every reference in a document."""
    # A place is kept as its parent's and its last part, and written out only where it is asked for.
    stack: list[tuple[Any, Any, bool]] = [(value, None, False)]
    while stack:
        at, place, named = stack.pop()
        if isinstance(at, dict):
            ref = at.get("$ref")
            if isinstance(ref, str) and not named:
                yield written(place), ref
            for key, inner in at.items():
                if isinstance(inner, dict | list) and (named or not is_data(key)):
                    stack.append((inner, (place, key), not named and key in ("properties", "schemas")))
        else:
            for number, inner in enumerate(at):
                if isinstance(inner, dict | list):
                    stack.append((inner, (place, number), False))


def is_data(key: str) -> bool:
    return key in LITERAL or key.startswith("x-")


def written(place: Any) -> str:
    parts: list[str] = []
    while place is not None:
        place, part = place
        parts.append(escape(str(part)))
    return "".join("/" + part for part in reversed(parts))


def check_references(documents: Documents, first: str, findings: Findings) -> None:
    """Follow every reference of every file once, also those of schemas, which are not looked at further."""
    checked: set[str] = set()
    known: set[tuple[str, str]] = set()
    while waiting := [name for name in documents.values if name not in checked]:
        for name in waiting:
            checked.add(name)
            for place, ref in references(documents.values[name]):
                if (name, ref) not in known:
                    known.add((name, ref))
                    try:
                        documents.follow(name, ref)
                    except (RefError, TextError) as error:
                        findings.error(name, place, str(error))
