"""The snapshot file of a proxy, written periodically in a thread of the event loop's executor.

Invariants: the file is replaced whole or not at all; at most one write is in progress; an error affects
nothing but the snapshot.
"""

import asyncio
import logging
import os
import tempfile
from collections.abc import Callable
from contextlib import suppress
from typing import Any
from urllib.parse import quote

from calicofall.startup import snapshot

WRITE_INTERVAL_S = 5.0  # time between two writes
log = logging.getLogger("calicofall")


class SnapshotStore:
    """Reads the snapshot of the previous incarnation, and writes that of this one.

    Args:
        loop: The event loop, whose executor writes the file.
        folder: The file's folder; created if it is missing.
        name: The proxy's name, from which the file's name is made.
        encode: Returns the bytes to write, or None to skip a write.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, folder: str, name: str, encode: Callable[[], bytes | None]
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.encode = encode
        self.path = os.path.join(folder, f"{quote(name, safe='')}.snapshot")
        self.failure_logged = False
        self.pending_write: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def load(
        self, owner: str, wall_clock_s: float, max_age_s: float
    ) -> tuple[dict[str, Any], dict[str, Any]] | None:
        """Reads the file of the previous incarnation.

        Args:
            owner: The owner that the snapshot must have (see `snapshot.snapshot_owner`).
            wall_clock_s: The present time.
            max_age_s: The age from which on a snapshot is not used.

        Returns:
            The endpoint list and the learned state; None if there is no file, or if it can't be used, which
            is logged.
        """
        try:
            with open(self.path, "rb") as file:
                data = file.read(snapshot.MAX_FILE_BYTES + 1)
            endpoint_list, learned, age = snapshot.decode_snapshot(data, owner, wall_clock_s, max_age_s)
        except FileNotFoundError:
            return None
        except (OSError, snapshot.UnusableSnapshotError) as error:
            reason = getattr(error, "strerror", None) or error
            log.warning("snapshot not used", extra={"file": self.path, "reason": reason})
            return None
        log.info("snapshot used", extra={"age_s": round(age, 1), "caches": len(endpoint_list["endpoints"])})
        return endpoint_list, learned

    def start(self) -> None:
        """Schedules the next periodic write."""
        self.timer = self.loop.call_later(WRITE_INTERVAL_S, self.write_periodically)

    def write_periodically(self) -> None:
        """Starts writing a snapshot in the executor, unless the previous write is still in progress."""
        self.start()
        if self.pending_write is not None and not self.pending_write.done():
            return
        data = self.encode()
        if data is not None:
            self.pending_write = self.loop.run_in_executor(None, self.write, data)

    def write(self, data: bytes) -> None:
        """Replaces the file; runs in a thread. After an error, none is logged until a write has succeeded."""
        temporary_path = None
        try:
            os.makedirs(self.folder, exist_ok=True)
            descriptor, temporary_path = tempfile.mkstemp(dir=self.folder, prefix=".snapshot-")
            with os.fdopen(descriptor, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            # The new file replaces the old one once it is completely on disk, so a crash leaves one of them.
            os.replace(temporary_path, self.path)
            self.failure_logged = False
        except OSError as error:
            if temporary_path is not None:
                with suppress(OSError):
                    os.unlink(temporary_path)
            self._log_failure(error)

    def close(self) -> None:
        """Cancels the periodic writes."""
        if self.timer is not None:
            self.timer.cancel()

    def _log_failure(self, error: OSError) -> None:
        if not self.failure_logged:
            self.failure_logged = True
            log.warning("snapshot not written", extra={"file": self.path, "reason": error.strerror})
