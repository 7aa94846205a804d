"""Divides a stream of events into segments, each of which can be replayed without the others.

    begin    with the head: the first segment with the router's arguments, every later one with its state
    append   one frame per call, while the caller accepts the bytes and the average write rate is kept
    end      by age, by size, or because events were dropped; the next segment begins when its head fits

Each call of `next_steps` takes the event loop the time to encode the events. The state is encoded once per
segment.

Invariants: this module accesses no files; the memory that it holds is bounded; a segment does not continue
after dropped events, which end it, and the next one begins with the router's state.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from calicofall.recording import frames
from calicofall.recording.record_settings import RecordSettings, parse_record_settings

__all__ = ["AppendFrame", "BeginSegment", "EndSegment", "SegmentWriter", "Step", "parse_record_settings"]

MAX_EVENTS = 20_000  # held between two calls of `next_steps`
BURST_S = 4.0  # budget that may accumulate, in seconds of the average write rate
HEAD_RESERVE_BYTES = 1 << 20  # minimum space and budget for a segment to begin


@dataclass(frozen=True, slots=True)
class BeginSegment:
    """Create a file with this head (JSON text)."""

    content: bytes


@dataclass(frozen=True, slots=True)
class AppendFrame:
    """Append a frame of events (JSON text) to the file."""

    content: bytes


@dataclass(frozen=True, slots=True)
class EndSegment:
    """Complete the file."""


Step = BeginSegment | AppendFrame | EndSegment


class SegmentWriter:
    """Divides the record of one router into segments."""

    def __init__(
        self,
        settings: RecordSettings,
        head: dict[str, Any],
        encode_state: Callable[[], dict[str, Any]],
        now: float,
    ) -> None:
        """Begins a record.

        Args:
            settings: Limits of segments and of the write rate.
            head: The head of every segment, except its number and state.
            encode_state: Returns the router's current state.
            now: Current time on the clock of `next_steps` (s).
        """
        self.settings = settings
        self.head = head
        self.events: list[list[Any]] = []
        self.events_written = 0
        self.events_dropped = 0
        self._encode_state = encode_state
        self._complete = True  # whether no event was dropped or lost since the segment, or the process, began
        self._segment_number = 0
        self._segment_open = False
        self._segment_began_at = now
        self._segment_bytes = 0
        self._max_budget = max(BURST_S * settings.bytes_per_s, HEAD_RESERVE_BYTES)
        self._budget = self._max_budget  # bytes that may be written now
        self._budget_at = now

    def add_event(self, event: list[Any]) -> None:
        """Adds a stored event. Never fails: at the limit, all pending events are dropped and counted."""
        if len(self.events) >= MAX_EVENTS:
            self._drop_events()
        self.events.append(event)

    def end_segment(self) -> None:
        """Makes the segment end at the next call of `next_steps`."""
        self._segment_began_at = -inf

    def on_step_lost(self) -> None:
        """Ends the segment, which has a gap because a step was not carried out."""
        self._complete = False

    def next_steps(self, now: float, available_bytes: float) -> list[Step]:
        """Returns the steps to carry out next, in order.

        Args:
            now: Current time (s).
            available_bytes: Number of bytes that the caller accepts now.
        """
        earned = (now - self._budget_at) * self.settings.bytes_per_s
        self._budget = min(self._max_budget, self._budget + earned)
        self._budget_at = now
        steps: list[Step] = []
        if self._segment_open and self._segment_must_end(now):
            if self._complete:
                steps += self._write_events(available_bytes)
            steps.append(EndSegment())
            self._segment_open = False
        if not self._segment_open:
            if min(available_bytes, self._budget) < HEAD_RESERVE_BYTES:
                if self.events:
                    self._drop_events()
                return steps
            steps.append(self._begin_segment(now))
        return steps + self._write_events(available_bytes)

    def _segment_must_end(self, now: float) -> bool:
        return (
            not self._complete
            or now - self._segment_began_at >= self.settings.segment_s
            or self._segment_bytes >= self.settings.segment_bytes
        )

    def _begin_segment(self, now: float) -> BeginSegment:
        state = None
        if self._segment_number > 0 or not self._complete:
            # The router has already processed the pending events, so its state includes them.
            if not self._complete:
                self.events_dropped += len(self.events)
            self.events.clear()
            state = self._encode_state()
        content = frames.encode_json(self.head | {"segment": self._segment_number, "state": state})
        self._segment_number += 1
        self._segment_began_at = now
        self._segment_bytes = 0
        self._segment_open = True
        self._complete = True
        self._charge(len(content))
        return BeginSegment(content)

    def _write_events(self, available_bytes: float) -> list[Step]:
        """Returns a frame of the pending events; drops them if they exceed the available space or budget."""
        if not self.events:
            return []
        content = frames.encode_json(self.events)
        if len(content) > min(available_bytes, self._budget):
            self._drop_events()
            return []
        self.events_written += len(self.events)
        self.events.clear()
        self._charge(len(content))
        return [AppendFrame(content)]

    def _drop_events(self) -> None:
        self.events_dropped += len(self.events)
        self.events.clear()
        self._complete = False

    def _charge(self, size: int) -> None:
        self._budget -= size
        self._segment_bytes += size
