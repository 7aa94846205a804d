"""The command `replay`: replays records with this version, with other settings or with another version."""

import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click
import orjson

from calicofall.cli.record_files import MALFORMED, ExitCode, RecordCommandError, SegmentFile, open_segments
from calicofall.config.settings import normalize_settings, settings_on_sockets, validate_settings
from calicofall.recording.replayer import Replayer, ReplayMismatchError

SHOWN_EVENT_LENGTH = 160  # characters
# Settings that belong to the recorded proxy and are kept when other settings are used.
OWN_SETTINGS = ("proxies", "me", "zone", "bears")

# Exit code of REPLAY_TO_OTHER_ROUTER if this version's replayer cannot be imported with the other version's
# router. It differs from the exit codes of a replay.
IMPORT_FAILED = 10
# Replays records on the router of another version, with this version's replayer, as this version's replayer
# can read the records. The packages `recording` and `cli` are this version's, all others are those of the
# version in PYTHONPATH.
REPLAY_TO_OTHER_ROUTER = f"""
import importlib.util, sys
import calicofall
for name in ("recording", "cli"):
    folder = f"{{sys.argv[1]}}/{{name}}"
    spec = importlib.util.spec_from_file_location(f"calicofall.{{name}}", folder + "/__init__.py",
                                                  submodule_search_locations=[folder])
    module = importlib.util.module_from_spec(spec)
    sys.modules[f"calicofall.{{name}}"] = module
    spec.loader.exec_module(module)
try:
    from calicofall.cli.replay import replay_here
except ImportError:
    sys.exit({IMPORT_FAILED})
replay_here(sys.argv[2:])
"""
# Replays records with another version's own replayer, a function of one of its modules.
REPLAY_WITH_OWN_REPLAYER = """
import sys
try:
    from {module} import {function} as replay_records
except ImportError as missing:
    sys.exit(f"Error: that version is too old: {{missing}}")
replay_records(sys.argv[2:])
"""
OWN_REPLAYER = REPLAY_WITH_OWN_REPLAYER.format(module="calicofall.cli.replay", function="replay_here")
# Versions whose router is in `facade.py` have other names throughout, so their own replayer is always used.
FACADE_REPLAYER = REPLAY_WITH_OWN_REPLAYER.format(module="calicofall.recording.__main__", function="trial")


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=True))
@click.option(
    "--with",
    "other",
    type=click.Path(exists=True),
    help="Other settings (a file) or another version of the program (a folder) for the replay.",
)
def replay(files: tuple[str, ...], other: str | None) -> None:
    """Replay records and compare each decision with the recorded one.

    Exit: 0 the same, 1 different, 2 unreadable, 3 the same up to where the record is truncated or damaged.
    """
    if other and Path(other).is_dir():
        sys.exit(replay_to_version(Path(other), files))
    segments = open_segments(files)
    if other:
        settings = read_settings(Path(other))
        count = sum(replay_to_settings(segment, settings) for segment in segments)
        click.echo(f"{count} verdicts played")
        sys.exit(ExitCode.SAME)
    count, code = verify_segments(segments)
    if code != ExitCode.DIFFERENT:
        click.echo(f"{count} verdicts played, each as recorded")
    sys.exit(code)


def verify_segments(segments: Iterable[SegmentFile]) -> tuple[int, int]:
    """Replays segments up to the first difference, and prints differences and damage.

    Returns:
        The number of decisions replayed, and the exit code.

    Raises:
        RecordCommandError: An event or state cannot be replayed.
    """
    count = 0
    code = ExitCode.SAME
    for segment in segments:
        replayer = segment.replayer()
        try:
            replayer.replay(segment.frames())
        except ReplayMismatchError as mismatch:
            show_mismatch(segment, mismatch)
            return count + replayer.decision_count, ExitCode.DIFFERENT
        except MALFORMED as reason:
            raise segment.malformed_event(replayer, reason) from reason
        count += replayer.decision_count
        if segment.damage:
            code = ExitCode.CUT_OFF
            click.echo(f"{segment.path}: {segment.damage}; the same up to there")
    return count, code


def show_mismatch(segment: SegmentFile, mismatch: ReplayMismatchError) -> None:
    """Prints a difference: the decision, key figures of the router, and the events before it."""
    began_ms = segment.head["now"]
    kind, at_ms = mismatch.event[:2]
    click.echo(f"{segment.path}: differs at {(at_ms - began_ms) / 1000.0:.3f} s: {kind}")
    click.echo(f"  recorded  {mismatch.recorded}\n  played    {mismatch.replayed}")
    for name, value in mismatch.router_summary.items():
        click.echo(f"  {name:9} {value}")
    click.echo("  before it:")
    for kind, at_ms, *fields in mismatch.preceding_events:
        shown = str(fields)[:SHOWN_EVENT_LENGTH]
        click.echo(f"    {(at_ms - began_ms) / 1000.0:.3f} {kind} {shown}")


# With other settings


def read_settings(path: Path) -> dict[str, Any]:
    """Reads settings from a proxy's configuration file, a settings document, or a file of settings alone.

    Raises:
        RecordCommandError: The file cannot be read, or the settings are invalid.
    """
    try:
        content = orjson.loads(path.read_bytes())
        settings = content.get("settings", content)
        validate_settings(settings)
        normalized: dict[str, Any] = normalize_settings(settings_on_sockets(settings)[0])
    except OSError as reason:
        raise RecordCommandError(f"{path}: {reason.strerror}") from reason
    except MALFORMED as reason:
        raise RecordCommandError(f"{path}: {reason}") from reason
    return normalized


def replay_to_settings(segment: SegmentFile, settings: dict[str, Any]) -> int:
    """Replays a segment with other settings, and prints the differences.

    Settings that were applied during the recording are skipped.

    Returns:
        The number of decisions replayed.

    Raises:
        RecordCommandError: The record has pseudonyms, or an event or state cannot be replayed.
    """
    if segment.head["veiled"]:
        reason = "the record has pseudonyms, so it can be replayed only with its own settings"
        raise RecordCommandError(f"{segment.path}: {reason}")
    recorded = segment.head["deployment"]
    merged = settings | {name: recorded.get(name) for name in OWN_SETTINGS}
    replayer = segment.replayer(merged, strict=False)
    if segment.head["state"] is not None:
        replayer.router.apply_settings(segment.head["now"], merged)
    try:
        replayer.replay([event for event in frame if event[0] != "apply"] for frame in segment.frames())
    except MALFORMED as reason:
        raise segment.malformed_event(replayer, reason) from reason
    show_differences(segment.path, replayer)
    return replayer.decision_count


def show_differences(path: Path, replayer: Replayer) -> None:
    """Prints the number of decisions that differ, in total and by kind of difference."""
    click.echo(f"{path}: {replayer.decision_count} verdicts, {replayer.differences.total()} elsewhere")
    for difference, count in replayer.differences.most_common():
        click.echo(f"  {count:8} {difference}")


# With another version


def replay_to_version(folder: Path, names: Iterable[str]) -> int:
    """Replays records with another version of the program, in a separate process.

    If this version's replayer cannot be imported with that version's router, that version's own replayer runs
    in a new process, because the first process has already imported modules of this version.

    Args:
        folder: A checkout of that version.
        names: Files and folders of records.

    Returns:
        The exit code of the process.

    Raises:
        RecordCommandError: The folder is not a checkout of the program, or there are no records.
    """
    package = folder / "calicofall"
    if (package / "facade.py").exists():
        script = FACADE_REPLAYER
    elif (package / "routing").is_dir():
        script = REPLAY_TO_OTHER_ROUTER
    else:
        raise RecordCommandError(
            f"{folder}: expected a checkout of calicofall, found no package `calicofall` with a router"
        )
    paths = [str(segment.path.resolve()) for segment in open_segments(names)]
    code = run_script(script, folder, paths)
    if script == REPLAY_TO_OTHER_ROUTER and code == IMPORT_FAILED:
        code = run_script(OWN_REPLAYER, folder, paths)
    return code


def run_script(script: str, folder: Path, paths: list[str]) -> int:
    """Runs a replay script in a process that imports another version, and returns its exit code."""
    this_package = str(Path(__file__).parent.parent.resolve())
    environment = {"PYTHONPATH": str(folder.resolve()), "PATH": ""}
    command = [sys.executable, "-c", script, this_package, *paths]
    return subprocess.run(command, env=environment, check=False, cwd=folder).returncode


def replay_here(names: list[str]) -> None:
    """Replays records with the imported router, and prints the differences by segment."""
    try:
        for segment in open_segments(names):
            replayer = segment.replayer(strict=False)
            try:
                replayer.replay(segment.frames())
            except MALFORMED as reason:
                position = f"{segment.path}: event {replayer.event_count}"
                raise RecordCommandError(f"{position}: {reason!r}") from reason
            show_differences(segment.path, replayer)
    except RecordCommandError as error:
        error.show()
        sys.exit(error.exit_code)
