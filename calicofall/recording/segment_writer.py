"""Cuts a stream of events into segments that can each be replayed by themselves.

    begins   with the head: the first segment with the router's arguments, every later one with its state
    grows    by a frame each turn, while the writer has room and the average rate of bytes is kept
    ends     by age, by size, or because events were dropped; the next begins when there is room for its head

A turn costs the event loop the time to encode the events; a state is encoded once a segment.

Invariants: no file is touched here; what is held is bounded; a segment does not go on past dropped events:
they end it, and the next one begins with the router's state.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from calicofall.recording import frames
from calicofall.recording.record_settings import RecordSettings, parse_record_settings

__all__ = ["AppendFrame", "BeginSegment", "EndSegment", "SegmentWriter", "Step", "parse_record_settings"]

MAX_EVENTS = 20_000  # between two turns
BURST_S = 4.0  # of the average rate, so much may be saved up
HEAD_RESERVE_BYTES = 1 << 20  # a segment begins only when so much may be written


@dataclass(frozen=True, slots=True)
class BeginSegment:
    """A new file, with this head (JSON text)."""

    content: bytes


@dataclass(frozen=True, slots=True)
class AppendFrame:
    """A frame of events (JSON text)."""

    content: bytes


@dataclass(frozen=True, slots=True)
class EndSegment:
    """The file is whole."""


Step = BeginSegment | AppendFrame | EndSegment


class SegmentWriter:
    """The segments of one router's record."""

    def __init__(
        self,
        settings: RecordSettings,
        head: dict[str, Any],
        encode_state: Callable[[], dict[str, Any]],
        now: float,
    ) -> None:
        """Begins a record.

        Args:
            settings: Bounds of segments and of the rate of bytes.
            head: The head of every segment, but for its number and state.
            encode_state: The router's state now.
            now: The moment (s), on the clock of `turn`.
        """
        self.settings = settings
        self.head = head
        self.events: list[list[Any]] = []
        self.events_written = 0
        self.events_dropped = 0
        self._encode_state = encode_state
        self._complete = True  # nothing was dropped or lost since the segment, or the process, began
        self._segment_number = 0
        self._segment_open = False
        self._segment_began_at = now
        self._segment_bytes = 0
        self._max_budget = max(BURST_S * settings.bytes_per_s, HEAD_RESERVE_BYTES)
        self._budget = self._max_budget  # bytes that may be written now
        self._budget_at = now

    def add_event(self, event: list[Any]) -> None:
        """Takes a stored event. Does not fail: where there are too many, they are dropped and counted."""
        if len(self.events) >= MAX_EVENTS:
            self._drop_events()
        self.events.append(event)

    def end_segment(self) -> None:
        """Lets the segment end with the next turn."""
        self._segment_began_at = -inf

    def on_step_lost(self) -> None:
        """A step that was handed out was not carried out: the segment has a gap, and ends."""
        self._complete = False

    def next_steps(self, now: float, available_bytes: float) -> list[Step]:
        """The steps to carry out next, in their order.

        Args:
            now: The moment (s).
            available_bytes: How many bytes the caller can accept now.
        """
        earned = (now - self._budget_at) * self.settings.bytes_per_s
        self._budget = min(self._max_budget, self._budget + earned)
        self._budget_at = now
        steps: list[Step] = []
        if self._segment_open and self._segment_is_full(now):
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

    def _segment_is_full(self, now: float) -> bool:
        return (
            not self._complete
            or now - self._segment_began_at >= self.settings.segment_s
            or self._segment_bytes >= self.settings.segment_bytes
        )

    def _begin_segment(self, now: float) -> BeginSegment:
        state = None
        if self._segment_number > 0 or not self._complete:
            # What waits here was handed to the router before, so that it is in the state.
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
        """A frame of the events that wait; none where they are too many for the room or the rate."""
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
