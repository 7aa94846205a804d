"""Replays a record: makes the same calls to a new router and compares its decisions with the recorded ones.

A strict replay stops at the first difference. A replay that is not strict, with other settings or another
version of the program, counts the decisions that differ and then follows the recorded decision, because the
events after it are its consequences.

This module is also loaded on its own together with another version of the program (`replay --with FOLDER`).
From that version it uses the router, requests and attempts, and whatever `router_access` and `state_schema`
use.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from math import inf
from typing import Any

from calicofall.recording import events, router_access
from calicofall.recording.events import Event, RecordedDecision, decode_event
from calicofall.routing.actions import stored_action
from calicofall.routing.endpoint import PlacementConstraint
from calicofall.routing.request import Request
from calicofall.routing.router import Router

PRECEDING_EVENTS_SHOWN = 12  # number of events that are shown before a difference

RestoreState = Callable[[Router, dict[str, Any]], None]


class ReplayedSlots:
    """Rate slots at the origin that return the recorded times, in the recorded order."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()
        self.demand = self  # the router counts unmet demand with `demand.add`, which a replay ignores

    def set_times(self, times: Iterable[float]) -> None:
        """Sets the times that the next calls return (s)."""
        self._times = deque(times)

    def due_at(self, _now: float) -> float:
        """Returns the next recorded time (s); 0, so no wait, if the router makes more calls."""
        return self._times.popleft() if self._times else 0.0

    take = due_at  # a slot that is taken is recorded by its time, too

    def return_slot(self, _now: float, _slot: float) -> None:
        """Ignores a slot that was returned unused."""

    def add(self, _now: float) -> None:
        """Ignores unmet demand for a slot."""


class ReplayMismatchError(Exception):
    """The first difference between a record and its replay.

    Attributes:
        event: Stored form of the event that differs.
        recorded: Values in the record.
        replayed: Values that the router returned in the replay.
        router_summary: Key figures of the router at that time.
        preceding_events: Stored form of the events before it.
    """

    def __init__(
        self,
        event: list[Any],
        recorded: Any,
        replayed: Any,
        router_summary: dict[str, Any],
        preceding_events: list[list[Any]],
    ) -> None:
        super().__init__(f"{event[0]} at {event[1]:.3f} ms: recorded {recorded}, replayed {replayed}")
        self.event = event
        self.recorded = recorded
        self.replayed = replayed
        self.router_summary = router_summary
        self.preceding_events = preceding_events


class Replayer:
    """Replays a record on a router.

    Attributes:
        router: The router.
        strict: Whether the first difference ends the replay.
        event_count: Number of events replayed so far.
        decision_count: Number of decisions compared so far.
        differences: Number of differing decisions by "recorded outcome -> replayed outcome".
        requests: Requests in flight, by id.
    """

    def __init__(
        self,
        head: dict[str, Any],
        restore_state: RestoreState,
        settings: dict[str, Any] | None = None,
        strict: bool = True,
    ) -> None:
        """Creates the router and restores the state in the head, if there is one.

        Args:
            head: The head of the record.
            restore_state: Restores a stored state into a router.
            settings: Settings of the router; None selects those of the record.
            strict: Whether the first difference ends the replay.
        """
        self.strict = strict
        self.event_count = 0
        self.decision_count = 0
        self.differences: Counter[str] = Counter()
        self.router = Router(settings or head["deployment"], int(head["seed"]), head["now"])
        # In the head, `wall` is the offset from the clock of the slots to the router's (ms), `turns` whether
        # there are rate slots at the origin, and `veiled` whether keys are pseudonyms, which rank endpoints
        # differently from the keys, so that the record contains the rankings.
        self.router.slot_clock_offset_ms = head.get("wall", 0.0)
        if head.get("state") is not None:
            restore_state(self.router, head["state"])
        self._slots = ReplayedSlots() if head.get("turns") else None
        self.router.origin_slots = self._slots  # type: ignore[assignment]  # has the same methods
        self._rankings: dict[tuple[int | None, PlacementConstraint], list[str]] = {}
        if head.get("veiled"):
            router_access.use_rankings(self.router, self._rankings)
        self._stored: list[Any] = []  # stored form of the event that is being replayed
        self._preceding_events: deque[list[Any]] = deque(maxlen=PRECEDING_EVENTS_SHOWN)
        self.requests: dict[str, Request] = dict(self.router.active_requests)
        self._handlers = self._handlers_by_type()

    def replay(self, frames: Iterable[list[list[Any]]]) -> None:
        """Replays all events of the frames.

        Raises:
            ReplayMismatchError: A value differs, in a strict replay.
            KeyError: An event refers to an unknown request or method.
            ValueError: The kind of an event is unknown, or the number of its fields is not that of the kind.
            TypeError: An event is not a list.
        """
        for frame in frames:
            for stored in frame:
                self.replay_event(stored)

    def replay_event(self, stored: list[Any]) -> Event:
        """Replays one stored event and returns it decoded; raises the same errors as `replay`."""
        self._stored = stored
        event = decode_event(stored)
        self._handlers[type(event)](event)
        self.event_count += 1
        self._preceding_events.append(stored)
        return event

    def _handlers_by_type(self) -> dict[type[Event], Callable[[Any], None]]:
        """Returns the method that replays an event, by type of event."""
        return {
            events.EndpointListReceived: self._replay_endpoint_list,
            events.GossipReceived: self._replay_gossip,
            events.RequestReceived: self._replay_request,
            events.RequestRouted: self._replay_route,
            events.AttemptReported: self._replay_attempt,
            events.ResponseStarted: self._replay_response_started,
            events.ClientDisconnected: self._replay_client_disconnected,
            events.WaitEnded: self._replay_wait_ended,
            events.Ticked: self._replay_tick,
            events.ProcessCountSet: self._replay_process_count,
            events.LearnedStateRestored: self._replay_learned_state,
            events.SettingsApplied: self._replay_settings,
            events.QuotaSharesSet: self._replay_quota_shares,
            events.EndpointReinstated: self._replay_reinstated,
            events.EndpointEjected: self._replay_ejected,
            events.KeyRanked: self._replay_ranking,
            events.ProxyNote: self._replay_note,
        }

    # Inputs of the router

    def _replay_endpoint_list(self, event: events.EndpointListReceived) -> None:
        entries = [tuple(entry) for entry in event.entries]
        self.router.on_endpoint_list(event.at_ms, event.kind, event.version, entries)

    def _replay_gossip(self, event: events.GossipReceived) -> None:
        self.router.on_gossip(event.at_ms, event.sender, bytes.fromhex(event.message_hex))

    def _replay_request(self, event: events.RequestReceived) -> None:
        self.requests[event.request_id] = Request(
            event.request_id,
            event.method,
            event.tenant,
            event.key,
            event.write,
            event.arrived_at_ms,
            event.expires_at_ms,
            event.client_retry,
            estimated_work_ms=event.estimated_work_ms,
        )

    def _replay_ranking(self, event: events.KeyRanked) -> None:
        zones, kinds = (frozenset(value) if value else None for value in event.constraint)
        self._rankings[event.key, (zones, kinds)] = event.endpoints

    def _replay_process_count(self, event: events.ProcessCountSet) -> None:
        self.router.set_process_count(event.process_count)

    def _replay_learned_state(self, event: events.LearnedStateRestored) -> None:
        self.router.restore_learned_state(event.at_ms, event.learned)

    def _replay_settings(self, event: events.SettingsApplied) -> None:
        self.router.apply_settings(event.at_ms, event.settings)

    def _replay_quota_shares(self, event: events.QuotaSharesSet) -> None:
        self.router.set_quota_shares(event.quotas, event.endpoint_rate)

    def _replay_reinstated(self, event: events.EndpointReinstated) -> None:
        self.router.reinstate(event.at_ms, event.endpoint)

    def _replay_ejected(self, event: events.EndpointEjected) -> None:
        self.router.eject_on_evidence(event.at_ms, event.endpoint)

    def _replay_note(self, event: events.ProxyNote) -> None:
        """Ignores a note, which is no input of the router."""

    # Decisions of the router

    def _replay_route(self, event: events.RequestRouted) -> None:
        request = self.requests[event.request_id]
        request.expires_at = event.expires_at_ms
        self._use_slot_times(event.slot_times)
        # After a decision that differed, the request may wait here longer than in the record.
        if not self.strict:
            router_access.forget_waits(self.router, request)
        endpoint = self.router.route(event.at_ms, request)
        self._compare_decision(event.at_ms, request, event.decision, endpoint)

    def _replay_attempt(self, event: events.AttemptReported) -> None:
        request = self.requests[event.request_id]
        request.expires_at = event.expires_at_ms
        self._use_slot_times(event.slot_times)
        endpoint = self.router.report_attempt(
            event.at_ms,
            request,
            event.attempt,
            event.outcome,
            event.latency_ms,
            event.cache_status,
            event.load_report,
            event.is_final,
        )
        self._compare_decision(event.at_ms, request, event.decision, endpoint)

    def _replay_response_started(self, event: events.ResponseStarted) -> None:
        self.router.on_response_started(event.at_ms, self.requests[event.request_id], event.attempt)

    def _replay_client_disconnected(self, event: events.ClientDisconnected) -> None:
        request = self.requests[event.request_id]
        cancelled = self.router.on_client_disconnected(event.at_ms, request)
        self._compare(event.cancelled_attempts, cancelled)
        self._drop_if_done(request)

    def _replay_wait_ended(self, event: events.WaitEnded) -> None:
        request = self.router.next_due_request(event.at_ms)
        self._compare(event.request_id, request.id if request is not None else None)

    def _replay_tick(self, event: events.Ticked) -> None:
        now = event.at_ms
        # If no request whose wait had ended was left before this tick in the record, none may be left here.
        while event.waits_drained and (request := self.router.next_due_request(now)) is not None:
            self._compare(None, request.id)
        wait_ms = self.router.tick(now)
        log_lines, actions = (
            self.router.log_lines,
            [
                [value.hex() if isinstance(value, bytes) else value for value in stored_action(action)]
                for action in self.router.actions
            ],
        )
        self.router.log_lines, self.router.actions = [], []
        self._compare(
            [event.wait_ms, event.log_lines, event.actions],
            [wait_ms if wait_ms < inf else None, log_lines, actions],
        )

    def _use_slot_times(self, times: list[float]) -> None:
        if self._slots is not None:
            self._slots.set_times(times)

    def _drop_if_done(self, request: Request) -> None:
        """Removes a finished request once all of its attempts have an outcome."""
        if all(attempt.outcome for attempt in request.attempts):
            del self.requests[request.id]

    # Comparison

    def _compare_decision(
        self, now: float, request: Request, recorded: RecordedDecision, endpoint: str | None
    ) -> None:
        """Compares a decision; a replay that is not strict counts a difference and follows the record."""
        self.decision_count += 1
        replayed = RecordedDecision(endpoint, request.answer, request.retry_after_ms, request.timeout_ms)
        if replayed != recorded:
            self._compare([*recorded], [*replayed])
            # Only a different endpoint or answer counts as a difference; waits and timeouts may differ.
            if replayed[:2] != recorded[:2]:
                self.differences[f"{recorded.outcome()} -> {replayed.outcome()}"] += 1
                router_access.follow_decision(self.router, now, request, recorded)
        if request.finished:
            self._drop_if_done(request)

    def _compare(self, recorded: Any, replayed: Any) -> None:
        """Raises ReplayMismatchError if record and router differ; no effect if not strict."""
        if self.strict and recorded != replayed:
            router_summary = self.router_summary(self._stored)
            raise ReplayMismatchError(
                self._stored, recorded, replayed, router_summary, [*self._preceding_events]
            )

    # Output

    def router_summary(self, stored: list[Any] | None = None) -> dict[str, Any]:
        """Returns key figures of the router now, and the request that a stored event refers to, if any."""
        summary = router_access.describe_router(self.router)
        request = self._request_of(stored)
        if request is None or stored is None:
            return summary
        summary["rpc"] = {
            "id": request.id,
            "method": request.name,
            "key": request.key,
            "tenant": request.tenant,
            "sent": [
                f"{attempt.endpoint}:{attempt.outcome or 'out'}:{attempt.sent_at - request.arrived_at:.0f}"
                for attempt in request.attempts
            ],
        }
        ranking = router_access.describe_ranking(self.router, stored[1], request)
        if ranking is not None:
            summary["ranking"] = ranking
        return summary

    def _request_of(self, stored: list[Any] | None) -> Request | None:
        """Returns the request that a stored event refers to, if it is known."""
        # A stored event is its kind, its time and its other fields; the first of these is a request's id, if
        # the event is about one.
        if not stored or len(stored) <= 2 or not isinstance(stored[2], str):
            return None
        return self.requests.get(stored[2])


def events_of(frames: Iterable[list[list[Any]]]) -> Iterator[list[Any]]:
    """Yields the stored events of the frames."""
    for frame in frames:
        yield from frame
