"""Faulty variants of the proxy, each with one fault, to test that the testbed's checker finds the fault.

Run as `python tests/rogues.py NAME serve` in place of `python -m calicofall serve`. NAME is the name of the
function that patches the fault into the program. The package does not contain these variants.
"""

import sys

from calicofall.proxy import (
    client_connection,
    command_memory,
    discovery,
    request_lifecycle,
    server,
    upstream,
    upstream_connection,
)
from calicofall.proxy.active_request import ActiveRequest
from calicofall.proxy.request_lifecycle import RequestLifecycle
from calicofall.startup import connection_quotas, discovery_schedule, time_slots


def answers_twice() -> None:
    """Sends each successful reply twice."""
    complete = client_connection.PendingReply.complete

    def complete_twice(self: client_connection.PendingReply, answer: bytes) -> None:
        complete(self, answer + answer if answer[:1] == b"$" else answer)

    client_connection.PendingReply.complete = complete_twice


def answers_never() -> None:
    """Sends error replies, but no successful ones."""
    complete = client_connection.PendingReply.complete
    client_connection.PendingReply.complete = (
        lambda self, answer: complete(self, answer) if answer[:1] != b"$" else None
    )


def asks_at_once() -> None:
    """Asks the discovery service at once, and again 20 ms after each refusal, without waiting for a turn."""
    discovery_schedule.DiscoverySchedule.first_attempt_at = lambda self, now, part=1.0: now
    discovery_schedule.DiscoverySchedule.retry_at_after_refusal = lambda self, now, after=0.0: now + 0.02


def makes_up_for_turns() -> None:
    """Uses time slots that passed while the process was stopped."""
    time_slots.TimeSlots.is_expired = lambda self, slot, now: False


def opens_without_list() -> None:
    """Accepts clients before it has an endpoint list."""

    async def return_at_once(self: server.Proxy) -> None:
        pass

    server.Proxy.wait_for_list = return_at_once


def sends_after_drain() -> None:
    """Ignores every endpoint list after the first, and so goes on sending to endpoints that are drained."""
    on_endpoint_list = discovery.Discovery.on_endpoint_list
    received: list[bool] = []

    def apply_first_only(self: discovery.Discovery, *arguments: object) -> None:
        if not received:
            received.append(True)
            on_endpoint_list(self, *arguments)

    discovery.Discovery.on_endpoint_list = apply_first_only


def two_out() -> None:
    """Sends a second copy while the first is in flight: a non-retriable request has its effect twice."""
    send = upstream.Upstreams.send

    def send_twice(
        self: upstream.Upstreams, name: str, active_request: ActiveRequest, *arguments: object
    ) -> None:
        send(self, name, active_request, *arguments)
        command = active_request.command
        pool = self.pools[name]
        other_pool = next((p for p in self.pools.values() if p is not pool and p.accepts_requests), None)
        if other_pool is not None:
            copy = upstream.UpstreamCommand(
                command.active_request,
                0,
                command.render,
                command.sent_at_ms,
                command.answer_due_at,
            )
            copy.timer, copy.finished = self.loop.call_later(9.0, lambda: None), True
            if (connection := other_pool.acquire(9.0)) is not None:
                self.may_send = lambda command: True  # skips the check before the bytes are written
                connection.send(copy)

    upstream.Upstreams.send = send_twice


def opens_beyond_share() -> None:
    """Starts handshakes without waiting for its share, and opens a new connection for each request."""
    connection_quotas.ConnectionQuotas.take_slot = lambda self, name, turn, now, wall, needed=True: now
    become_idle = upstream_connection.UpstreamConnection.become_idle

    def close(self: upstream_connection.UpstreamConnection) -> None:
        become_idle(self)
        self.abort()

    upstream_connection.UpstreamConnection.become_idle = close


def floods_cold() -> None:
    """Sends cold caches every request, without the limits of slow start."""
    from calicofall.routing.limits import Limits
    from calicofall.routing.slow_start import SlowStart

    SlowStart.admits = lambda self, now, key, endpoint, random_generator: True
    Limits.admits = lambda self, now, limit, request, low_traffic: True


def ignores_its_lease() -> None:
    """Keeps acting on a version after its lease has expired, also while cut off and after it was stopped."""
    from calicofall.fleet.configuration_agreement import ConfigurationAgreement
    from calicofall.proxy import configuration_sync

    leased_until = ConfigurationAgreement.leased_until
    ConfigurationAgreement.leased_until = lambda self, now: max(
        leased_until(self, now), now + 100.0 if self.effective_version else 0.0
    )
    configuration_sync.ConfigurationSync.refresh_if_due = lambda self: None


def never_halts() -> None:
    """Never halts the canary of a version that fails."""
    from calicofall.fleet.canary import Canary

    Canary.observe = lambda self, now, counts: not self.count_history and self.count_history.append(
        (now, counts)
    )


def tries_unasked() -> None:
    """Takes part in canaries that name other proxies as their members."""
    from calicofall.proxy import configuration_sync

    begin_canary = configuration_sync.ConfigurationSync.begin_canary
    configuration_sync.ConfigurationSync.begin_canary = lambda self, document, reasons: begin_canary(
        self,
        document._replace(canary=document.canary._replace(members=(self.proxy_number,), duration_s=20.0)),
        reasons,
    )


def lies_of_caches() -> None:
    """Reports that all requests fail at every cache, and asks its peers about all caches all the time."""
    from calicofall.fleet.outlier_consensus import OutlierConsensus

    build_evidence = OutlierConsensus._make_message
    OutlierConsensus._make_message = lambda self, now, *arguments: build_evidence(
        self, now, *arguments
    )._replace(successes=0, failures=10_000, last_success_age_ms=3_600_000)
    OutlierConsensus._endpoints_to_query = lambda self, now, doubted: sorted(
        self.listed, key=lambda cache: self.random_generator.random()
    )


def fetches_out_of_turn() -> None:
    """Sends requests that may need the origin at once, without waiting for an origin fetch slot."""
    from calicofall.fleet.rate_slots import OriginFetchSlots

    OriginFetchSlots.due_at = lambda self, now: now


def sends_beyond_its_part() -> None:
    """Exceeds its part of the in-flight quota of a cache: sends every request."""
    from calicofall.fleet.in_flight_quota import InFlightQuota

    begin = InFlightQuota.try_begin
    InFlightQuota.try_begin = (
        lambda self, now, name: begin(self, now, name)
        or bool(setattr(self.endpoints[name], "in_flight", self.endpoints[name].in_flight + 1))
        or True
    )


def takes_second_copies() -> None:
    """Takes a second copy of a reply for the reply to the next command on its connection."""
    connection = upstream_connection.UpstreamConnection
    connection.may_be_used = lambda self, now: True
    connection.is_second_copy = lambda self, value: False


def reads_late_replies() -> None:
    """Uses a connection again on which the reply to a command that was given up may still arrive."""

    def release(command: object, connection: upstream_connection.UpstreamConnection, outcome: str) -> str:
        connection.command = None
        connection.become_idle()
        return outcome

    upstream.Upstreams._withdraw = staticmethod(release)


def aborts_truncated_values() -> None:
    """Aborts a client's connection where a value breaks off, with the whole answers in front of it."""
    client_connection.PendingReply.truncate = lambda self: self.client.abort()


def writes_repeats_late() -> None:
    """Goes on writing a repeat after the window in which caches drop repeats, as it was begun within it."""
    RequestLifecycle.arrives_by = lambda self, command: float("inf")


def cuts_paused_replies() -> None:
    """Takes a reply that pauses for 60 ms for a broken one."""
    connection = upstream_connection.UpstreamConnection
    connection._incomplete_reply_due_at = lambda self: self.progress_at + 0.06


def reads_without_room() -> None:
    """Reads every value at once, whatever memory is in use, and keeps its reply until it is whole."""
    command_memory.CommandMemory._fits = lambda self, size: True
    command_memory.CommandMemory.is_exhausted = lambda self, own_bytes: False


def remembers_all_names() -> None:
    """Keeps every class name that a client has sent."""
    names: list[bytes] = []
    parse = request_lifecycle.parse_request_fields

    def parse_and_remember(parts: list[bytes], *settings: object) -> object:
        names.append(bytes(parts[3]) * 40)
        return parse(parts, *settings)

    request_lifecycle.parse_request_fields = parse_and_remember


def overlooks_departures() -> None:
    """Learns of a client's close only once all of its input has been read."""
    client_connection.ClientConnection.detect_disconnect = lambda self: self.closed


FAULTY_VARIANTS = {
    variant.__name__: variant
    for variant in (
        answers_twice,
        answers_never,
        asks_at_once,
        makes_up_for_turns,
        opens_without_list,
        sends_after_drain,
        two_out,
        opens_beyond_share,
        floods_cold,
        ignores_its_lease,
        never_halts,
        tries_unasked,
        lies_of_caches,
        fetches_out_of_turn,
        sends_beyond_its_part,
        takes_second_copies,
        reads_late_replies,
        aborts_truncated_values,
        writes_repeats_late,
        cuts_paused_replies,
        reads_without_room,
        remembers_all_names,
        overlooks_departures,
    )
}

if __name__ == "__main__":
    from calicofall.cli.main import main

    FAULTY_VARIANTS[sys.argv.pop(1)]()
    main(prog_name="calicofall")
