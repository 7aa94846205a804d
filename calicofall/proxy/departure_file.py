"""Shares ids of requests whose clients left between the processes of one proxy, while one replaces the other.

Each process appends records of one length to a file in the folder for temporary files. All processes of a
machine have the same monotonic clock.

Invariants: a failure of the file system costs only the other process's ids, and one log line.
"""

import logging
import os
import struct
from contextlib import suppress

RECORD = struct.Struct("16sd")  # the id, filled up with zero bytes; when its client left (s)
MAX_FILE_BYTES = 1 << 16  # after which the file begins anew
log = logging.getLogger("calicofall")


class DepartureFile:
    """The file, as one process writes and reads it.

    Args:
        path: The file, the same for all processes of the proxy.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.descriptor = -1
        self.read_bytes = 0
        try:
            self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self._remove_half_record()
        except OSError as error:
            self._log_failure(error)

    def append(self, request_id: bytes, departed_at: float) -> None:
        """Adds an id, and when its client left (s)."""
        if self.descriptor < 0:
            return
        try:
            if os.fstat(self.descriptor).st_size >= MAX_FILE_BYTES:
                os.ftruncate(self.descriptor, 0)
            if os.write(self.descriptor, RECORD.pack(request_id, departed_at)) < RECORD.size:
                self._remove_half_record()
        except OSError as error:
            self._fail(error)

    def read_new(self) -> list[tuple[bytes, float]]:
        """Returns the records that were added since the last call, by any process."""
        if self.descriptor < 0:
            return []
        try:
            size = os.fstat(self.descriptor).st_size
            if size < self.read_bytes:  # it has begun anew
                self.read_bytes = 0
            count = (size - self.read_bytes) // RECORD.size
            if not count:
                return []
            data = os.pread(self.descriptor, count * RECORD.size, self.read_bytes)
        except OSError as error:
            self._fail(error)
            return []
        self.read_bytes += len(data)
        whole = data[: len(data) // RECORD.size * RECORD.size]
        return [(request_id.rstrip(b"\0"), at) for request_id, at in RECORD.iter_unpack(whole)]

    def close(self, is_last: bool) -> None:
        """Closes the file, and removes it if no other process of the proxy runs."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
        if is_last:
            with suppress(OSError):
                os.unlink(self.path)

    def _remove_half_record(self) -> None:
        """Removes what a kill or a lack of space left of a record, behind which others could not be read."""
        size = os.fstat(self.descriptor).st_size
        if size % RECORD.size:
            os.ftruncate(self.descriptor, size - size % RECORD.size)

    def _fail(self, error: OSError) -> None:
        self._log_failure(error)
        self.close(is_last=False)

    def _log_failure(self, error: OSError) -> None:
        reason = error.strerror or str(error)
        log.warning("ids of departed clients not shared", extra={"file": self.path, "reason": reason})
