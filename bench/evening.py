"""The busy evening: conversations over doors, backends and a leader that come and go, real processes.

    python -m bench.evening [--quick] [--seconds N] [--seed N] [--json FILE|-] [--page FILE]

Ends with an error where an action had two effects, or an answer that is not true.  `--page` writes a page
with plots (needs matplotlib, extra `bench`).
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from bench.common import argument_parser, render_html, summarize, write_report
from ivymux.simulation.conversation_load import LoadRecord, LoadSettings, LoadTest
from ivymux.simulation.local_cluster import local_cluster

NEVER = ("doubled", "answered and without effect", "refused and with effect")


def play(settings: LoadSettings, seed: int, folder: Path) -> LoadRecord:
    record = LoadRecord(settings, seed)

    async def run() -> None:
        async with local_cluster(folder, 3, settings.proxies, timeout_s=settings.duration_s + 120) as cluster:
            await LoadTest(cluster, record).run()

    asyncio.run(run())
    return record


def page(record: LoadRecord, found: dict[str, Any]) -> str:
    """An HTML page: nodes over time, conversations by backend, each partner's latency."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure_, axes = plt.subplots(3, 1, figsize=(11, 11))
    axes[0].step([t for t, _ in record.serving_proxies], [n for _, n in record.serving_proxies], where="post")
    for at, kind, _ in record.faults:
        axes[0].axvline(at, color="tab:red" if kind in ("kill", "leader") else "0.85", linewidth=0.8)
    axes[0].set(title="doors in service; red: a kill, the lost leader", xlabel="s", ylim=(0, None))
    by: dict[str, int] = {}
    for effects in record.effects.values():
        for _, backend in effects:
            by[backend] = by.get(backend, 0) + 1
    axes[1].bar(range(len(by)), list(by.values()))
    axes[1].set_xticks(range(len(by)), list(by), rotation=70, fontsize=6)
    axes[1].set(title="effects by backend")
    partners = sorted({action.partner for action in record.actions})
    done = [action for action in record.actions if action.outcome == "done"]
    spent = [[1000 * action.took_s for action in done if action.partner == p] for p in partners]
    axes[2].boxplot(spent, tick_labels=partners, whis=(1, 99), showfliers=False)
    axes[2].set(title="ms to an answer, each partner (1, 25, 50, 75, 99 of 100)", yscale="log")
    figure_.tight_layout()
    return render_html("A busy evening", figure_, found)


def main() -> None:
    arguments = argument_parser("evening")
    arguments.add_argument("--seconds", type=float, default=600.0)
    arguments.add_argument("--seed", type=int, default=1)
    arguments.add_argument("--page", type=Path)
    args = arguments.parse_args()
    settings = LoadSettings(duration_s=20.0 if args.quick else args.seconds)
    with tempfile.TemporaryDirectory() as folder:
        record = play(settings, args.seed, Path(folder))
    found = record.report()
    if args.page is not None:
        args.page.write_text(page(record, found))
    for name in NEVER:
        if found[name]:
            raise AssertionError(f"{name}: {found[name]}")
    figures = {n: summarize([v], "") for n, v in found.items() if isinstance(v, int | float)}
    load = f"{settings.duration_s:.0f} s, {found['troubles']}, reads {found['reads']}"
    write_report(args, load, figures, {})


if __name__ == "__main__":
    main()
