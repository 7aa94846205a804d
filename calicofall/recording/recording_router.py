"""A router that records its inputs and decisions.

Invariants: recording changes no decision and raises no error into a router call; cached values are never
recorded, and neither are keys and tenant names if the operator sets a secret.
"""

from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from calicofall.fleet.rate_slots import OriginFetchSlots
from calicofall.recording import events, router_access
from calicofall.recording.pseudonymizer import Naming, NoPseudonyms, pseudonymized_settings
from calicofall.routing.actions import stored_action
from calicofall.routing.endpoint import PlacementConstraint
from calicofall.routing.endpoint_table import ListEntry
from calicofall.routing.request import Request
from calicofall.routing.router import Router


class RecordedSlots:
    """Wraps a proxy's rate slots at the origin and collects the slot times that were looked up."""

    def __init__(self, slots: OriginFetchSlots) -> None:
        self._slots = slots
        self._times: list[float] = []

    def due_at(self, now: float) -> float:
        """Returns the time of the next slot (s); see RateSlots."""
        due_at = self._slots.due_at(now)
        self._times.append(due_at)
        return due_at

    def take(self, now: float) -> float:
        """Takes a slot and returns its time (s); see RateSlots."""
        slot = self._slots.take(now)
        self._times.append(slot)
        return slot

    def take_times(self) -> list[float]:
        """Returns the times that were looked up since the last call, in order."""
        times = self._times
        self._times = []
        return times

    def __getattr__(self, name: str) -> Any:
        return getattr(self._slots, name)


class RecordingRouter(Router):
    """A router that passes every call, as a stored event, to `record`, which must not raise."""

    def __init__(
        self,
        settings: dict[str, Any],
        seed: int,
        now: float,
        record: Callable[[list[Any]], None],
        naming: Naming,
    ) -> None:
        super().__init__(settings, seed, now)
        self._record_stored = record
        self._naming = naming
        self._waits_drained_at = -1.0  # time at which no request with an ended wait was last left (ms)
        self._observe_policy()

    def _record(self, event: events.Event) -> None:
        self._record_stored(events.encode_event(event))

    def _observe_policy(self) -> None:
        """Records the calls that the router passes on to its policy."""
        policy = self.policy

        def on_endpoint_list(
            now: float, kind: str, version: int | None, entries: Iterable[ListEntry]
        ) -> None:
            listed = list(entries)
            self._record(events.EndpointListReceived(now, kind, version, listed))
            policy.on_endpoint_list(now, kind, version, listed)

        def on_gossip(now: float, peer: int, message: bytes) -> None:
            self._record(events.GossipReceived(now, peer, message.hex()))
            policy.on_gossip(now, peer, message)

        self.on_endpoint_list = on_endpoint_list
        self.on_gossip = on_gossip
        if not isinstance(self._naming, NoPseudonyms):
            router_access.observe_rankings(self, self._record_ranking)

    def _record_ranking(self, key: int, constraint: PlacementConstraint, endpoints: list[str]) -> None:
        names = [sorted(value) if value else None for value in constraint]
        self._record(events.KeyRanked(0.0, self._naming.key(key), names, endpoints))

    @property
    def origin_slots(self) -> Any:
        """The rate slots at the origin, if any; slots that are assigned here are recorded."""
        return self._slots

    @origin_slots.setter
    def origin_slots(self, slots: OriginFetchSlots | None) -> None:
        self._slots = RecordedSlots(slots) if slots is not None else None

    def _slot_times(self) -> list[float]:
        return self._slots.take_times() if self._slots is not None else []

    # Requests

    def route(self, now: float, request: Request) -> str | None:
        """Records the request, if it is new, and the decision."""
        if request.id not in self.active_requests:
            self._record(
                events.RequestReceived(
                    now,
                    request.id,
                    request.method,
                    None if request.tenant is None else self._naming.tenant(request.tenant),
                    self._naming.key(request.key),
                    request.write,
                    request.arrived_at,
                    request.expires_at,
                    request.client_retry,
                    request.estimated_work_ms,
                )
            )
        expires_at = request.expires_at
        endpoint = super().route(now, request)
        self._record(
            events.RequestRouted(
                now,
                request.id,
                expires_at,
                endpoint,
                request.answer,
                request.retry_after_ms,
                request.timeout_ms,
                self._slot_times(),
            )
        )
        return endpoint

    def report_attempt(  # noqa: PLR0913  # the signature of Router.report_attempt
        self,
        now: float,
        request: Request,
        attempt_index: int,
        outcome: str,
        latency_ms: float,
        cache_status: str | None = None,
        load_report: object = None,
        is_final: bool = False,
    ) -> str | None:
        """Records the outcome of an attempt, and the next decision."""
        expires_at = request.expires_at
        endpoint = super().report_attempt(
            now, request, attempt_index, outcome, latency_ms, cache_status, load_report, is_final
        )
        self._record(
            events.AttemptReported(
                now,
                request.id,
                attempt_index,
                outcome,
                latency_ms,
                cache_status,
                load_report,
                is_final,
                expires_at,
                endpoint,
                request.answer,
                request.retry_after_ms,
                request.timeout_ms,
                self._slot_times(),
            )
        )
        return endpoint

    def on_response_started(self, now: float, request: Request, attempt_index: int) -> None:
        """Records that the proxy started to pass a response to the client."""
        self._record(events.ResponseStarted(now, request.id, attempt_index))
        super().on_response_started(now, request, attempt_index)

    def on_client_disconnected(self, now: float, request: Request) -> list[int]:
        """Records that a client disconnected, and which attempts were cancelled."""
        cancelled = super().on_client_disconnected(now, request)
        self._record(events.ClientDisconnected(now, request.id, cancelled))
        return cancelled

    def next_due_request(self, now: float) -> Request | None:
        """Records the request whose wait has ended, if any."""
        request = super().next_due_request(now)
        self._waits_drained_at = now
        if request is not None:
            self._record(events.WaitEnded(now, request.id))
        return request

    def tick(self, now: float) -> float:
        """Records the time until the next tick, and the log lines and actions that this tick added."""
        line_count, action_count = len(self.log_lines), len(self.actions)
        wait_ms = super().tick(now)
        self._record(
            events.Ticked(
                now,
                wait_ms if wait_ms < inf else None,
                self._waits_drained_at == now,
                self.log_lines[line_count:],
                [
                    [value.hex() if isinstance(value, bytes) else value for value in stored_action(action)]
                    for action in self.actions[action_count:]
                ],
            )
        )
        return wait_ms

    # Inputs from other components of the proxy

    def set_process_count(self, count: int) -> None:
        """Records the number of processes of this proxy."""
        self._record(events.ProcessCountSet(0.0, count))
        super().set_process_count(count)

    def restore_learned_state(self, now: float, learned: dict[str, dict[str, float]]) -> None:
        """Records the state that a previous incarnation had learned."""
        self._record(events.LearnedStateRestored(now, learned))
        super().restore_learned_state(now, learned)

    def apply_settings(self, now: float, deployment: dict[str, Any]) -> None:
        """Records new settings that are applied while the router runs."""
        self._record(events.SettingsApplied(now, pseudonymized_settings(deployment, self._naming)))
        super().apply_settings(now, deployment)

    def set_quota_shares(self, quotas: dict[str, float], endpoint_rate: float | None) -> None:
        """Records this proxy's shares of quotas and of the request rate of an endpoint."""
        named = {self._naming.tenant(name): quota for name, quota in quotas.items()}
        self._record(events.QuotaSharesSet(0.0, named, endpoint_rate))
        super().set_quota_shares(quotas, endpoint_rate)

    def reinstate(self, now: float, name: str) -> None:
        """Records that the proxies agreed that an endpoint is not an outlier."""
        self._record(events.EndpointReinstated(now, name))
        super().reinstate(now, name)

    def eject_on_evidence(self, now: float, name: str) -> None:
        """Records that the proxies agreed that an endpoint is an outlier."""
        self._record(events.EndpointEjected(now, name))
        super().eject_on_evidence(now, name)
