"""Parses JSON and YAML into plain values, with limits on nesting and on the size of expanded aliases."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import yaml

MAX_BYTES = 64 << 20  # of one file
MAX_DEPTH = 200  # levels of nesting
MAX_NODES = 6_000_000  # after expansion of aliases
# YAML 1.2 has no other booleans.
BOOLEANS = {"true": True, "True": True, "TRUE": True, "false": False, "False": False, "FALSE": False}


class TextError(ValueError):
    """Invalid text.  The message begins with line and column if they are known."""

    def __init__(self, text: str, line: int = 0, column: int = 0) -> None:
        super().__init__(f"line {line}, column {column}: {text}" if line else text)
        self.problem, self.line, self.column = text, line, column


class JsonSyntaxError(TextError):
    """The text is not JSON; it may be YAML, which can begin with a brace or bracket too."""


def unique_pairs(items: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object.  Raises TextError for a key that occurs twice."""
    mapping = dict(items)
    if len(mapping) != len(items):
        seen: set[str] = set()
        for key, _ in items:
            if key in seen:
                raise TextError(f"duplicate key {key[:80]!r} in an object")
            seen.add(key)
    return mapping


def reject_constant(name: str) -> Any:
    """Refuse NaN and Infinity, which Python's JSON parser accepts.  Raises TextError."""
    raise TextError(f"{name} is not a JSON number")


def parse_json(text: str) -> Any:
    """Parse JSON.  Raises JsonSyntaxError, and TextError for JSON that is not accepted."""
    try:
        value = json.loads(text, object_pairs_hook=unique_pairs, parse_constant=reject_constant)
    except json.JSONDecodeError as error:
        raise JsonSyntaxError(error.msg, error.lineno, error.colno) from None
    except RecursionError:
        raise TextError("nested too deeply") from None
    except ValueError as error:
        raise error if isinstance(error, TextError) else TextError(str(error)) from None
    return value


class Loader(yaml.CSafeLoader):
    """YAML with the types of JSON (YAML 1.2 core schema): no dates, and yes, no, on and off are strings."""

    yaml_implicit_resolvers = {  # noqa: RUF012  # PyYAML requires a class attribute
        first: [(tag, regexp) for tag, regexp in found if tag.rsplit(":", 1)[1] in ("null", "int", "float")]
        for first, found in yaml.CSafeLoader.yaml_implicit_resolvers.items()
    }

    def flatten_mapping(self, node: yaml.MappingNode) -> None:
        """Treat `<<` as a plain key.

        YAML 1.2 has no merge keys, and a merged setting is easily overlooked by a reader of the file.
        """


def construct_mapping(loader: Loader, node: yaml.MappingNode) -> dict[str, Any]:
    """Build a mapping.  Raises TextError for a key that is not plain text or occurs twice."""
    mapping: dict[str, Any] = {}
    for key_node, value_node in node.value:
        key = key_node.value if isinstance(key_node, yaml.ScalarNode) else None
        mark = key_node.start_mark
        if key is None:
            raise TextError("a key is not plain text", mark.line + 1, mark.column + 1)
        if key in mapping:
            raise TextError(f"duplicate key {key[:80]!r}", mark.line + 1, mark.column + 1)
        mapping[key] = loader.construct_object(value_node, deep=True)
    return mapping


def construct_scalar(loader: Loader, node: yaml.ScalarNode) -> Any:
    """Build a string, or a boolean from an unquoted scalar in BOOLEANS."""
    if not node.style and node.value in BOOLEANS:
        return BOOLEANS[node.value]
    return loader.construct_scalar(node)


Loader.add_constructor("tag:yaml.org,2002:map", construct_mapping)
Loader.add_constructor("tag:yaml.org,2002:str", construct_scalar)


def check_expanded_size(root: yaml.Node) -> None:
    """Check the size of the values that aliases expand to, before the values are constructed.

    Raises TextError if they exceed the limits, or if an alias contains itself.
    """
    sizes: dict[int, int] = {}
    depths: dict[int, int] = {}
    open_nodes: set[int] = set()
    stack: list[tuple[yaml.Node, bool]] = [(root, False)]
    while stack:
        node, done = stack.pop()
        children: list[yaml.Node] = []
        if isinstance(node, yaml.MappingNode):
            children = [part for pair in node.value for part in pair]
        elif isinstance(node, yaml.SequenceNode):
            children = node.value
        mark = node.start_mark
        if done:
            open_nodes.discard(id(node))
            sizes[id(node)] = 1 + sum(sizes[id(child)] for child in children)
            depths[id(node)] = 1 + max((depths[id(child)] for child in children), default=0)
            if sizes[id(node)] > MAX_NODES or depths[id(node)] > MAX_DEPTH:
                raise TextError("too large after expansion of aliases", mark.line + 1, mark.column + 1)
        elif id(node) in open_nodes:
            raise TextError("an alias contains itself", mark.line + 1, mark.column + 1)
        elif id(node) not in sizes:
            if not children:
                sizes[id(node)] = depths[id(node)] = 1
                continue
            open_nodes.add(id(node))
            stack.append((node, True))
            for child in children:
                if id(child) in open_nodes:
                    raise TextError("an alias contains itself", mark.line + 1, mark.column + 1)
                if id(child) not in sizes:
                    stack.append((child, False))


def check_nesting(text: str) -> None:
    """Check the depth and the size of a document.  Raises TextError.

    This uses the events of the parser, because the composition of nodes recurses at each level of nesting.
    """
    depth = 0
    for count, event in enumerate(yaml.parse(text, Loader=Loader)):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > MAX_DEPTH:
                mark = event.start_mark
                raise TextError(
                    "nested too deeply", mark.line + 1 if mark else 0, mark.column + 1 if mark else 0
                )
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if count > MAX_NODES:
            raise TextError("too large")


def parse_yaml(text: str) -> Any:
    """Parse YAML.  Raises TextError."""
    return load_yaml(text, lambda loader, root: loader.construct_document(root))


def compose_yaml(data: bytes) -> yaml.Node | None:
    """Parse YAML into nodes, which have positions; return None for an empty file.  Raises TextError.

    Keys must be plain text, and unique in their mapping.
    """
    if len(data) > MAX_BYTES:
        raise TextError(f"larger than {MAX_BYTES >> 20} MiB")
    text = decode(data)
    if not text.strip():
        return None
    root: yaml.Node = load_yaml(text, lambda loader, root: root)
    check_keys(root)
    return root


def check_keys(root: yaml.Node) -> None:
    """Check that all keys are plain text and unique in their mapping.  Raises TextError."""
    stack, seen = [root], {id(root)}
    while stack:
        node = stack.pop()
        children: list[yaml.Node] = []
        if isinstance(node, yaml.MappingNode):
            keys: set[str] = set()
            for key, value in node.value:
                mark = key.start_mark
                if not isinstance(key, yaml.ScalarNode):
                    raise TextError("a key is not plain text", mark.line + 1, mark.column + 1)
                if key.value in keys:
                    text = f"duplicate key {key.value[:80]!r}"
                    raise TextError(text, mark.line + 1, mark.column + 1)
                keys.add(key.value)
                children.append(value)
        elif isinstance(node, yaml.SequenceNode):
            children = node.value
        for child in children:
            if id(child) not in seen:
                seen.add(id(child))
                stack.append(child)


def load_yaml(text: str, convert: Callable[[Loader, yaml.Node], Any]) -> Any:
    """Parse a text of one YAML document within the limits, and convert its root node.  Raises TextError."""
    try:
        check_nesting(text)
        loader = Loader(text)
        try:
            root = loader.get_single_node()
            if root is None:
                raise TextError("the file is empty")
            check_expanded_size(root)
            return convert(loader, root)
        finally:
            loader.dispose()
    except yaml.MarkedYAMLError as error:
        # An unclosed quote or key is detected lines later, so the position of its start is reported.
        scanning = str(error.context or "").startswith("while scanning")
        mark = error.context_mark if scanning and error.context_mark else error.problem_mark
        problem = " ".join(str(error.problem or "not YAML").split())
        raise TextError(problem, mark.line + 1 if mark else 0, mark.column + 1 if mark else 0) from None
    except yaml.YAMLError as error:
        raise TextError(" ".join(str(error).split())[:200]) from None
    except (RecursionError, OverflowError):
        raise TextError("nested too deeply") from None
    except ValueError as error:
        raise error if isinstance(error, TextError) else TextError(str(error)) from None


def decode(data: bytes) -> str:
    """Decode UTF-8, with or without a byte order mark.  Raises TextError with the position of an error."""
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - (data.rfind(b"\n", 0, error.start) + 1) + 1
        raise TextError("not UTF-8", line, column) from None


def parse(data: bytes) -> Any:
    """Parse a JSON or YAML text in UTF-8, with or without a byte order mark.  Raises TextError."""
    if len(data) > MAX_BYTES:
        raise TextError(f"larger than {MAX_BYTES >> 20} MiB")
    text = decode(data)
    if text.lstrip()[:1] in ("{", "["):
        try:
            return parse_json(text)
        except JsonSyntaxError:
            if len(data) > 1 << 20:
                raise  # YAML in flow style may begin like JSON, but files of this size are JSON
            try:
                return parse_yaml(text)
            except TextError:
                pass
            raise
    return parse_yaml(text)
