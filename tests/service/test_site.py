"""Site files: validation, errors that name the setting, API keys and warnings about the description."""

from __future__ import annotations

import pytest

from ivymux.service.callers import CallerError, Callers, customer_number, hash_key
from ivymux.service.site import SiteError, findings, read_site, settings
from orchidhill import interface as i
from tests.routes.describing import compiled, described, operation

HASH = hash_key(b"k")
VALID_SITE = f"""
listen = "127.0.0.1:0"
[description]
file = "api.yaml"
[plans.a]
rate = 2.0
burst = 5
[plans.b]
rate = 1.0
burst = 4
ceiling = {{ rate = 2.0, burst = 8 }}
[[callers.keys]]
customer = "one"
plan = "a"
hash = "{HASH}"
[[workers]]
name = "w"
address = "127.0.0.1:8000"
room = "r"
bay = 3
"""


def test_a_site_becomes_the_decision_modules_settings() -> None:
    site = read_site(VALID_SITE + "[keyed]\nmemory = 6.0\n", "s.toml")
    converted = settings(site, ())
    assert [p.name for p in converted.plans] == ["a", "b"] and converted.plans[1].ceiling_burst == 8
    assert site.workers[0].room == "r" and converted.has_counter and converted.limits.retry_after
    assert not converted.limits.second_copies  # never two attempts in flight for a request


@pytest.mark.parametrize(
    ("old", "new", "error_text"),
    [
        ("rate = 2.0\nburst = 5", "rate = 2.0", "plans.a.burst"),
        ("rate = 2.0\nburst = 5", "rate = -1\nburst = 5", "plans.a.rate"),
        ("rate = 2.0\nburst = 5", 'rate = "2"\nburst = 5', "rate"),
        ("rate = 2.0\nburst = 5", "rate = inf\nburst = 5", "plans.a.rate"),
        ("rate = 2.0\nburst = 5", "rte = 2.0\nburst = 5", "rte"),
        ("{ rate = 2.0, burst = 8 }", "{ rate = 0.5, burst = 8 }", "plans.b.ceiling.rate"),
        ('plan = "a"', 'plan = "z"', "callers.keys[0].plan is 'z'; the plans are a, b"),
        (HASH, "sha256:xyz", "callers.keys[0].hash"),
        (HASH, "iv_a-key-in-the-clear", "callers.keys[0].hash"),
        ('"127.0.0.1:8000"', '"127.0.0.1"', "workers[0].address"),
        ('"127.0.0.1:8000"', '"127.0.0.1:0"', "workers[0].address"),
        ('name = "w"', 'name = ""', "workers[0].name"),
        ('"127.0.0.1:0"', '"nowhere"', "listen"),
        ("[[workers]]", "[[workers]]\n[[workers]]", "name"),
        ('file = "api.yaml"', "", "file"),
        ('file = "api.yaml"', 'file = "api.yaml"\nbase = "v1"', "description.base"),
        ("[plans.a]", "[keyed]\nscope = 'fleet'\n[plans.a]", "keyed.scope"),
        ("[plans.a]", "[limits]\nmemory_mb = 1\n[plans.a]", "limits.memory_mb"),
        ("[plans.a]", "[limits]\nanswer_kb = 65536\nmemory_mb = 64\n[plans.a]", "limits.answer_kb"),
        ("[plans.a]", "[classes.c]\ndeadline = -1\n[plans.a]", "classes.c.deadline"),
        ("[plans.a]", "[plans.a", "line 5"),
        ("listen", 'trusted_proxies = ["x"]\nlisten', "trusted_proxies[0]"),
    ],
)
def test_errors_name_the_file_and_the_setting(old: str, new: str, error_text: str) -> None:
    assert old in VALID_SITE
    with pytest.raises(SiteError) as caught:
        read_site(VALID_SITE.replace(old, new, 1), "s.toml")
    text = str(caught.value)
    assert text.startswith("s.toml: ") and error_text in text and "\n" not in text
    assert "iv_a-key" not in text  # an API key that was written by mistake must not be logged


def test_workers_have_distinct_names_and_addresses() -> None:
    site_text = VALID_SITE + '[[workers]]\nname = "w"\naddress = "127.0.0.1:8001"\n'
    with pytest.raises(SiteError, match="stands twice"):
        read_site(site_text, "s.toml")
    site_text = VALID_SITE + '[[workers]]\nname = "v"\naddress = "127.0.0.1:8000"\n'
    with pytest.raises(SiteError, match="is that of 'w'"):
        read_site(site_text, "s.toml")


def test_keys_are_stored_as_hashes_and_found_by_them() -> None:
    callers = Callers([(hash_key(b"one"), "c", 0), (hash_key(b"two"), "c", 0), (hash_key(b"x"), "d", 1)])
    one, two, other = callers.find(b"one"), callers.find(b"two"), callers.find(b"x")
    assert one is two and one is not None and other is not None
    assert (one.customer, one.plan, one.number) == ("c", 0, customer_number("c"))
    assert other.number != one.number
    assert callers.find(b"") is None and callers.find(b"o" * 10_000) is None
    assert b"one" not in repr(callers.__dict__).encode()


def test_one_customer_has_one_plan_and_a_key_one_customer() -> None:
    with pytest.raises(CallerError, match="another plan"):
        Callers([(hash_key(b"1"), "c", 0), (hash_key(b"2"), "c", 1)])
    with pytest.raises(CallerError, match="another customer"):
        Callers([(hash_key(b"1"), "c", 0), (hash_key(b"1"), "d", 0)])


def test_operations_that_a_plan_can_never_serve_are_reported() -> None:
    limit = {"name": "limit", "in": "query", "schema": {"type": "integer"}}
    terms = {"cost": {"from": "query.limit", "most": 50}}
    document = described({"/a": {"get": operation(parameters=[limit], x=terms)},
                          "/b": {"post": operation(x={"effect": "keyed"})}})  # fmt: skip
    warnings = findings(read_site(VALID_SITE, "s.toml"), compiled(document))
    assert len(warnings) == 3 and "plan a holds 5 units" in warnings[0] and "keyed.memory is 0" in warnings[2]
    assert settings(read_site(VALID_SITE, "s.toml"), ()).plans[0] == i.Plan(
        "a", 2.0, 5, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0
    )
