"""Results of scenarios: a file, tables and charts.

Libraries for tables and charts are imported only where one is requested. The names in result.json are stored
data: they stay as they are, whatever the attributes behind them are called.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from calicofall.testbed.checker import Verdict
from calicofall.testbed.history import History
from calicofall.testbed.loss_breakdown import loss_breakdown
from calicofall.testbed.scenario import Scenario

if TYPE_CHECKING:
    from rich.console import Console

Result = dict[str, Any]  # the contents of a result.json

MAX_FINDINGS_SHOWN = 12  # of each result
FIGURES_SHOWN = (
    "launched_s",
    "asked",
    "asked_peak",
    "refused",
    "listed",
    "listed_last_s",
    "serves_half_s",
    "serves_95_s",
    "serves_all_s",
    "steady_s",
    "in_time",
    "in_time_last_third",
    "handshakes_peak",
    "connections_peak",
    "fetches",
    "fetches_at_once",
    "fetches_peak",
    "in_flight_peak",
    "cold_pushed",
    "core_each",
    "datagrams_each_s",
    "datagram_bytes_each_s",
    "lag_s",
    "waited_for_core",
)
COUNTED_BY_SECOND = ("asked", "refused", "lists", "doors", "wanted", "completed")


class InvalidResultError(ValueError):
    """A file that holds no result of a scenario; says which file and why."""


def write_result(folder: Path, scenario: Scenario, verdict: Verdict, history: History) -> Path:
    """Write result.json: verdict, figures, counts by second, and the loss breakdown where it is requested.

    Returns:
        The path of the file.
    """
    path = folder / "result.json"
    breakdown = {"account": loss_breakdown(scenario, history, folder)} if scenario.fleet.accounts else {}
    result = breakdown | {
        "drill": scenario.name,
        "seed": scenario.seed,
        "proxies": scenario.fleet.proxies,
        "verdict": verdict.outcome,
        "void": verdict.void_reason,
        "findings": [finding._asdict() for finding in verdict.findings],
        "figures": verdict.figures,
        "by_second": by_second(history),
    }
    path.write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    return path


def by_second(history: History) -> dict[str, list[int]]:
    """Return counts of the events of each second of a run, by kind."""
    seconds = int(history.ended_at - history.started_at) + 1
    counts = {name: [0] * seconds for name in COUNTED_BY_SECOND}
    for name, at in _counted_events(history):
        second = int(at - history.started_at)
        if 0 <= second < seconds:
            counts[name][second] += 1
    return counts


def _counted_events(history: History) -> Iterator[tuple[str, float]]:
    """Yield the kind and time of each event that is counted by second."""
    for call in history.discovery_calls:
        if call.what in COUNTED_BY_SECOND:
            yield call.what, call.at
    listed: set[str] = set()
    for event in history.list_events:
        if event.proxy not in listed:
            listed.add(event.proxy)
            yield "lists", event.at
    for at, _ in history.proxy_ready_events:
        yield "doors", at
    for request in history.client_requests:
        yield "wanted", request.at
        if request.completed_at is not None:
            yield "completed", request.completed_at


def load_results(paths: list[str]) -> list[Result]:
    """Return results by file or folder.

    Raises:
        InvalidResultError: A file cannot be read or holds no result.
    """
    return [_load_result(Path(path)) for path in paths]


def _load_result(path: Path) -> Result:
    file = path / "result.json" if path.is_dir() else path
    try:
        result = orjson.loads(file.read_bytes())
    except (OSError, ValueError) as error:
        raise InvalidResultError(f"{file}: {getattr(error, 'strerror', None) or error}") from error
    if not isinstance(result, dict) or "figures" not in result:
        raise InvalidResultError(f'{file}: not the result of a scenario: it has no "figures"')
    return result


def print_results(results: list[Result]) -> None:
    """Print results side by side, then loss breakdowns and findings."""
    from rich.console import Console

    console = Console()
    _print_figures(console, results)
    for result in results:
        if "account" in result:
            _print_loss_breakdown(console, result["drill"], result["account"])
    for result in results:
        _print_findings(console, result)


def _print_figures(console: "Console", results: list[Result]) -> None:
    from rich.table import Table

    figures = Table(title="scenarios: emulated servers on loopback")
    figures.add_column("")
    for result in results:
        head = f"{result['drill']}\n{result['proxies']} proxies\nseed {result['seed']}"
        figures.add_column(head, justify="right")
    figures.add_row("verdict", *(result["verdict"] for result in results))
    for name in FIGURES_SHOWN:
        values = [result["figures"].get(name) for result in results]
        figures.add_row(name, *("-" if value is None else f"{value:g}" for value in values))
    console.print(figures)


def _print_loss_breakdown(console: "Console", scenario_name: str, breakdown: dict[str, Any]) -> None:
    console.print(
        f"{scenario_name}: {breakdown['lost']} of {breakdown['wishes']} lost, by the proxies' own logs "
        f"({breakdown['answers_seen_by_clients']} answers seen by clients, "
        f"{breakdown['answers_in_logs']} in logs):",
        soft_wrap=True,
    )
    for cause, count in breakdown["by_cause"].items():
        console.print(f"  {count:6} {count / max(1, breakdown['wishes']):.4f}  {cause}", markup=False)
    console.print(
        f"  caches aside in error: {breakdown['aside_in_error_a_minute']:g} a minute, "
        f"{breakdown['aside_in_error_part']:.5f} of the time; sick ones known to 95% after "
        f"{breakdown['sick_known_95_s']} s",
        markup=False,
        soft_wrap=True,
    )


def _print_findings(console: "Console", result: Result) -> None:
    scenario_name = result["drill"]
    findings = result["findings"]
    if result["void"]:
        console.print(f"{scenario_name}: void, {result['void']}")
    for finding in findings[:MAX_FINDINGS_SHOWN]:
        console.print(
            f"{scenario_name}: {finding['rule']} {finding['proxy']} at {finding['at']:.2f} s: "
            f"{finding['what']}",
            markup=False,
            soft_wrap=True,
        )
    if len(findings) > MAX_FINDINGS_SHOWN:
        console.print(f"{scenario_name}: {len(findings) - MAX_FINDINGS_SHOWN} more")


def write_chart(results: list[Result], file: str) -> None:
    """Write a chart of the events of each second, a plot for each result."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(results), 1, figsize=(9, 3 * len(results)), squeeze=False)
    for (plot,), result in zip(axes, results, strict=True):
        for name, counts in result["by_second"].items():
            plot.plot(range(len(counts)), counts, label=name)
        plot.set_title(
            f"{result['drill']}, {result['proxies']} proxies: {result['verdict']} (emulated servers)"
        )
        plot.set_xlabel("s")
        plot.set_ylabel("a second")
        plot.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
