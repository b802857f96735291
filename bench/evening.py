"""Conversation load test with real processes: proxies, backends and the primary leave and come back.

    python -m bench.evening [--quick] [--seconds N] [--seed N] [--json FILE|-] [--page FILE]

Fails if an action had two effects, or an answer that contradicts its effects.  `--page` writes an HTML page
with plots, which needs the project's extra `bench` (matplotlib).
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from bench.common import argument_parser, render_html, summarize, write_report
from ivymux.simulation.conversation_load import LoadRecord, LoadSettings, LoadTest
from ivymux.simulation.local_cluster import local_cluster

FORBIDDEN_OUTCOMES = ("doubled", "answered and without effect", "refused and with effect")


def run_load_test(settings: LoadSettings, seed: int, directory: Path) -> LoadRecord:
    record = LoadRecord(settings, seed)

    async def run() -> None:
        async with local_cluster(
            directory, 3, settings.proxies, timeout_s=settings.duration_s + 120
        ) as cluster:
            await LoadTest(cluster, record).run()

    asyncio.run(run())
    return record


def result_page(record: LoadRecord, results: dict[str, Any]) -> str:
    """An HTML page with plots: proxies in service over time, effects by backend, latency by partner."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    plot, axes = plt.subplots(3, 1, figsize=(11, 11))
    axes[0].step([t for t, _ in record.serving_proxies], [n for _, n in record.serving_proxies], where="post")
    for at, kind, _ in record.faults:
        axes[0].axvline(at, color="tab:red" if kind in ("kill", "leader") else "0.85", linewidth=0.8)
    axes[0].set(title="proxies in service; red: a kill, the lost primary", xlabel="s", ylim=(0, None))
    effects_by_backend: dict[str, int] = {}
    for effects in record.effects.values():
        for _, backend in effects:
            effects_by_backend[backend] = effects_by_backend.get(backend, 0) + 1
    axes[1].bar(range(len(effects_by_backend)), list(effects_by_backend.values()))
    axes[1].set_xticks(range(len(effects_by_backend)), list(effects_by_backend), rotation=70, fontsize=6)
    axes[1].set(title="effects by backend")
    partners = sorted({action.partner for action in record.actions})
    done_actions = [action for action in record.actions if action.outcome == "done"]
    latencies_ms = [
        [1000 * action.took_s for action in done_actions if action.partner == partner] for partner in partners
    ]
    axes[2].boxplot(latencies_ms, tick_labels=partners, whis=(1, 99), showfliers=False)
    axes[2].set(title="latency in ms by partner (percentiles 1, 25, 50, 75, 99)", yscale="log")
    plot.tight_layout()
    return render_html("Conversation load test", plot, results)


def main() -> None:
    parser = argument_parser("evening")
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--page", type=Path)
    args = parser.parse_args()
    settings = LoadSettings(duration_s=20.0 if args.quick else args.seconds)
    with tempfile.TemporaryDirectory() as directory:
        record = run_load_test(settings, args.seed, Path(directory))
    results = record.report()
    if args.page is not None:
        args.page.write_text(result_page(record, results))
    for name in FORBIDDEN_OUTCOMES:
        if results[name]:
            raise AssertionError(f"{name}: {results[name]}")
    figures = {
        name: summarize([value], "") for name, value in results.items() if isinstance(value, int | float)
    }
    workload = f"{settings.duration_s:.0f} s, {results['troubles']}, reads {results['reads']}"
    write_report(args, workload, figures, {})


if __name__ == "__main__":
    main()
