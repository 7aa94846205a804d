"""Commands of the testbed: run, list, walk, account, report.

The testbed's requirements are an optional extra that a proxy does not need, so the testbed's modules are
imported only by the commands that use them.

Invariants:
    An invalid scenario starts no processes, and all started processes are ended.
"""

import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

import click

# Exit codes of the commands.
EXIT_PASSED = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_VOID = 3


class TestbedCommandError(click.ClickException):
    """Ends a command with one line on standard error and the exit code of an invalid call."""

    exit_code = EXIT_INVALID


@dataclass(frozen=True, slots=True)
class Testbed:
    """The modules and functions of the testbed that need its extra requirements."""

    scenario: ModuleType
    report: ModuleType
    run_scenario: Callable[..., Any]


def load_testbed() -> Testbed:
    """Import the testbed.

    Raises:
        TestbedCommandError: A requirement is not installed.
    """
    try:
        from calicofall.testbed import report, runner, scenario
    except ImportError as missing:
        raise TestbedCommandError(
            f"the testbed requires the package {missing.name}: pip install 'calicofall[stage]'"
        ) from missing
    return Testbed(scenario, report, runner.run_scenario)


@click.group()
def stage() -> None:
    """Run scenarios with many processes and injected faults, and check the results."""


@stage.command(name="list")
def list_scenarios() -> None:
    """List the scenarios that are included."""
    scenario = load_testbed().scenario
    for name in scenario.shipped_scenarios():
        click.echo(f"{name:24} {scenario.load_scenario(name).about}")


@stage.command()
@click.argument("file")
@click.option("--proxies", type=click.IntRange(1, 1000), help="Number of proxies, instead of the scenario's.")
@click.option("--seed", type=int, help="Seed, instead of the scenario's.")
@click.option("--out", type=click.Path(file_okay=False), help="Folder for the logs and the result.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False),
    help="Root folder of another version whose proxies are run.",
)
@click.option(
    "--untold",
    is_flag=True,
    help="Proxies get no capacities of service and caches, use no snapshot and do not communicate.",
)
@click.option(
    "--apart",
    is_flag=True,
    help="Proxies lend each other no shares of limits and exchange no evidence on caches.",
)
@click.option(
    "--account", is_flag=True, help="Break down the loss by cause, from the proxies' logs at DEBUG."
)
@click.option("--quiet", is_flag=True)
def run(  # noqa: PLR0913 - a parameter for each option
    file: str,
    proxies: int | None,
    seed: int | None,
    out: str | None,
    program: str | None,
    untold: bool,
    apart: bool,
    account: bool,
    quiet: bool,
) -> None:
    """Run a scenario from FILE, or an included one by name. Exit: 0 passed, 1 failed, 2 invalid, 3 void."""
    testbed = load_testbed()
    fleet: dict[str, Any] = {}
    if proxies is not None:
        fleet["proxies"] = proxies
    if untold:
        fleet |= {"told": False, "speak": False, "snapshot": False}
    if apart or untold:
        fleet |= {"lend_s": None, "witnesses": False}
    fleet["accounts"] = account
    scenario = load_changed_scenario(testbed.scenario, file, fleet, seed)
    folder = Path(out or tempfile.mkdtemp(prefix=f"stage-{scenario.name}-"))
    try:
        verdict, history = testbed.run_scenario(
            scenario,
            folder,
            program and str(Path(program).resolve()),
            progress=lambda line: None if quiet else click.echo(line, err=True),
        )
    except KeyboardInterrupt:
        raise TestbedCommandError("stopped: all started processes have ended") from None
    testbed.report.write_result(folder, scenario, verdict, history)
    testbed.report.print_results(testbed.report.load_results([str(folder)]))
    click.echo(f"{scenario.name}: {verdict.outcome}; {folder}")
    if verdict.void_reason:
        sys.exit(EXIT_VOID)
    sys.exit(EXIT_PASSED if verdict.passed else EXIT_FAILED)


def load_changed_scenario(scenarios: ModuleType, file: str, fleet: dict[str, Any], seed: int | None) -> Any:
    """Load a scenario and replace fields of its fleet and, if a seed is given, its seed.

    Raises:
        TestbedCommandError: The scenario is invalid, before or after the changes.
    """
    try:
        data = scenarios.load_scenario(file).model_dump(exclude_none=True)
        if seed is not None:
            data["seed"] = seed
        data["fleet"] |= fleet
        return scenarios.parse_scenario(data, file)
    except scenarios.InvalidScenarioError as error:
        raise TestbedCommandError(str(error)) from error


@stage.command()
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--count", type=click.IntRange(1, 10_000), default=5)
@click.option("--versions", is_flag=True, help="Scenarios in which settings are published during faults.")
@click.option("--troubles", is_flag=True, help="Scenarios with troubles of caches and hostile clients.")
@click.option("--record", is_flag=True, help="Proxies record, and each record is replayed.")
@click.option("--out", type=click.Path(file_okay=False), help="Folder for the logs and results.")
def walk(seed: int, count: int, versions: bool, troubles: bool, record: bool, out: str | None) -> None:
    """Run scenarios generated from seeds; the first that fails is reduced to a minimal failing one."""
    randomized = RandomizedRun(load_testbed(), Path(out or tempfile.mkdtemp(prefix="stage-walk-")), record)
    try:
        for number in range(seed, seed + count):
            randomized.run(number, versions, troubles)
    except KeyboardInterrupt:
        raise TestbedCommandError("stopped: all started processes have ended") from None
    if versions:
        click.echo(
            f"{count - randomized.void} drills, {randomized.void} void, {randomized.orders} sends judged: "
            f"forbidden ones at most {randomized.longest_s:.2f} s after a majority held the version, "
            f"D {randomized.bound_s:.2f} s"
        )
    if record:
        click.echo(f"{randomized.replayed} verdicts played again, each as recorded")
    sys.exit(EXIT_VOID if randomized.void else EXIT_PASSED)


@dataclass(slots=True)
class RandomizedRun:
    """Runs randomized scenarios one after the other and sums up their results.

    Attributes:
        testbed: Functions that run and report scenarios.
        folder: Folder for the logs and results.
        record: Whether proxies record; each record is then replayed.
        void: Number of scenarios without a valid result.
        replayed: Number of decisions that were replayed.
        orders: Number of sends that were checked against the published versions.
        longest_s: Longest time from when a majority held a version until a send that it forbids was seen (s).
        bound_s: Limit of that time in the scenario (s).
    """

    testbed: Testbed
    folder: Path
    record: bool
    void: int = 0
    replayed: int = 0
    orders: int = 0
    longest_s: float = 0.0
    bound_s: float = 0.0

    def run(self, seed: int, versions: bool, troubles: bool = False) -> None:
        """Run the scenario of a seed; after a failure, reduce it and exit with EXIT_FAILED."""
        from calicofall.testbed import randomized_scenarios

        if versions:
            scenario = randomized_scenarios.draw_version_scenario(seed)
        elif troubles:
            scenario = randomized_scenarios.draw_trouble_scenario(seed)
        else:
            scenario = randomized_scenarios.draw_scenario(seed)
        if self.record:
            fleet = scenario.fleet.model_copy(update={"record": True})
            scenario = scenario.model_copy(update={"fleet": fleet})
        folder = self.folder / scenario.name
        verdict, history = self.testbed.run_scenario(scenario, folder)
        self.testbed.report.write_result(folder, scenario, verdict, history)
        rules = {finding.rule for finding in verdict.findings}
        click.echo(f"{scenario.name}: {verdict.outcome} {verdict.void_reason}{', '.join(sorted(rules))}")
        self.void += bool(verdict.void_reason)
        if self.record:
            self.replayed += replay_records(folder)
        if versions and not verdict.void_reason:
            self.longest_s = max(self.longest_s, verdict.figures["forbidden_longest_s"])
            self.orders += verdict.figures["orders_judged"]
            self.bound_s = scenario.must.settled_s or 0.0
        if rules:
            self._shrink(scenario, rules)
            sys.exit(EXIT_FAILED)

    def _shrink(self, scenario: Any, rules: set[str]) -> None:
        """Write a minimal scenario that still violates one of the rules."""
        from calicofall.testbed import randomized_scenarios

        def still_fails(candidate: Any) -> bool:
            verdict, _ = self.testbed.run_scenario(candidate, self.folder / "shrunk")
            return bool(rules & {finding.rule for finding in verdict.findings})

        shortest = randomized_scenarios.shrink_scenario(scenario, still_fails, click.echo)
        file = self.folder / f"{scenario.name}.toml"
        file.write_text(randomized_scenarios.format_scenario(shortest))
        click.echo(f"{file}: {len(shortest.event)} events, {shortest.fleet.proxies} proxies")


def replay_records(folder: Path) -> int:
    """Replay all records of a scenario and return the number of decisions; exit if one differs."""
    from calicofall.cli.record import DIFFERENT, open_records, verify_records

    count = 0
    for record_folder in sorted(folder.glob("p*/record")):
        if any(record_folder.glob("*.record")):
            decisions, code = verify_records(open_records((str(record_folder),)))
            count += decisions
            if code == DIFFERENT:
                sys.exit(EXIT_FAILED)
    return count


@stage.command(name="account")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--span", type=click.FloatRange(min=0.1), help="Also show a row for each time span of this duration (s)."
)
def account_for_loss(folder: str, span: float | None) -> None:
    """Break down the answers of proxies by cause, from a FOLDER of their logs at DEBUG."""
    from calicofall.testbed import loss_breakdown

    logs = loss_breakdown.read_logs(Path(folder))
    summary = loss_breakdown.summarize_answers(logs)
    if not summary["answers"]:
        raise TestbedCommandError(
            f"{folder}: expected log lines of requests, found none: serve --log-level DEBUG writes them"
        )
    print_answers(summary)
    if span:
        for period in loss_breakdown.answers_by_period(logs, span):
            click.echo(
                f"{period.began_s:8.1f} s {period.answers:7} answers, {period.in_time_share:.3f} in time; "
                f"{period.main_cause_share:.3f} {period.main_cause}"
            )
    times = loss_breakdown.startup_times(logs, "list heard")
    if times:
        median = times[len(times) // 2]
        percentile_95 = times[min(len(times) - 1, int(0.95 * len(times)))]
        click.echo(
            f"{len(times)} starts, list heard after {median:.0f} ms in the middle, "
            f"{percentile_95:.0f} at 95%, {times[-1]:.0f} at most"
        )


def print_answers(summary: dict[str, Any]) -> None:
    """Print the answers of proxies by cause, and the five most frequent causes of each method."""
    answers = summary["answers"]
    click.echo(
        f"{summary['proxies']} proxies, {answers} answers, {summary['set_aside']} times a cache set aside"
    )
    for cause, count in summary["by_cause"].items():
        click.echo(f"{count:8} {count / answers:.4f}  {cause}")
    for method, counts in summary["by_method"].items():
        total = sum(counts.values())
        shares = ", ".join(f"{cause} {count / total:.3f}" for cause, count in list(counts.items())[:5])
        click.echo(f"{method}: {total}; {shares}")


@stage.command(name="report")
@click.argument("results", nargs=-1, required=True)
@click.option(
    "--chart", type=click.Path(dir_okay=False), help="Image file for a chart of the results by second."
)
def show_results(results: tuple[str, ...], chart: str | None) -> None:
    """Show results side by side, from files or folders."""
    report = load_testbed().report
    try:
        loaded = report.load_results(list(results))
    except report.InvalidResultError as error:
        raise TestbedCommandError(str(error)) from error
    report.print_results(loaded)
    if chart:
        report.write_chart(loaded, chart)
        click.echo(chart)
