"""Path templates: their segments, and which segment of a target fits which."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

MAX_PARAMETERS = 8  # in one segment
MAX_SEGMENTS = 64


class TemplateError(ValueError):
    """A template that no target could match, or that could be read in two ways."""


@dataclass(slots=True, frozen=True)
class Segment:
    """One part of a template: literals with parameters between them; `literals` has one more entry.

    A whole literal has no parameters; a whole parameter has two empty literals.
    """

    literals: tuple[str, ...]
    names: tuple[str, ...]

    @property
    def literal(self) -> str | None:
        return self.literals[0] if not self.names else None

    @property
    def whole(self) -> bool:
        """Whether it is one parameter and nothing else."""
        return len(self.names) == 1 and not any(self.literals)

    def values(self, text: str) -> tuple[str, ...] | None:
        """What the parameters hold where the segment fits, each at least one character.

        Each literal is looked for from the left, so the time is linear however many there are; that finds
        a fit wherever there is one.
        """
        first, *middle, last = self.literals
        if len(text) < len(first) + len(last) or not (text.startswith(first) and text.endswith(last)):
            return None
        at, end = len(first), len(text) - len(last)
        found = []
        for literal in middle:
            next_at = text.find(literal, at + 1, end)
            if next_at < 0:
                return None
            found.append(text[at:next_at])
            at = next_at + len(literal)
        if end <= at:
            return None
        found.append(text[at:end])
        return tuple(found)


def decoded(text: str) -> str:
    """A literal as targets are compared with it: percent-decoded, and nothing that a target may not hold."""
    try:
        plain = unquote_to_bytes(text).decode("utf-8")
    except UnicodeDecodeError:
        raise TemplateError(f"{text!r} is not UTF-8 once decoded") from None
    if any(c in "/\\;?#" or ord(c) < 32 or ord(c) == 127 for c in plain):
        raise TemplateError(f"{text!r} holds a character that no served target may hold")
    return plain


def parse_segment(text: str) -> Segment:
    literals: list[str] = []
    names: list[str] = []
    rest = text
    while (opened := rest.find("{")) >= 0:
        closed = rest.find("}", opened)
        if closed < 0:
            raise TemplateError(f"{text!r} has a brace that is not closed")
        name = rest[opened + 1 : closed]
        if not name or "{" in name:
            raise TemplateError(f"{text!r} has a parameter without a name")
        if names and not opened:
            raise TemplateError(f"{text!r} has two parameters with nothing between them")
        literals.append(decoded(rest[:opened]))
        names.append(name)
        rest = rest[closed + 1 :]
    if "}" in rest or any("}" in literal for literal in literals):
        raise TemplateError(f"{text!r} has a brace that was not opened")
    if len(names) > MAX_PARAMETERS:
        raise TemplateError(f"{text!r} has more than {MAX_PARAMETERS} parameters")
    literals.append(decoded(rest))
    return Segment(tuple(literals), tuple(names))


def parse_template(path: str) -> tuple[Segment, ...]:
    """The segments of a path template.  Raises TemplateError."""
    if not path.startswith("/"):
        raise TemplateError("a path begins with a slash")
    segments = tuple(parse_segment(part) for part in path[1:].split("/"))
    if len(segments) > MAX_SEGMENTS:
        raise TemplateError(f"more than {MAX_SEGMENTS} segments")
    for number, segment in enumerate(segments):
        if segment.literal in (".", ".."):
            raise TemplateError("a dot segment: no served target holds one")
        if segment.literal == "" and number < len(segments) - 1:
            raise TemplateError("a doubled slash: no served target holds one")
    names = [name for segment in segments for name in segment.names]
    if len(set(names)) != len(names):
        raise TemplateError("a parameter's name stands twice")
    return segments
