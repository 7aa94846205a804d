"""Commands of the testbed: run, list, walk, account, report.

The testbed's requirements are an extra that a proxy does without, so its modules are imported by the commands
that use them.

Invariants:
    Nothing is started for an invalid scenario, and no process is left behind.
"""

import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

import click

# Exit codes.
PASSED = 0
BROKEN = 1
WRONG = 2
VOID = 3


class Stop(click.ClickException):
    """Ends a command with a message and the exit code of a wrong call."""

    exit_code = WRONG


@dataclass(frozen=True, slots=True)
class Testbed:
    """The parts of the testbed that need its extra requirements."""

    scenario: ModuleType
    report: ModuleType
    run_scenario: Callable[..., Any]


def load_testbed() -> Testbed:
    """Import the testbed.

    Raises:
        Stop: A requirement is not installed.
    """
    try:
        from calicofall.testbed import report, runner, scenario
    except ImportError as missing:
        raise Stop(f"{missing.name} is missing: pip install 'calicofall[stage]'") from missing
    return Testbed(scenario, report, runner.run_scenario)


@click.group()
def stage() -> None:
    """Many processes of the program with faults between them, and a referee."""


@stage.command(name="list")
def list_scenarios() -> None:
    """The drills that ship."""
    scenario = load_testbed().scenario
    for name in scenario.shipped_scenarios():
        click.echo(f"{name:24} {scenario.load_scenario(name).about}")


@stage.command()
@click.argument("file")
@click.option("--proxies", type=click.IntRange(1, 1000), help="Another number of proxies.")
@click.option("--seed", type=int, help="Another seed.")
@click.option("--out", type=click.Path(file_okay=False), help="Where logs and the result go.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False),
    help="The root of another version whose proxies are played.",
)
@click.option("--untold", is_flag=True, help="Proxies are not told the rooms of service and caches.")
@click.option("--apart", is_flag=True, help="Proxies neither lend nor tell each other what they saw.")
@click.option("--account", is_flag=True, help="Where the loss went, by the proxies' logs at DEBUG.")
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
    """Play a drill from FILE, or a ready one by its name. Exit: 0 passed, 1 broken, 2 wrong drill, 3 void."""
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
        raise Stop("stopped: all that was started has ended") from None
    testbed.report.write_result(folder, scenario, verdict, history)
    testbed.report.print_results(testbed.report.load_results([str(folder)]))
    click.echo(f"{scenario.name}: {verdict.outcome}; {folder}")
    if verdict.void_reason:
        sys.exit(VOID)
    sys.exit(PASSED if verdict.passed else BROKEN)


def load_changed_scenario(scenarios: ModuleType, file: str, fleet: dict[str, Any], seed: int | None) -> Any:
    """Load a scenario, with other fields of its fleet and, where it is given, another seed.

    Raises:
        Stop: The scenario is invalid, as it stands or with the changes.
    """
    try:
        data = scenarios.load_scenario(file).model_dump(exclude_none=True)
        if seed is not None:
            data["seed"] = seed
        data["fleet"] |= fleet
        return scenarios.parse_scenario(data, file)
    except scenarios.InvalidScenarioError as error:
        raise Stop(str(error)) from error


@stage.command()
@click.option("--seed", type=int, default=1, help="The first of the seeds.")
@click.option("--count", type=click.IntRange(1, 10_000), default=5)
@click.option("--versions", is_flag=True, help="Drills in which settings are published through faults.")
@click.option("--record", is_flag=True, help="Proxies record; each record is played again.")
@click.option("--out", type=click.Path(file_okay=False), help="Where logs and results go.")
def walk(seed: int, count: int, versions: bool, record: bool, out: str | None) -> None:
    """Play drills drawn from seeds; the first that fails is shrunk to the shortest that still does."""
    randomized = RandomizedRun(load_testbed(), Path(out or tempfile.mkdtemp(prefix="stage-walk-")), record)
    try:
        for number in range(seed, seed + count):
            randomized.run(number, versions)
    except KeyboardInterrupt:
        raise Stop("stopped: all that was started has ended") from None
    if versions:
        click.echo(
            f"{count - randomized.void} drills, {randomized.void} void, {randomized.orders} sends judged: "
            f"forbidden ones at most {randomized.longest_s:.2f} s after a majority held the version, "
            f"D {randomized.bound_s:.2f} s"
        )
    if record:
        click.echo(f"{randomized.replayed} verdicts played again, each as recorded")
    sys.exit(VOID if randomized.void else PASSED)


@dataclass(slots=True)
class RandomizedRun:
    """Runs randomized scenarios one after the other, and sums up what was judged.

    Attributes:
        testbed: What runs and reports them.
        folder: Where logs and results go.
        record: Whether proxies record; each record is then replayed.
        void: Scenarios of which nothing can be told.
        replayed: Decisions that were replayed.
        orders: Sends judged against the published versions.
        longest_s: The longest time after a majority had a version in which a send that it forbids was seen.
        bound_s: What the scenario allows for that.
    """

    testbed: Testbed
    folder: Path
    record: bool
    void: int = 0
    replayed: int = 0
    orders: int = 0
    longest_s: float = 0.0
    bound_s: float = 0.0

    def run(self, seed: int, versions: bool) -> None:
        """Run the scenario of a seed; the process exits with BROKEN after a failure is shrunk."""
        from calicofall.testbed import randomized_scenarios

        if versions:
            scenario = randomized_scenarios.draw_version_scenario(seed)
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
            sys.exit(BROKEN)

    def _shrink(self, scenario: Any, rules: set[str]) -> None:
        """Write the shortest scenario that still breaks one of the rules."""
        from calicofall.testbed import randomized_scenarios

        def still_fails(candidate: Any) -> bool:
            verdict, _ = self.testbed.run_scenario(candidate, self.folder / "shrunk")
            return bool(rules & {finding.rule for finding in verdict.findings})

        shortest = randomized_scenarios.shrink_scenario(scenario, still_fails, click.echo)
        file = self.folder / f"{scenario.name}.toml"
        file.write_text(randomized_scenarios.format_scenario(shortest))
        click.echo(f"{file}: {len(shortest.event)} events, {shortest.fleet.proxies} proxies")


def replay_records(folder: Path) -> int:
    """Replay all records of a scenario and return the number of decisions; exits where one differs."""
    from calicofall.cli.record import DIFFERENT, held, segments

    count = 0
    for place in sorted(folder.glob("p*/record")):
        if any(place.glob("*.record")):
            decisions, code = held(segments((str(place),)))
            count += decisions
            if code == DIFFERENT:
                sys.exit(BROKEN)
    return count


@stage.command(name="account")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--span", type=click.FloatRange(min=0.1), help="By time too, a row so many s.")
def account_for_loss(folder: str, span: float | None) -> None:
    """What proxies answered, by cause, from a FOLDER of their logs at DEBUG alone."""
    from calicofall.testbed import loss_breakdown

    logs = loss_breakdown.read_logs(Path(folder))
    summary = loss_breakdown.summarize_answers(logs)
    if not summary["answers"]:
        raise Stop(f"{folder}: no line of an RPC: serve --log-level DEBUG writes them")
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
@click.option("--chart", type=click.Path(dir_okay=False), help="A picture of what was seen by second.")
def show_results(results: tuple[str, ...], chart: str | None) -> None:
    """Results side by side, from files or folders."""
    report = load_testbed().report
    try:
        loaded = report.load_results(list(results))
    except report.InvalidResultError as error:
        raise Stop(str(error)) from error
    report.print_results(loaded)
    if chart:
        report.write_chart(loaded, chart)
        click.echo(chart)
