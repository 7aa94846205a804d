"""The segment files of a proxy's record, which the recorder's thread writes.

A segment is the file `PROXY.INCARNATION.NUMBER.record`. The oldest files of all incarnations of the proxy are
deleted when they exceed the age or the total size to keep. Saved segments are linked into a folder of their
own, in which nothing is deleted.

Invariants: a file that is not being written ends with a complete frame.
"""

import os
from contextlib import suppress
from pathlib import Path
from typing import BinaryIO, Protocol
from urllib.parse import quote

from calicofall.recording import frames
from calicofall.recording.record_settings import RecordSettings

SAVED_FOLDER = "saved"  # subfolder of the saved segments


class RawFile(Protocol):
    """The methods used of an unbuffered file."""

    def tell(self) -> int:
        """Returns the position (bytes)."""

    def write(self, data: bytes, /) -> int:
        """Writes some of the bytes, and returns how many."""

    def truncate(self, size: int, /) -> int:
        """Truncates the file to a size (bytes)."""


class SegmentFiles:
    """The segment files of one proxy; disk errors are raised as OSError.

    Attributes:
        folder: The folder of the files.
        segments_begun: Number of files that this process has begun.
        bytes_written: Number of bytes that this process has written.
    """

    def __init__(self, settings: RecordSettings, proxy_name: str, incarnation: str) -> None:
        self.folder = Path(settings.folder)
        self.segments_begun = 0
        self.bytes_written = 0
        self._settings = settings
        self._prefix = quote(proxy_name, safe="")
        self._incarnation = incarnation
        self._file: BinaryIO | None = None

    def is_open(self) -> bool:
        """Returns whether a segment has begun and not ended."""
        return self._file is not None

    def begin(self, head: bytes) -> None:
        """Begins a segment with its head, and deletes segments that exceed the age or size to keep."""
        self.end()
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{self._prefix}.{self._incarnation}.{self.segments_begun:06d}.record"
        self._file = path.open("xb", buffering=0)
        self.segments_begun += 1
        self.write(self._file, frames.file_header() + frames.encode_frame(head))
        self._delete_old(path)

    def append(self, content: bytes) -> None:
        """Appends a frame to the open segment."""
        if self._file is not None:
            self.write(self._file, frames.encode_frame(content))

    def end(self) -> None:
        """Ends the open segment, if any."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def abandon(self) -> None:
        """Ends the open segment after an error or at the end of the process, ignoring errors."""
        if self._file is not None:
            with suppress(OSError):
                self._file.close()
            self._file = None

    def write(self, file: RawFile, data: bytes) -> None:
        """Writes all bytes, or truncates the file to its former size and raises the error."""
        position = file.tell()
        try:
            written = 0
            while written < len(data):
                written += file.write(data[written:])
        except OSError:
            # Without this, a file on a full disk would end with an incomplete frame.
            with suppress(OSError):
                file.truncate(position)
            raise
        self.bytes_written += len(data)

    def save_folder(self, number: int) -> Path:
        """Returns the folder of this process's saved segments with a number."""
        return self.folder / SAVED_FOLDER / f"{self._prefix}.{self._incarnation}.{number:03d}"

    def save(self, folder: Path) -> None:
        """Links all segments of this proxy into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in self._segments():
            with suppress(FileNotFoundError):
                os.link(path, folder / path.name)

    def _segments(self) -> list[Path]:
        """Returns the files of all incarnations of this proxy, the oldest first."""
        found = [
            (path.stat().st_mtime, path.name, path)
            for path in self.folder.glob("*.record")
            if path.name.rsplit(".", 3)[0] == self._prefix
        ]
        return [path for *_, path in sorted(found)]

    def _delete_old(self, current: Path) -> None:
        """Deletes the oldest segments that exceed the age or total size to keep."""
        earlier_segments = [path for path in self._segments() if path != current]
        sizes = {path: path.stat().st_size for path in earlier_segments}
        # Another process of this proxy may write at the same time: its file is recent and comes last.
        min_mtime = current.stat().st_mtime - self._settings.keep_s
        total_bytes = sum(sizes.values())
        for path in earlier_segments:
            if total_bytes <= self._settings.keep_bytes and path.stat().st_mtime >= min_mtime:
                break
            path.unlink()
            total_bytes -= sizes[path]
