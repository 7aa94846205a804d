"""Tells of other processes of the same proxy, by files that each locks for as long as it lives.

All processes of a proxy have a file in one folder under $TMPDIR. A file that nobody has locked was left
behind by a process that was killed, and is removed by whoever sees it.

Invariants: no call waits for a lock; without a lock (a full or missing folder) the proxy serves as if it were
alone.
"""

import fcntl
import logging
import os
from contextlib import suppress
from pathlib import Path
from tempfile import mkstemp
from urllib.parse import quote

SERVING_STATE = b"serves"
STARTING_STATE = b"starts"
MAX_ATTEMPTS = 3
log = logging.getLogger("calicofall")


class ProcessLock:
    """The lock of this process, and what is known of the other processes of its proxy.

    Args:
        name: Names the proxy; its processes share it.
        folder: The folder for temporary files.
    """

    def __init__(self, name: str, folder: str) -> None:
        self.folder = f"{folder}/calicofall-{quote(name, safe='')}"
        self.path: str | None = None
        self.descriptor = -1
        self.other_process_count = 0
        self.serving_process_count = 0  # of the other processes
        self.failure_logged = False
        try:
            self._create()
        except OSError as error:
            self._log_failure(error)

    def mark_serving(self) -> None:
        """Tells the other processes that this one serves."""
        if self.descriptor >= 0:
            with suppress(OSError):  # on a full file system the others take this process for one that starts
                self._write_state(SERVING_STATE)

    def refresh(self) -> bool:
        """Counts the other processes anew; whether their number has changed."""
        before = self.other_process_count
        self.other_process_count = 0
        self.serving_process_count = 0
        try:
            for name in os.listdir(self.folder):
                path = f"{self.folder}/{name}"
                if path != self.path:
                    self._inspect(path)
        except OSError as error:
            self._log_failure(error)
        return self.other_process_count != before

    def release(self) -> None:
        """Gives up the lock and removes its file."""
        if self.descriptor >= 0:
            with suppress(OSError):
                if self.path is not None:
                    os.unlink(self.path)
                os.rmdir(self.folder)  # fails while another process has a file there
            os.close(self.descriptor)
        self.descriptor = -1
        self.path = None

    def _create(self) -> None:
        for attempt in range(MAX_ATTEMPTS):
            if self._try_create(is_last=attempt == MAX_ATTEMPTS - 1):
                return
        raise OSError("taken away")

    def _try_create(self, is_last: bool) -> bool:
        try:
            with suppress(FileExistsError):
                os.mkdir(self.folder, 0o700)
            self.descriptor, self.path = mkstemp(dir=self.folder)
        except FileNotFoundError:
            if is_last:
                raise
            return False  # another process has just left and removed the folder
        try:
            if self._lock(self.path):
                return True
        except (FileNotFoundError, BlockingIOError):
            pass
        except OSError:
            self.release()
            raise
        self.release()
        return False

    def _lock(self, path: str) -> bool:
        """Locks the new file; False if another process has removed it as abandoned before it was locked."""
        fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._write_state(STARTING_STATE)
        return os.stat(path).st_ino == os.fstat(self.descriptor).st_ino

    def _write_state(self, state: bytes) -> None:
        os.pwrite(self.descriptor, state, 0)

    def _inspect(self, path: str) -> None:
        """Counts the process that holds a file, or removes the file if none does."""
        try:
            descriptor = os.open(path, os.O_RDONLY)
        except FileNotFoundError:
            return
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
            Path(path).unlink(missing_ok=True)
        except BlockingIOError:
            self.other_process_count += 1
            self.serving_process_count += os.pread(descriptor, len(SERVING_STATE), 0) == SERVING_STATE
        finally:
            os.close(descriptor)

    def _log_failure(self, error: OSError) -> None:
        if not self.failure_logged:
            self.failure_logged = True
            reason = error.strerror or str(error)
            log.warning("no lease", extra={"folder": self.folder, "reason": reason})
