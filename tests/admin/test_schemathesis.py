"""The API against its OpenAPI document: it gives only declared answers and no server errors."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterator
from itertools import count
from typing import Any

import httpx
import pytest
import schemathesis
import uvicorn
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.internal.cache import LRUCache
from hypothesis.internal.conjecture import providers
from hypothesis.internal.constants_ast import Constants

from ivymux.admin import authorization
from ivymux.admin.app import application
from ivymux.desired.model import Admin, Change
from ivymux.desired.sqlite import SqliteStore
from ivymux.tenants import secret
from tests.tenants.fixtures import tenant

TURNS = count()
STATUSES: set[int] = set()  # seen so far; the test is only meaningful with answers of all kinds


@pytest.fixture(scope="module")
def reproducible_draws() -> Iterator[None]:
    """Make the draws independent of the loaded modules.

    Hypothesis draws constants from all modules that the process has loaded, which depends on earlier tests.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(providers, "_get_local_constants", Constants)
        patch.setattr(providers, "CONSTANTS_CACHE", LRUCache(1024))
        yield


@pytest.fixture(scope="module")
def api(reproducible_draws: None, tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[str, str]]:
    """Serve the API with one tenant `a`; yield its address and an operator's key."""
    before = authorization.CALLS_PER_S, authorization.BURST_CALLS
    authorization.CALLS_PER_S = authorization.BURST_CALLS = 1e6
    store = SqliteStore(tmp_path_factory.mktemp("api") / "desired.db")
    key_id, key, stored = secret.create_key(secret.ADMIN_PREFIX, time.time())
    store.add_operator(Admin(key_id, "olga", "", stored), time.time())
    state, blobs, _ = tenant("a", [9])
    store.commit(Change(name="a", expected=0, tenant=state, uid="u", at=0.0, who="", origin="", action="",
                        blobs=blobs))  # fmt: skip
    server = uvicorn.Server(uvicorn.Config(application(store), port=0, log_level="error", lifespan="off"))
    thread = threading.Thread(target=lambda: asyncio.run(server.serve()))
    thread.start()
    while not server.started:
        time.sleep(0.01)
    port = server.servers[0].sockets[0].getsockname()[1]
    yield f"http://127.0.0.1:{port}", key
    # Checked here because a separate test might run in another process, without these answers.
    assert {200, 201, 204, 400, 404, 412, 422} <= STATUSES, STATUSES
    server.should_exit = True
    thread.join()
    store.close()
    authorization.CALLS_PER_S, authorization.BURST_CALLS = before


@pytest.fixture
def schema(api: tuple[str, str]) -> schemathesis.schemas.BaseSchema:
    return schemathesis.openapi.from_url(f"{api[0]}/v1/openapi.json")


lazy = schemathesis.pytest.from_fixture("schema")


@lazy.parametrize()
@seed(20261201)
@settings(
    max_examples=8, deadline=None, derandomize=True, database=None, phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
def test_no_answer_is_undeclared(case: schemathesis.Case[Any], api: tuple[str, str]) -> None:
    if case.path_parameters and "tenant" in case.path_parameters:
        case.path_parameters["tenant"] = "a"
    if case.method == "DELETE" and case.path == "/v1/tenants/{tenant}":
        case.path_parameters["tenant"] = "other"  # the other cases need tenant a
    headers = {"Authorization": f"Bearer {api[1]}"}
    if "If-Match" in (case.headers or {}) and next(TURNS) % 4:
        # A made-up ETag is only ever answered with 412, so most calls get the current one.
        current = httpx.get(f"{api[0]}/v1/tenants/a", headers=headers)
        assert current.status_code == 200
        headers["If-Match"] = current.headers["etag"]
    response = case.call(headers=headers)
    STATUSES.add(response.status_code)
    assert response.status_code < 500, response.text
    case.validate_response(
        response,
        checks=[
            schemathesis.checks.not_a_server_error, schemathesis.checks.status_code_conformance,
            schemathesis.checks.content_type_conformance, schemathesis.checks.response_schema_conformance,
        ],
    )  # fmt: skip
