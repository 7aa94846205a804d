"""The memory of this process beside its limit: measured, logged when it comes near the limit, and counted."""

import logging
from collections.abc import Callable, Mapping
from os import sysconf

STATM_PATH = "/proc/self/statm"
RESIDENT_PAGES_FIELD = 1
MEBIBYTE = 1 << 20
WARNING_FRACTION = 0.9  # of the limit, from which on the resident memory is logged
LOG_INTERVAL_S = 10.0
log = logging.getLogger("calicofall")


def resident_bytes() -> int:
    """Returns the resident memory of this process; 0 where the system does not tell."""
    try:
        with open(STATM_PATH, "rb") as file:
            fields = file.read().split()
    except OSError:
        return 0
    return int(fields[RESIDENT_PAGES_FIELD]) * sysconf("SC_PAGE_SIZE")


class MemoryLimitError(OSError):
    """The program does not fit into the limit of memory; the message says how much it takes."""


class ProcessMemory:
    """Watches the resident memory.

    Args:
        limit_bytes: The limit of this process.
        now: Returns the time (s).
        usage: Returns what the proxy counts of its own memory, for the log.
    """

    def __init__(
        self, limit_bytes: int, now: Callable[[], float], usage: Callable[[], Mapping[str, int]]
    ) -> None:
        self.limit_bytes = limit_bytes
        self.now = now
        self.usage = usage
        self.peak_bytes = 0  # of the measurements
        self.next_log_at = 0.0

    def resident_mb(self) -> int:
        """Returns the resident memory (MiB)."""
        return resident_bytes() // MEBIBYTE

    def limit_mb(self) -> int:
        """Returns the limit (MiB)."""
        return self.limit_bytes // MEBIBYTE

    def require_room(self) -> None:
        """Checks that the program has room to serve; called once, as it starts.

        Raises:
            MemoryLimitError: It takes all of the limit already.
        """
        resident = resident_bytes()
        if resident >= self.limit_bytes:
            resident_mb = resident / MEBIBYTE
            raise MemoryLimitError(
                f"limits.memory_mb: a process takes {resident_mb:.1f} MB without a client, "
                f"and may have {self.limit_mb()}"
            )

    def check(self) -> None:
        """Measures the resident memory, and logs it when it is near the limit; called at intervals."""
        resident = resident_bytes()
        self.peak_bytes = max(self.peak_bytes, resident)
        if resident >= WARNING_FRACTION * self.limit_bytes and self.now() >= self.next_log_at:
            self.next_log_at = self.now() + LOG_INTERVAL_S
            log.warning("memory near its limit", extra=self.log_fields(resident))

    def log_fields(self, resident: int | None = None) -> dict[str, object]:
        """Returns the resident memory, the limit and what is counted, as the fields of a log line."""
        resident = resident_bytes() if resident is None else resident
        return {
            "resident_mb": round(resident / MEBIBYTE, 1),
            "peak_mb": round(max(self.peak_bytes, resident) / MEBIBYTE, 1),
            "limit_mb": self.limit_mb(),
            **self.usage(),
        }
