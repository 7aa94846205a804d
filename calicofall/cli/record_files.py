"""The files of a record as opened by the command line, and the exit codes of its commands.

Invariants: a command on an invalid file ends with one line, not with a traceback.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from pathlib import Path
from typing import Any

import click

from calicofall.recording import frames, state_codec
from calicofall.recording.replayer import Replayer

# Errors raised when values with wrong types or missing fields are read or replayed.
MALFORMED = (KeyError, ValueError, TypeError, IndexError, AttributeError)


class ExitCode(IntEnum):
    """Exit codes of the commands on records."""

    SAME = 0
    DIFFERENT = 1
    UNREADABLE = 2
    CUT_OFF = 3  # the same up to the point where the record is truncated or damaged


class RecordCommandError(click.ClickException):
    """Ends a command with one line on standard error."""

    exit_code = ExitCode.UNREADABLE


class SegmentFile:
    """The file of a segment: its head, and its frames up to the first damage."""

    def __init__(self, path: Path) -> None:
        """Reads the file.

        Raises:
            RecordCommandError: The file cannot be read or is not a record.
        """
        self.path = path
        self.damage = ""  # position and reason of a truncation or damage that was found
        try:
            self.head, self._frames = frames.open_record(path.read_bytes())
            self.order = (self.head["began"], self.head["life"], self.head["segment"])
        except OSError as reason:
            raise RecordCommandError(f"{path}: {reason.strerror}") from reason
        except frames.UnreadableRecordError as reason:
            raise RecordCommandError(f"{path}: {reason}") from reason
        except KeyError as missing:
            raise RecordCommandError(
                f"{path}: expected the field {missing.args[0]} in the head, found none"
            ) from missing

    def frames(self) -> Iterator[list[Any]]:
        """Yields the frames up to the end or the first damage, and then sets `damage` to its reason."""
        try:
            yield from self._frames
        except frames.TruncatedRecordError as reason:
            self.damage = str(reason)

    def replayer(self, settings: dict[str, Any] | None = None, strict: bool = True) -> Replayer:
        """Creates a replayer at the beginning of the segment.

        Args:
            settings: Settings of the router; None selects those of the record.
            strict: Whether the first difference ends the replay.

        Raises:
            RecordCommandError: This version cannot read the head or its state.
        """
        try:
            return Replayer(self.head, state_codec.restore_state, settings, strict)
        except MALFORMED as reason:
            raise RecordCommandError(
                f"{self.path}: this version cannot read the state in the head: {reason}"
            ) from reason

    def malformed_event(self, replayer: Replayer, reason: Exception) -> RecordCommandError:
        """Returns the error for an event that cannot be replayed."""
        description = f"{type(reason).__name__} {reason}"
        return RecordCommandError(f"{self.path}: event {replayer.event_count}: {description}")


def open_segments(names: Iterable[str]) -> list[SegmentFile]:
    """Opens files, and the records in folders, in the order in which they were written.

    Raises:
        RecordCommandError: There are no records, or one cannot be read.
    """
    paths: list[Path] = []
    for path in map(Path, names):
        paths += sorted(path.glob("*.record")) if path.is_dir() else [path]
    if not paths:
        raise RecordCommandError(f"{', '.join(names)}: expected records (*.record), found none")
    return sorted(map(SegmentFile, paths), key=lambda segment: segment.order)
