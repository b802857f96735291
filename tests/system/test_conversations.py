"""Actions with a caller's key over real processes: one run each, the same answer, one backend a caller."""

from __future__ import annotations

import asyncio
from pathlib import Path

from syrupy.assertion import SnapshotAssertion

from ivymux.simulation.local_cluster import Lab, document, lab
from standins.backend import CLOSE, Backend


async def act(it: Lab, door: int, key: str, path: str = "/sign/1", body: bytes = b"yes", **more: str) -> str:
    """One try of an action; what its caller is told."""
    answer = await it.ask(
        it.doors[door], "POST", path, content=body, Idempotency_Key=key, **{"Time_Remaining": "1500", **more}
    )
    if answer is None:
        return "no answer"
    after = " come back" if "retry-after" in answer.headers else ""
    kept = " (kept)" if "idempotent-replayed" in answer.headers else ""
    return f"{answer.status_code}{after}{kept} {answer.text.strip()}"


async def ended(it: Lab, door: int, key: str) -> str:
    """The same, once its end is known to the core: that is told behind its answer."""
    while (told := await act(it, door, key)).startswith("409"):
        await asyncio.sleep(0.02)
    return told


async def started(it: Lab, *desks: str) -> list[Backend]:
    await it.all(first=True)
    made = [await it.backend(name, "desk") for name in desks]
    await it.backend("i-archive", "archive")
    await it.put(document(1))
    for door in it.doors:
        await it.takes_clients(door)
        await it.served(door)
        await it.served(door, "/sign/0")
    for desk in made:
        desk.ran.clear()
    return made


def test_an_action_runs_once(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    said: list[str] = []

    async def day() -> None:
        async with lab(tmp_path) as it:
            (desk,) = await started(it, "i-desk")

            async def say(what: str, *tries: str) -> None:
                said.append(f"{what}: {' | '.join(tries)}; runs {len(desk.ran)}")
                desk.ran.clear()

            await say("twice, at two doors", await act(it, 0, '"a"'), await ended(it, 1, '"a"'))
            await say("the same key bare", await act(it, 1, "a"))
            await say("another body", await act(it, 0, '"a"', body=b"no"))
            await say("another path", await act(it, 1, '"a"', "/sign/2"))
            await say("no key in the quotes, two keys", await act(it, 0, '""'), await act(it, 0, 'a" "b'))
            desk.gate = asyncio.Event()
            first = asyncio.get_running_loop().create_task(act(it, 0, '"b"'))
            while not desk.ran:
                await asyncio.sleep(0.01)
            second = await act(it, 1, '"b"')
            desk.gate.set()
            await say("while the first is at work", second, await first)
            desk.gate = None
            await say("and then", await ended(it, 1, '"b"'))
            desk.plan = lambda ran: CLOSE
            await say("its answer is lost", await act(it, 0, '"c"'), await ended(it, 1, '"c"'))
            desk.plan = lambda ran: Backend.whole(500, ran.id, b"no ink")
            await say("the backend fails", await act(it, 0, '"d"'), await ended(it, 1, '"d"'))
            desk.plan = lambda ran: Backend.whole(503, ran.id, more="Not-Executed: 1\r\n")
            refused = await act(it, 0, '"e"')
            desk.ran.clear()
            desk.plan = lambda ran: None
            await say("it did not run at first", refused, await ended(it, 1, '"e"'))
            await say("a read is no action", (await it.served(it.doors[0])).text)

    asyncio.run(day())
    assert said == snapshot


def test_what_was_answered_outlives_the_leader_and_then_all(tmp_path: Path) -> None:
    async def day() -> None:
        async with lab(tmp_path) as it:
            (desk,) = await started(it, "i-desk")
            assert await act(it, 0, '"a"') == "200 desk /sign/1"
            assert await ended(it, 1, '"a"') == "200 (kept) desk /sign/1"
            desk.plan = lambda ran: CLOSE
            assert (await act(it, 0, '"lost"')).startswith("502")
            desk.plan = lambda ran: None
            ran = len(desk.ran)
            log = (tmp_path / "log.txt").read_text()
            leader = log.split("is in force: primary ")[-1].split(",")[0]
            await it.kill(leader)
            while (told := await act(it, 1, '"a"')).startswith(("503", "no")):
                await asyncio.sleep(0.02)
            assert told == "200 (kept) desk /sign/1"
            await it.start(leader)
            for ip in (*it.cores, *it.doors):
                await it.kill(ip)
            await it.all()
            for door in range(2):
                await it.takes_clients(it.doors[door])
                while (told := await act(it, door, '"a"')).startswith(("503", "no")):
                    await asyncio.sleep(0.02)
                assert told == "200 (kept) desk /sign/1"
                assert (await act(it, door, '"lost"')).startswith("502 whether this action ran")
            assert len(desk.ran) == ran
            # The one that leads now loses its disk, and comes back empty.
            log = (tmp_path / "log.txt").read_text()
            leader = log.split("is in force: primary ")[-1].split(",")[0]
            await it.wipe(leader)
            await it.start(leader)
            while (told := await act(it, 0, '"a"')).startswith(("503", "no")):
                await asyncio.sleep(0.02)
            assert told == "200 (kept) desk /sign/1" and len(desk.ran) == ran

    asyncio.run(day())


def test_a_conversation_stays_with_its_backend_at_every_door(tmp_path: Path) -> None:
    async def day() -> None:
        async with lab(tmp_path) as it:
            desks = await started(it, "i-one", "i-two", "i-three")
            settings = {"settings_version": 3, "conversation_header": "X-Matter"}
            for body, status in (
                (settings, 200), ({**settings, "kept_for": "soon"}, 400), ({"kept_for": "1h"}, 400),
                ({**settings, "settings_version": 2}, 200),
            ):  # fmt: skip
                assert (await it.call("PUT", it.cores[0], "/conversations", body))[0] == status
            for ip in it.cores:
                while (await it.call("GET", ip, "/conversations"))[0] != 200:
                    await asyncio.sleep(0.02)
            used: dict[str, set[str]] = {}
            while "settings 3 of conversations are in force" not in (tmp_path / "log.txt").read_text():
                await asyncio.sleep(0.02)
            for n in range(40):
                matter = f"matter-{n % 8}"
                told = await act(it, n % 2, f'"k-{n}"', f"/sign/{n}", X_Matter=matter)
                assert told.startswith("200")
                (by,) = [d.instance for d in desks if any(r.target == f"/sign/{n}" for r in d.ran)]
                used.setdefault(matter, set()).add(by)
            assert all(len(by) == 1 for by in used.values()) and len(set.union(*used.values())) > 1

    asyncio.run(day())


def test_a_door_that_dies_behind_the_run_leaves_what_is_not_known(tmp_path: Path) -> None:
    """The backend has run it, and its door is gone before the answer is kept: no other door sends it."""

    async def day() -> None:
        async with lab(tmp_path) as it:
            (desk,) = await started(it, "i-desk")
            desk.gate = asyncio.Event()
            first = asyncio.get_running_loop().create_task(act(it, 0, '"a"', Time_Remaining="600"))
            while not desk.ran:
                await asyncio.sleep(0.01)
            await it.kill(it.doors[0])
            desk.gate.set()
            assert await first == "no answer"
            assert (await act(it, 1, '"a"')).startswith("409 come back")
            assert (await ended(it, 1, '"a"')).startswith("502 whether this action ran is not known")
            assert len(desk.ran) == 1

    asyncio.run(day())
