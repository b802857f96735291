"""Settings of conversations: what is taken, and what is said of the rest."""

from __future__ import annotations

import json

import pytest

from ivymux.idempotency.settings import TermsError
from ivymux.idempotency.validation import read


def text(**fields: object) -> bytes:
    return json.dumps({"settings_version": 1, **fields}).encode()


def test_defaults_and_all_that_can_be_said() -> None:
    terms = read(text())
    assert (terms.rules.kept, terms.rules.most_for_tenant, terms.header) == (900.0, 10_000, b"")
    terms = read(
        text(kept_for="2h", most_per_tenant=50, most_answer_bytes=0, conversation_header="X-Matter", other=1)
    )
    assert (terms.rules.kept, terms.rules.most_answer, terms.header) == (7200.0, 0, b"x-matter")


@pytest.mark.parametrize(
    ("wrong", "where"),
    [
        (text(kept_for="soon"), "kept_for"), (text(kept_for="59s"), "60s"), (text(kept_for=5), "kept_for"),
        (text(most_per_tenant=0), "most_per_tenant"), (text(most_answer_bytes=1 << 30), "most_answer_bytes"),
        (text(conversation_header="a b"), "conversation_header"),
        (text(settings_version=-1), "settings_version"),
        (b"{}", "settings_version"), (text()[:-1], "settings of conversations"), (b"[]", "settings"),
        (text(pad="x" * 20_000), "16384 at most"),
    ],
)  # fmt: skip
def test_what_is_invalid_is_told_with_its_place(wrong: bytes, where: str) -> None:
    with pytest.raises(TermsError, match=where):
        read(wrong)
