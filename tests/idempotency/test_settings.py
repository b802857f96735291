"""Settings of conversations: accepted values, and the error for each invalid one."""

from __future__ import annotations

import json

import pytest

from ivymux.idempotency.settings import ConversationSettingsError
from ivymux.idempotency.validation import read


def text(**fields: object) -> bytes:
    return json.dumps({"settings_version": 1, **fields}).encode()


def test_every_field_has_a_default_and_can_be_set() -> None:
    settings = read(text())
    assert (settings.limits.retention_s, settings.limits.max_per_tenant, settings.header) == (
        900.0,
        10_000,
        b"",
    )
    settings = read(
        text(kept_for="2h", most_per_tenant=50, most_answer_bytes=0, conversation_header="X-Matter", other=1)
    )
    assert (settings.limits.retention_s, settings.limits.max_answer_chars, settings.header) == (
        7200.0,
        0,
        b"x-matter",
    )


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
def test_an_invalid_value_is_reported_with_its_field(wrong: bytes, where: str) -> None:
    with pytest.raises(ConversationSettingsError, match=where):
        read(wrong)
