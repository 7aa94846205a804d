"""The snapshot file of a proxy, written at intervals by a thread of the executor.

Invariants: the file is replaced whole or not at all; at most one write is under way; an error costs the
snapshot alone.
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

WRITE_INTERVAL_S = 5.0
log = logging.getLogger("calicofall")


class SnapshotStore:
    """Reads the snapshot of the incarnation before, and writes that of this one.

    Args:
        loop: The loop whose executor writes.
        folder: Where the file stands; made if it is missing.
        name: The proxy's name, which names the file.
        encode: Gives the bytes to write, or None while there is nothing worth keeping.
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
        """Reads the file of the incarnation before.

        Args:
            owner: Whose snapshot counts (see `snapshot.snapshot_owner`).
            wall_clock_s: The present time.
            max_age_s: From which age a snapshot does not count.

        Returns:
            The endpoint list and the learned state; None where there is no file, or where it doesn't count,
            which is one log line.
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
        """Schedules the next write."""
        self.timer = self.loop.call_later(WRITE_INTERVAL_S, self.write_periodically)

    def write_periodically(self) -> None:
        """Hands a snapshot to the executor, unless a slow disk still holds the one before."""
        self.start()
        if self.pending_write is not None and not self.pending_write.done():
            return
        data = self.encode()
        if data is not None:
            self.pending_write = self.loop.run_in_executor(None, self.write, data)

    def write(self, data: bytes) -> None:
        """Replaces the file; runs in a thread. An error is logged once until a write succeeds."""
        temporary_path = None
        try:
            os.makedirs(self.folder, exist_ok=True)
            descriptor, temporary_path = tempfile.mkstemp(dir=self.folder, prefix=".snapshot-")
            with os.fdopen(descriptor, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            # The old file stands until the new one is whole on the disk, so a crash leaves one of the two.
            os.replace(temporary_path, self.path)
            self.failure_logged = False
        except OSError as error:
            if temporary_path is not None:
                with suppress(OSError):
                    os.unlink(temporary_path)
            self._log_failure(error)

    def close(self) -> None:
        """Schedules no further write."""
        if self.timer is not None:
            self.timer.cancel()

    def _log_failure(self, error: OSError) -> None:
        if not self.failure_logged:
            self.failure_logged = True
            log.warning("snapshot not written", extra={"file": self.path, "reason": error.strerror})
