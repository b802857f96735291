"""JSON merge patches and the differences of documents."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivymux.tenants.merge import differences, merge, pointer

# RFC 7396, appendix A.
CASES: list[tuple[Any, Any, Any]] = [
    ({"a": "b"}, {"a": "c"}, {"a": "c"}),
    ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
    ({"a": "b"}, {"a": None}, {}),
    ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
    ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
    ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
    ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
    ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
    (["a", "b"], ["c", "d"], ["c", "d"]),
    ({"a": "b"}, ["c"], ["c"]),
    ({"a": "foo"}, None, None),
    ({"a": "foo"}, "bar", "bar"),
    ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
    ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
    ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
]
JSON = st.recursive(
    st.booleans() | st.integers(-5, 5) | st.text(max_size=3),
    lambda inner: st.dictionaries(st.sampled_from("abc/~"), inner, max_size=3) | st.lists(inner, max_size=2),
    max_leaves=8,
)
OBJECTS = st.dictionaries(st.sampled_from("abc/~"), JSON, max_size=4)


@pytest.mark.parametrize(("target", "patch", "result"), CASES)
def test_the_examples_of_rfc_7396(target: Any, patch: Any, result: Any) -> None:
    before = json.dumps([target, patch])
    assert merge(target, patch) == result
    assert json.dumps([target, patch]) == before


@given(OBJECTS, OBJECTS)
def test_a_merge_keeps_fields_that_the_patch_does_not_name(
    target: dict[str, Any], patch: dict[str, Any]
) -> None:
    result = merge(target, patch)
    assert all(result[name] == target[name] for name in target if name not in patch)
    assert merge(result, patch) == result


@given(OBJECTS, OBJECTS)
def test_differences_give_each_changed_value_and_none_for_equal_documents(
    before: dict[str, Any], after: dict[str, Any]
) -> None:
    found = differences(before, after)
    assert differences(before, before) == []
    assert bool(found) == (json.dumps(before, sort_keys=True) != json.dumps(after, sort_keys=True))
    for entry in found:
        for side, document in (("before", before), ("after", after)):
            if side in entry:
                at: Any = document
                for part in entry["path"].split("/")[1:]:
                    at = at[part.replace("~1", "/").replace("~0", "~")]
                assert at == entry[side]


def test_pointers_are_escaped() -> None:
    assert pointer(("a/b", "~c")) == "/a~1b/~0c"
