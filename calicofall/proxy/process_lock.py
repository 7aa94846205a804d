"""Detects other processes of the same proxy by files, each of which is locked while its process runs.

All processes of a proxy have a file in one folder under $TMPDIR. An unlocked file was left behind by a
process that was killed, and the first process that finds it removes it.

Invariants: no call blocks on a lock; a process that cannot create its lock file because the folder is
missing or the disk is full serves as if it were the only one.
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
    """The lock of this process, and the number of other processes of its proxy.

    Args:
        name: The proxy's name, which all its processes share.
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
        """Marks this process as serving, for the other processes."""
        if self.descriptor >= 0:
            with suppress(OSError):  # if the file system is full, the others see this process as starting
                self._write_state(SERVING_STATE)

    def refresh(self) -> bool:
        """Counts the other processes again; returns whether their number has changed."""
        previous_count = self.other_process_count
        self.other_process_count = 0
        self.serving_process_count = 0
        try:
            for name in os.listdir(self.folder):
                path = f"{self.folder}/{name}"
                if path != self.path:
                    self._inspect(path)
        except OSError as error:
            self._log_failure(error)
        return self.other_process_count != previous_count

    def release(self) -> None:
        """Releases the lock and removes its file."""
        if self.descriptor >= 0:
            with suppress(OSError):
                if self.path is not None:
                    os.unlink(self.path)
                os.rmdir(self.folder)  # fails while another process has a file in it
            os.close(self.descriptor)
        self.descriptor = -1
        self.path = None

    def _create(self) -> None:
        for attempt in range(MAX_ATTEMPTS):
            if self._try_create(is_last=attempt == MAX_ATTEMPTS - 1):
                return
        raise OSError(f"lock file was removed by another process at each of {MAX_ATTEMPTS} attempts")

    def _try_create(self, is_last: bool) -> bool:
        try:
            with suppress(FileExistsError):
                os.mkdir(self.folder, 0o700)
            self.descriptor, self.path = mkstemp(dir=self.folder)
        except FileNotFoundError:
            if is_last:
                raise
            return False  # another process has just ended and removed the folder
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
        """Locks the new file; returns False if another process removed it as abandoned before the lock."""
        fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self._write_state(STARTING_STATE)
        return os.stat(path).st_ino == os.fstat(self.descriptor).st_ino

    def _write_state(self, state: bytes) -> None:
        os.pwrite(self.descriptor, state, 0)

    def _inspect(self, path: str) -> None:
        """Counts the process that has locked a file, or removes the file if it is unlocked."""
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
