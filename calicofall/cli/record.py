"""The commands of the group `record`: queries over records, and `replay`."""

from pathlib import Path
from typing import Any

import click
import orjson

from calicofall.cli.record_files import MALFORMED, ExitCode, RecordCommandError, open_segments
from calicofall.cli.replay import replay, verify_segments
from calicofall.recording import record_queries
from calicofall.recording.replayer import events_of

# Names that the testbed commands import.
DIFFERENT = ExitCode.DIFFERENT
verify_records = verify_segments
open_records = open_segments

files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=True))


@click.group()
def record() -> None:
    """Replay and query the inputs and decisions that proxies recorded."""


record.add_command(replay)


@record.command()
@files_argument
@click.argument("wanted")
@click.option("--most", type=click.IntRange(1), default=50, help="Maximum number of requests shown.")
def query(files: tuple[str, ...], wanted: str, most: int) -> None:
    """Show requests that match WANTED: id=, key=, cache=, tenant=, method=, from=, to= (s), with commas."""
    try:
        conditions = record_queries.parse_conditions(wanted)
    except ValueError as reason:
        raise RecordCommandError(str(reason)) from reason
    segments = open_segments(files)
    began_ms = segments[0].head["now"]
    count = 0
    for segment in segments:
        stored_events = events_of(segment.frames())
        for trace in record_queries.matching_requests(stored_events, conditions, began_ms):
            count += 1
            if count <= most:
                click.echo(_request_line(trace, began_ms))
    click.echo(f"{count} RPCs")


def _request_line(trace: record_queries.RequestTrace, began_ms: float) -> str:
    """Returns a line that describes a request."""
    arrived_s = (trace.arrived_at_ms - began_ms) / 1000.0
    key = "-" if trace.key is None else f"{trace.key:016x}"
    steps = "; ".join(trace.steps) or "nothing"
    end = "" if trace.answer else "; the record ends"
    return (
        f"{arrived_s:.3f} s  {trace.id} {trace.method} key={key} tenant={trace.tenant or '-'}  {steps}{end}"
    )


@record.command()
@files_argument
@click.option("--span", type=click.FloatRange(min=0.1), default=10.0, help="Duration of a row (s).")
@click.option("--chart", type=click.Path(dir_okay=False), help="Image file for a chart of the table.")
def table(files: tuple[str, ...], span: float, chart: str | None) -> None:
    """Show a row for each time span: requests by answer, ejected caches, limits."""
    segments = open_segments(files)
    began_ms = segments[0].head["now"]
    rows: list[dict[str, Any]] = []
    for segment in segments:
        try:
            replayer = segment.replayer(strict=False)
            rows += record_queries.table_rows(replayer, segment.frames(), began_ms, span)
        except MALFORMED as reason:
            raise RecordCommandError(f"{segment.path}: {type(reason).__name__} {reason}") from reason
    merged = record_queries.merge_rows(rows)
    if merged:
        click.echo("  ".join(f"{name:>9}" for name in merged[0]))
    for row in merged:
        click.echo("  ".join(_cell(value) for value in row.values()))
    if chart:
        try:
            draw_chart(merged, chart)
        except ImportError as missing:
            message = (
                f"{missing.name}, which --chart requires, is not installed: pip install 'calicofall[stage]'"
            )
            raise RecordCommandError(message) from missing
        click.echo(chart)


def _cell(value: float) -> str:
    return f"{value:9.3g}" if isinstance(value, float) else f"{value:9}"


def draw_chart(rows: list[dict[str, Any]], file: str) -> None:
    """Draws a table as a chart: requests by answer above, ejected endpoints and limits below.

    Raises:
        ImportError: matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (requests, limits) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    at_s = [row["s"] for row in rows]
    for name in ("taken", "completed", "exhausted", "errored"):
        requests.plot(at_s, [row[name] for row in rows], label=name)
    for name in ("aside", "fleet", "origin"):
        limits.plot(at_s, [row[name] for row in rows], label=name)
    limits.set_xlabel("s")
    for plot in (requests, limits):
        plot.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)


@record.command()
@files_argument
@click.argument("out", type=click.Path(dir_okay=False))
def traffic(files: tuple[str, ...], out: str) -> None:
    """Write the recorded arrivals of requests to OUT, as traffic for a scenario (`traffic.record`)."""
    arrivals: list[record_queries.Arrival] = []
    for segment in open_segments(files):
        arrivals += record_queries.arrivals(segment.head, events_of(segment.frames()))
    traffic_rows = record_queries.scenario_traffic(arrivals)
    Path(out).write_bytes(orjson.dumps(traffic_rows))
    click.echo(f"{out}: {len(traffic_rows)} RPCs in {traffic_rows[-1][0] if traffic_rows else 0.0:.1f} s")
