"""Gateways whose quota counts are in Redis: for one tenant and for many."""

from __future__ import annotations

from pathlib import Path

import pytest

from ivymux.hosting.site import read_hosting
from ivymux.service.site import SiteError, read_site
from standins.redis import RedisDeployment
from standins.worker import reply_normally
from tests.hosting.fixtures import hosting
from tests.service.fixtures import running_gateway, send_request, site_text
from tests.sockets import run, until


def table(deployment: RedisDeployment, extra: str = "") -> str:
    return f'redis = {{ nodes = ["{deployment.master.address}"], prefix = "t:"{extra} }}\ndoors = 2\n'


def test_a_gateway_counts_in_redis_and_keeps_serving_without_it(tmp_path: Path) -> None:
    async def test() -> None:
        deployment = await RedisDeployment(password="word").start()
        (tmp_path / "word").write_text("word\n")
        tally = table(deployment, ', password_file = "word"') + "timeout = 0.1"
        async with running_gateway(
            tmp_path, [reply_normally], tally=tally, plan="rate = 20.0\nburst = 20"
        ) as fixture:
            assert [(await send_request(fixture, "GET /read/7")).status for _ in range(30)].count(
                200
            ) in range(20, 24)
            assert deployment.master.data and all(key.startswith(b"t:") for key in deployment.master.data)
            deployment.stop()
            answers = [await send_request(fixture, "GET /read/7") for _ in range(10)]
            refused = [a for a in answers if a.status != 200]
            assert all(a.status in (429, 503) and a.header("retry-after") for a in refused)
            await until(lambda: not fixture.gateway.host.requests)

    run(test())


def test_tenants_have_separate_counts_in_redis(tmp_path: Path) -> None:
    async def test() -> None:
        deployment = await RedisDeployment().start()
        async with hosting(tmp_path, "a", "b", extra="[tally]\n" + table(deployment), rate=5.0) as fixture:
            a, b = fixture.tenants["a"], fixture.tenants["b"]
            got = [(await fixture.ask(a)).status for _ in range(20)]
            assert 429 in got
            keys_of_a = set(deployment.master.data)
            assert (await fixture.ask(b)).status == 200  # a customer of the same name has its own count
            assert set(deployment.master.data) - keys_of_a
        deployment.stop()

    run(test())


@pytest.mark.parametrize(
    ("extra", "error_pattern"),
    [('address = "h:1"\n', "tally: write address"), ("number = 2\n", r"tally\.number"),
     ('redis = { nodes = ["h"] }\n', r"tally\.redis\.nodes")],
)  # fmt: skip
def test_invalid_tables_are_refused(extra: str, error_pattern: str) -> None:
    redis = "" if "redis" in extra else 'redis = { nodes = ["h:1"] }\n'
    tally = f"doors = 2\n{redis}{extra}"
    with pytest.raises(SiteError, match=error_pattern):
        read_hosting(f'store = "x"\n[tally]\n{tally}', "hosting.toml")
    with pytest.raises(SiteError, match=error_pattern):
        workers = '[[workers]]\nname = "w"\naddress = "127.0.0.1:1"'
        read_site(site_text([], tally=tally) + "\n" + workers, "site.toml")


def test_workers_may_not_have_the_address_of_the_counters() -> None:
    text = 'store = "x"\n[tally]\nredis = { nodes = ["127.0.0.1:6379"] }'
    assert read_hosting(text, "hosting.toml").address_rules.violation("127.0.0.1", 6379)
