"""The pages: no log lines among their text, lines that can be read, links that lead somewhere."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
MAX_LINE = 140  # characters, outside tables and code
LOG_LINE = re.compile(r"(proxy|registry|config_store|switchboard|directory|station): \w")
LINK = re.compile(r"\]\(([^)\s#]+)(#[^)\s]*)?\)")
HEADING = re.compile(r"^#+ (.*)$", re.M)


def prose(page: Path) -> Iterator[tuple[int, str]]:
    """The numbered lines of a page that are in no table and in no code."""
    code = False
    for number, line in enumerate(page.read_text(encoding="utf-8").splitlines(), 1):
        if line.startswith("```"):
            code = not code
        elif not (code or line.startswith(("|", "    ", "#"))):
            yield number, line


def anchors(page: Path) -> set[str]:
    """What links may name behind a `#`: headings in lower case, without marks, dashes for spaces."""
    titles = HEADING.findall(page.read_text(encoding="utf-8"))
    return {"#" + re.sub(r"[^\w\- ]", "", title.lower()).replace(" ", "-") for title in titles}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_a_page_can_be_read(page: Path) -> None:
    for number, line in prose(page):
        assert not LOG_LINE.match(line), f"{page.name}:{number}: a line of a log"
        assert len(line) <= MAX_LINE, f"{page.name}:{number}: {len(line)} characters"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page: Path) -> None:
    for target, anchor in LINK.findall(page.read_text(encoding="utf-8")):
        if "://" in target:
            continue
        there = (page.parent / target).resolve()
        assert there.exists(), f"{page.name}: {target}"
        assert not anchor or there.suffix != ".md" or anchor in anchors(there), (
            f"{page.name}: {target}{anchor}"
        )
