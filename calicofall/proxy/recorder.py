"""Records the inputs and decisions of a proxy's router, and writes the segments in a thread of its own.

Invariants: the event loop does not wait for the disk; no exception reaches the proxy; at most
MAX_PENDING_BYTES wait for the thread; a disk error affects nothing but the record: it is logged once and
counted.
"""

import asyncio
import logging
import threading
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from calicofall import __version__
from calicofall.proxy.segment_files import SegmentFiles
from calicofall.recording import state_codec
from calicofall.recording.events import ProxyNote, encode_event
from calicofall.recording.pseudonymizer import Naming, NoPseudonyms, Pseudonymizer, pseudonymized_settings
from calicofall.recording.record_settings import RecordLevel, RecordSettings
from calicofall.recording.recording_router import RecordingRouter
from calicofall.recording.segment_writer import AppendFrame, BeginSegment, EndSegment, SegmentWriter, Step

MAX_PENDING_BYTES = 4 << 20  # largest size of the jobs that wait for the thread
RETRY_AFTER_S = 5.0  # time after a disk error in which nothing is written
FLUSH_INTERVAL_S = 0.25  # time between two flushes of events to the thread
CLOSE_TIMEOUT_S = 1.0  # longest time that closing waits for the thread
log = logging.getLogger("calicofall")


@dataclass(frozen=True, slots=True)
class SaveSegments:
    """A job that links all segments into a folder."""

    folder: Path


Job = Step | SaveSegments


def _size(job: Job) -> int:
    """Returns the bytes that a job holds while it waits."""
    return len(job.content) if isinstance(job, BeginSegment | AppendFrame) else 0


class Recorder:
    """The record of one proxy process.

    Attributes:
        records_notes: Whether the proxy's own notes are recorded, beside the router's events.
        segment_writer: Divides the events into segments; set by `make_router`, as is `router`.
        router: The router that is recorded.
        files: The files, used by the thread alone.
        pending: Jobs for the thread.
        pending_bytes: Bytes that these jobs hold.
        lost_jobs: Number of jobs that failed or belonged to a segment that had failed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: RecordSettings,
        proxy_name: str,
        incarnation: str,
        system_clock: Callable[[], float],
    ) -> None:
        """Prepares a record; `make_router` and `start` begin it.

        Args:
            loop: The proxy's event loop.
            settings: The settings of the record.
            proxy_name: The proxy's name.
            incarnation: Distinguishes this process from others of the same proxy.
            system_clock: Returns the system's time (s).
        """
        self.loop = loop
        self.settings = settings
        self.proxy_name = proxy_name
        self.incarnation = incarnation
        self.system_clock = system_clock
        self.naming: Naming = NoPseudonyms()
        if settings.secret is not None:
            self.naming = Pseudonymizer(settings.secret.encode())
        self.records_notes = settings.level is RecordLevel.PROXY
        self.files = SegmentFiles(settings, proxy_name, incarnation)
        self.pending: deque[Job] = deque()
        self.pending_bytes = 0
        self.lost_jobs = 0
        self.closing = False
        self.job_added = threading.Event()
        self.thread = threading.Thread(target=self.run, name="record", daemon=True)
        self._lock = threading.Lock()
        self._saves = 0
        self._disk_failed_at = -RETRY_AFTER_S  # s, on the loop's clock
        self._error_logged = False  # whether an error was logged since a segment last began
        self._timer: asyncio.TimerHandle | None = None

    # On the event loop

    def make_router(
        self, settings: dict[str, Any], seed: int, now: float, has_slots: bool, slot_clock_offset_ms: float
    ) -> RecordingRouter:
        """Creates the router that is recorded.

        Args:
            settings: The router's settings.
            seed: The seed of the router's random numbers.
            now: The time on the router's clock (ms).
            has_slots: Whether the router has rate slots at the origin.
            slot_clock_offset_ms: The offset from the clock of the slots to the router's.
        """
        head = {
            "program": "calicofall",
            "version": __version__,
            "proxy": self.proxy_name,
            "life": self.incarnation,
            "wall": slot_clock_offset_ms,
            "began": self.system_clock(),
            "level": self.settings.level,
            "now": now,
            "seed": str(seed),
            "turns": has_slots,
            "veiled": self._has_pseudonyms(),
            "deployment": pseudonymized_settings(settings, self.naming),
        }
        self.segment_writer = SegmentWriter(self.settings, head, self._encode_state, self.loop.time())
        self.router = RecordingRouter(settings, seed, now, self.segment_writer.add_event, self.naming)
        return self.router

    def _has_pseudonyms(self) -> bool:
        return not isinstance(self.naming, NoPseudonyms)

    def _encode_state(self) -> dict[str, Any]:
        return state_codec.encode_state(self.router, self.naming if self._has_pseudonyms() else None)

    def note(self, event: str, **values: Any) -> None:
        """Records a note of the proxy; called only if `records_notes` is set."""
        if values.get("key") is not None:
            values["key"] = self.naming.key(values["key"])
        if values.get("tenant") is not None:
            values["tenant"] = self.naming.tenant(values["tenant"])
        self.segment_writer.add_event(encode_event(ProxyNote(self.system_clock() * 1000.0, event, values)))

    def start(self) -> None:
        """Starts the thread and the periodic flushes."""
        self.thread.start()
        self.flush()

    def flush(self, save_job: SaveSegments | None = None) -> None:
        """Passes the events recorded since the last flush to the thread, and schedules the next flush.

        Args:
            save_job: A job to run between the segment that ends and the one that begins.
        """
        now = self.loop.time()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(now + FLUSH_INTERVAL_S, self.flush)
        with self._lock:
            disk_works = now - self._disk_failed_at >= RETRY_AFTER_S
            free_bytes = MAX_PENDING_BYTES - self.pending_bytes if disk_works else 0
        try:
            jobs: list[Job] = [*self.segment_writer.next_steps(now, free_bytes)]
            if save_job is not None:
                begin_indexes = [index for index, job in enumerate(jobs) if isinstance(job, BeginSegment)]
                jobs.insert(begin_indexes[0] if begin_indexes else len(jobs), save_job)
            self._enqueue(jobs)
        except Exception as error:  # no error may affect anything but the record
            self.segment_writer.events.clear()
            self.segment_writer.on_step_lost()
            self._log_error(repr(error))

    def _enqueue(self, jobs: Sequence[Job]) -> None:
        with self._lock:
            self.pending.extend(jobs)
            self.pending_bytes += sum(map(_size, jobs))
        if jobs:
            self.job_added.set()

    def save(self) -> str:
        """Saves what has been recorded so far in a folder of its own, and returns the folder."""
        self._saves += 1
        folder = self.files.save_folder(self._saves)
        self.segment_writer.end_segment()
        self.flush(SaveSegments(folder))
        return str(folder)

    def format_lines(self) -> list[str]:
        """Returns the metrics lines on the record."""
        return [
            f"record.events:{self.segment_writer.events_written}",
            f"record.dropped:{self.segment_writer.events_dropped}",
            f"record.lost:{self.lost_jobs}",
            f"record.segments:{self.files.segments_begun}",
            f"record.bytes:{self.files.bytes_written}",
            f"record.waiting_bytes:{self.pending_bytes}",
        ]

    def close(self) -> None:
        """Passes on the last events and ends the thread, for which it waits CLOSE_TIMEOUT_S at most."""
        if self._timer is not None:
            self._timer.cancel()
        if self.thread.is_alive():
            with suppress(Exception):
                self._enqueue(self.segment_writer.next_steps(self.loop.time(), MAX_PENDING_BYTES))
            self.closing = True
            self.job_added.set()
            self.thread.join(CLOSE_TIMEOUT_S)

    # In the thread

    def run(self) -> None:
        """Runs jobs until `close` is called."""
        while True:
            self.job_added.wait()
            self.job_added.clear()
            while self.pending:
                self._run_job(self.pending.popleft())
            if self.closing:
                self.files.abandon()
                return

    def _run_job(self, job: Job) -> None:
        try:
            self._execute(job)
        except (OSError, MemoryError) as error:
            # If the disk is full, slow, missing or read-only, this segment is lost; the proxy continues.
            self._on_disk_failed(error)
            self.files.abandon()
        finally:
            with self._lock:
                self.pending_bytes -= _size(job)

    def _execute(self, job: Job) -> None:
        match job:
            case BeginSegment(head):
                self.files.begin(head)
                self._error_logged = False
            case AppendFrame(content) if self.files.is_open():
                self.files.append(content)
            case AppendFrame():
                self.lost_jobs += 1  # the segment has failed
            case EndSegment():
                self.files.end()
            case SaveSegments(folder):
                self.files.save(folder)

    def _on_disk_failed(self, error: OSError | MemoryError) -> None:
        self.lost_jobs += 1
        self._disk_failed_at = self.loop.time()
        self.segment_writer.on_step_lost()
        self._log_error(getattr(error, "strerror", None) or repr(error))

    def _log_error(self, reason: str) -> None:
        """Logs the first error since a segment last began."""
        if not self._error_logged:
            self._error_logged = True
            log.warning("record not written", extra={"folder": str(self.files.folder), "reason": reason})
