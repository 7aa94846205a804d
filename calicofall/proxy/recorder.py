"""Records what a proxy's router is told and decides, and writes the segments from a thread of its own.

Invariants: the event loop does not wait for the disk; nothing is raised into the proxy; at most
MAX_PENDING_BYTES wait for the thread; trouble with the disk costs nothing but the record: one line in the
log, and a count.
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

MAX_PENDING_BYTES = 4 << 20  # that wait for the thread
RETRY_AFTER_S = 5.0  # after an error of the disk
TURN_INTERVAL_S = 0.25
CLOSE_TIMEOUT_S = 1.0
log = logging.getLogger("calicofall")


@dataclass(frozen=True, slots=True)
class SaveSegments:
    """Link all segments into a folder."""

    folder: Path


Job = Step | SaveSegments


def _size(job: Job) -> int:
    """Bytes that a job holds while it waits."""
    return len(job.content) if isinstance(job, BeginSegment | AppendFrame) else 0


class Recorder:
    """The record of one proxy process.

    Attributes:
        notes: Whether notes of the proxy's own are recorded.
        segment_writer: Cuts events into segments; set by `make`, as is `router`.
        router: The router that is recorded.
        files: The files, used by the thread alone.
        pending: Jobs for the thread.
        pending_bytes: Bytes that these jobs hold.
        lost: Jobs that failed or came after one that did.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: RecordSettings,
        proxy_name: str,
        incarnation: str,
        system_clock: Callable[[], float],
    ) -> None:
        """Prepares a record; it begins with `make` and `start`.

        Args:
            loop: The proxy's event loop.
            settings: Settings of the record.
            proxy_name: The proxy's name.
            incarnation: Tells this process from others of the same proxy.
            system_clock: The system's time (s).
        """
        self.loop = loop
        self.settings = settings
        self.proxy_name = proxy_name
        self.incarnation = incarnation
        self.system_clock = system_clock
        self.naming: Naming = NoPseudonyms()
        if settings.secret is not None:
            self.naming = Pseudonymizer(settings.secret.encode())
        self.notes = settings.level is RecordLevel.PROXY
        self.files = SegmentFiles(settings, proxy_name, incarnation)
        self.pending: deque[Job] = deque()
        self.pending_bytes = 0
        self.lost = 0
        self.closing = False
        self.job_added = threading.Event()
        self.thread = threading.Thread(target=self.run, name="record", daemon=True)
        self._lock = threading.Lock()
        self._saves = 0
        self._disk_failed_at = -RETRY_AFTER_S  # on the loop's clock
        self._error_logged = False  # since the last segment that could be begun
        self._timer: asyncio.TimerHandle | None = None

    # On the event loop

    def make(
        self, settings: dict[str, Any], seed: int, now: float, has_slots: bool, slot_clock_offset_ms: float
    ) -> RecordingRouter:
        """Makes the router whose record this is.

        Args:
            settings: The router's settings.
            seed: Of the router's random numbers.
            now: The moment on the router's clock (ms).
            has_slots: Whether it has rate slots at the origin.
            slot_clock_offset_ms: From the slots' clock to the router's.
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

    def note(self, what: str, **values: Any) -> None:
        """Records a note of the proxy's own; called only where `notes` is set."""
        if values.get("key") is not None:
            values["key"] = self.naming.key(values["key"])
        if values.get("tenant") is not None:
            values["tenant"] = self.naming.tenant(values["tenant"])
        self.segment_writer.add_event(encode_event(ProxyNote(self.system_clock() * 1000.0, what, values)))

    def start(self) -> None:
        """Starts the thread and the turns."""
        self.thread.start()
        self.turn()

    def turn(self, save: SaveSegments | None = None) -> None:
        """Hands what was recorded since the last turn to the thread.

        Args:
            save: To be done between the segment that ends and the one that begins.
        """
        now = self.loop.time()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(now + TURN_INTERVAL_S, self.turn)
        with self._lock:
            disk_works = now - self._disk_failed_at >= RETRY_AFTER_S
            room = MAX_PENDING_BYTES - self.pending_bytes if disk_works else 0
        try:
            jobs: list[Job] = [*self.segment_writer.next_steps(now, room)]
            if save is not None:
                begins = [place for place, job in enumerate(jobs) if isinstance(job, BeginSegment)]
                jobs.insert(begins[0] if begins else len(jobs), save)
            self._add_jobs(jobs)
        except Exception as reason:  # whatever it is, it must cost no more than the record
            self.segment_writer.events.clear()
            self.segment_writer.on_step_lost()
            self._log_error(repr(reason))

    def _add_jobs(self, jobs: Sequence[Job]) -> None:
        with self._lock:
            self.pending.extend(jobs)
            self.pending_bytes += sum(map(_size, jobs))
        if jobs:
            self.job_added.set()

    def save(self) -> str:
        """Keeps what has been recorded so far in a folder of its own, and returns the folder."""
        self._saves += 1
        folder = self.files.save_folder(self._saves)
        self.segment_writer.end_segment()
        self.turn(SaveSegments(folder))
        return str(folder)

    def lines(self) -> list[str]:
        """Figures for operators, a line each."""
        return [
            f"record.events:{self.segment_writer.events_written}",
            f"record.dropped:{self.segment_writer.events_dropped}",
            f"record.lost:{self.lost}",
            f"record.segments:{self.files.begun}",
            f"record.bytes:{self.files.bytes_written}",
            f"record.waiting_bytes:{self.pending_bytes}",
        ]

    def close(self) -> None:
        """Hands over the last events and ends the thread, but waits for it only for a moment."""
        if self._timer is not None:
            self._timer.cancel()
        if self.thread.is_alive():
            with suppress(Exception):
                self._add_jobs(self.segment_writer.next_steps(self.loop.time(), MAX_PENDING_BYTES))
            self.closing = True
            self.job_added.set()
            self.thread.join(CLOSE_TIMEOUT_S)

    # In the thread

    def run(self) -> None:
        """Carries out jobs until `close`."""
        while True:
            self.job_added.wait()
            self.job_added.clear()
            while self.pending:
                self._carry_out(self.pending.popleft())
            if self.closing:
                self.files.abandon()
                return

    def _carry_out(self, job: Job) -> None:
        try:
            self._do(job)
        except (OSError, MemoryError) as reason:
            # A disk that is full, slow, missing or read-only costs this segment; the proxy goes on.
            self._on_disk_failed(reason)
            self.files.abandon()
        finally:
            with self._lock:
                self.pending_bytes -= _size(job)

    def _do(self, job: Job) -> None:
        match job:
            case BeginSegment(head):
                self.files.begin(head)
                self._error_logged = False
            case AppendFrame(content) if self.files.is_open():
                self.files.append(content)
            case AppendFrame():
                self.lost += 1  # of a segment that has failed
            case EndSegment():
                self.files.end()
            case SaveSegments(folder):
                self.files.save(folder)

    def _on_disk_failed(self, reason: OSError | MemoryError) -> None:
        self.lost += 1
        self._disk_failed_at = self.loop.time()
        self.segment_writer.on_step_lost()
        self._log_error(getattr(reason, "strerror", None) or repr(reason))

    def _log_error(self, reason: str) -> None:
        """Logs the first error since a segment could be begun."""
        if not self._error_logged:
            self._error_logged = True
            log.warning("record not written", extra={"folder": str(self.files.folder), "reason": reason})
