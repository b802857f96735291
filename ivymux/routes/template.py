"""Parses path templates and matches the segments of a target against them."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

MAX_PARAMETERS = 8  # in one segment
MAX_SEGMENTS = 64


class TemplateError(ValueError):
    """A template that no target could match, or that is ambiguous."""


@dataclass(slots=True, frozen=True)
class Segment:
    """One segment of a template: literals with parameters between them.

    `literals` has one entry more than `names`.  A literal segment has no parameters; a segment that is one
    parameter has two empty literals.
    """

    literals: tuple[str, ...]
    names: tuple[str, ...]

    @property
    def literal(self) -> str | None:
        """The text of a segment without parameters; None if it has parameters."""
        return self.literals[0] if not self.names else None

    @property
    def is_parameter(self) -> bool:
        """Whether the segment is one parameter and nothing else."""
        return len(self.names) == 1 and not any(self.literals)

    def match(self, text: str) -> tuple[str, ...] | None:
        """Return the parameters' values, each at least one character; None if the text does not match.

        Each literal is searched for from the left, so the time is linear in the length of the text.  This
        finds a match whenever there is one.
        """
        first, *middle, last = self.literals
        if len(text) < len(first) + len(last) or not (text.startswith(first) and text.endswith(last)):
            return None
        position, end = len(first), len(text) - len(last)
        values = []
        for literal in middle:
            next_position = text.find(literal, position + 1, end)
            if next_position < 0:
                return None
            values.append(text[position:next_position])
            position = next_position + len(literal)
        if end <= position:
            return None
        values.append(text[position:end])
        return tuple(values)


def decode_literal(text: str) -> str:
    """Percent-decode a literal, as targets are compared with it.

    Raises TemplateError if it contains what no valid target can contain.
    """
    try:
        decoded = unquote_to_bytes(text).decode("utf-8")
    except UnicodeDecodeError:
        raise TemplateError(f"{text!r} is not UTF-8 after decoding") from None
    if any(c in "/\\;?#" or ord(c) < 32 or ord(c) == 127 for c in decoded):
        raise TemplateError(f"{text!r} contains a character that is not served in targets")
    return decoded


def parse_segment(text: str) -> Segment:
    """Parse one segment of a template.  Raises TemplateError."""
    literals: list[str] = []
    names: list[str] = []
    rest = text
    while (opening := rest.find("{")) >= 0:
        closing = rest.find("}", opening)
        if closing < 0:
            raise TemplateError(f"{text!r} has an opening brace without a closing one")
        name = rest[opening + 1 : closing]
        if not name or "{" in name:
            raise TemplateError(f"{text!r} has a parameter without a name")
        if names and not opening:
            raise TemplateError(f"{text!r} has two parameters with nothing between them")
        literals.append(decode_literal(rest[:opening]))
        names.append(name)
        rest = rest[closing + 1 :]
    if "}" in rest or any("}" in literal for literal in literals):
        raise TemplateError(f"{text!r} has a closing brace without an opening one")
    if len(names) > MAX_PARAMETERS:
        raise TemplateError(f"{text!r} has more than {MAX_PARAMETERS} parameters")
    literals.append(decode_literal(rest))
    return Segment(tuple(literals), tuple(names))


def parse_template(path: str) -> tuple[Segment, ...]:
    """Parse a path template into its segments.  Raises TemplateError."""
    if not path.startswith("/"):
        raise TemplateError("a path must begin with a slash")
    segments = tuple(parse_segment(part) for part in path[1:].split("/"))
    if len(segments) > MAX_SEGMENTS:
        raise TemplateError(f"more than {MAX_SEGMENTS} segments")
    for index, segment in enumerate(segments):
        if segment.literal in (".", ".."):
            raise TemplateError("a dot segment: targets with one are not served")
        if segment.literal == "" and index < len(segments) - 1:
            raise TemplateError("an empty segment (doubled slash): targets with one are not served")
    names = [name for segment in segments for name in segment.names]
    if len(set(names)) != len(names):
        raise TemplateError("duplicate parameter name")
    return segments
