"""The commands of the group `record`: queries over records, and `replay`."""

from pathlib import Path
from typing import Any

import click
import orjson

from calicofall.cli.record_files import MALFORMED, ExitCode, RecordCommandError, open_segments
from calicofall.cli.replay import replay, verify_segments
from calicofall.recording import record_queries
from calicofall.recording.replayer import events_of

# The names under which other commands use these.
DIFFERENT = ExitCode.DIFFERENT
verify_records = verify_segments
open_records = open_segments

files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=True))


@click.group()
def record() -> None:
    """What a proxy was told and decided, as it recorded it."""


record.add_command(replay)


@record.command()
@files_argument
@click.argument("wanted")
@click.option("--most", type=click.IntRange(1), default=50, help="RPCs shown.")
def query(files: tuple[str, ...], wanted: str, most: int) -> None:
    """RPCs that match WANTED: id=, key=, cache=, tenant=, method=, from=, to= (s), joined by commas."""
    try:
        conditions = record_queries.parse_conditions(wanted)
    except ValueError as reason:
        raise RecordCommandError(str(reason)) from reason
    found = open_segments(files)
    began_ms = found[0].head["now"]
    count = 0
    for segment in found:
        stored_events = events_of(segment.frames())
        for trace in record_queries.matching_requests(stored_events, conditions, began_ms):
            count += 1
            if count <= most:
                click.echo(_request_line(trace, began_ms))
    click.echo(f"{count} RPCs")


def _request_line(trace: record_queries.RequestTrace, began_ms: float) -> str:
    """A line on a request."""
    arrived_s = (trace.arrived_at_ms - began_ms) / 1000.0
    key = "-" if trace.key is None else f"{trace.key:016x}"
    steps = "; ".join(trace.steps) or "nothing"
    end = "" if trace.answer else "; the record ends"
    return (
        f"{arrived_s:.3f} s  {trace.id} {trace.method} key={key} tenant={trace.tenant or '-'}  {steps}{end}"
    )


@record.command()
@files_argument
@click.option("--span", type=click.FloatRange(min=0.1), default=10.0, help="s a row.")
@click.option("--chart", type=click.Path(dir_okay=False), help="A picture of it.")
def table(files: tuple[str, ...], span: float, chart: str | None) -> None:
    """An afternoon by spans: RPCs by answer, caches aside, limits."""
    found = open_segments(files)
    began_ms = found[0].head["now"]
    rows: list[dict[str, Any]] = []
    for segment in found:
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
            message = f"{missing.name} is missing: pip install 'calicofall[stage]'"
            raise RecordCommandError(message) from missing
        click.echo(chart)


def _cell(value: float) -> str:
    return f"{value:9.3g}" if isinstance(value, float) else f"{value:9}"


def draw_chart(rows: list[dict[str, Any]], file: str) -> None:
    """Draws a table: requests by answer above, ejected endpoints and limits below.

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
    """What came, written to OUT for a drill (`traffic.record`)."""
    found: list[record_queries.Arrival] = []
    for segment in open_segments(files):
        found += record_queries.arrivals(segment.head, events_of(segment.frames()))
    drawn = record_queries.scenario_traffic(found)
    Path(out).write_bytes(orjson.dumps(drawn))
    click.echo(f"{out}: {len(drawn)} RPCs in {drawn[-1][0] if drawn else 0.0:.1f} s")
