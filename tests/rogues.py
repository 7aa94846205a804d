"""Proxies that are broken on purpose, each in one way, for the stage's referee to find. Not in the package.

Run as `python tests/rogues.py NAME serve`, in place of `python -m calicofall serve`.
"""

import sys

from calicofall.proxy import client_connection, discovery, server, upstream, upstream_connection
from calicofall.startup import connection_quotas, discovery_schedule, time_slots


def answers_twice() -> None:
    give = client_connection.PendingReply.complete

    def twice(self: client_connection.PendingReply, answer: bytes) -> None:
        give(self, answer + answer if answer[:1] == b"$" else answer)

    client_connection.PendingReply.complete = twice


def answers_never() -> None:
    give = client_connection.PendingReply.complete
    client_connection.PendingReply.complete = (
        lambda self, answer: give(self, answer) if answer[:1] != b"$" else None
    )


def asks_at_once() -> None:
    """A line that nobody stands in."""
    discovery_schedule.DiscoverySchedule.enter = lambda self, now, part=1.0: now
    discovery_schedule.DiscoverySchedule.refused = lambda self, now, after=0.0: now + 0.02


def makes_up_for_turns() -> None:
    """A turn that was slept through is taken all the same."""
    time_slots.TimeSlots.lapsed = lambda self, slot, now: False


def opens_without_list() -> None:
    async def listed(self: server.Proxy) -> None:
        pass

    server.Proxy.wait_for_list = listed


def sends_after_drain() -> None:
    told = discovery.Discovery.on_endpoint_list
    first: list[bool] = []

    def deaf(self: discovery.Discovery, *news: object) -> None:
        if not first:
            first.append(True)
            told(self, *news)

    discovery.Discovery.on_endpoint_list = deaf


def two_out() -> None:
    """A second copy while the first is out; a non-retriable RPC has its effect twice."""
    send = upstream.Upstreams.send

    def twice(self: upstream.Upstreams, name: str, *rest: object) -> object:
        sending = send(self, name, *rest)
        pool = self.pools[name]
        other = next((p for p in self.pools.values() if p is not pool and p.accepts_requests), None)
        if other is not None:
            extra = upstream.UpstreamCommand(
                sending.active_request,
                0,
                sending.render,
                sending.sent_at_ms,
                sending.answer_due_at,
                sending.request_due_at,
            )
            extra.timer, extra.finished = self.loop.call_later(9.0, lambda: None), True
            if (copy := other.acquire(9.0)) is not None:
                self.may_send = lambda one: True  # nor does it look once more
                copy.send(extra)
        return sending

    upstream.Upstreams.send = twice


def opens_beyond_share() -> None:
    """Handshakes as they come, and a new connection for each RPC."""
    connection_quotas.ConnectionQuotas.begin = lambda self, name, turn, now, wall, needed=True: now
    rest = upstream_connection.UpstreamConnection.become_idle

    def close(self: upstream_connection.UpstreamConnection) -> None:
        rest(self)
        self.abort()

    upstream_connection.UpstreamConnection.become_idle = close


def floods_cold() -> None:
    """Cold caches are sent all that comes."""
    from calicofall.routing.limits import Limits
    from calicofall.routing.slow_start import SlowStart

    SlowStart.admits = lambda self, now, key, endpoint, chance: True
    Limits.admits = lambda self, now, limit, request, low_traffic: True


def ignores_its_lease() -> None:
    """What it was allowed once it goes on doing, cut off or stopped."""
    from calicofall.fleet.configuration_agreement import ConfigurationAgreement
    from calicofall.proxy import configuration_sync

    until = ConfigurationAgreement.leased_until
    ConfigurationAgreement.leased_until = lambda self, now: max(
        until(self, now), now + 100.0 if self.effect else 0.0
    )
    configuration_sync.ConfigurationSync.refresh_if_due = lambda self: None


def never_halts() -> None:
    """Goes on with a version that fails."""
    from calicofall.fleet.canary import Canary

    Canary.look = lambda self, now, counts: not self.seen and self.seen.append((now, counts))


def tries_unasked() -> None:
    """Tries what others are to try."""
    from calicofall.proxy import configuration_sync

    attempt = configuration_sync.ConfigurationSync.begin_canary
    configuration_sync.ConfigurationSync.begin_canary = lambda self, one, reasons: attempt(
        self, one._replace(trial=one.trial._replace(members=(self.me,), span=20.0)), reasons
    )


def lies_of_caches() -> None:
    """Says of every cache that all goes badly there, and asks about them all the time."""
    from calicofall.fleet.outlier_consensus import OutlierConsensus

    word = OutlierConsensus._word
    OutlierConsensus._word = lambda self, now, *rest: word(self, now, *rest)._replace(
        well=0, badly=10_000, age=3_600_000
    )
    OutlierConsensus._open = lambda self, now, doubted: sorted(
        self.listed, key=lambda cache: self.chance.random()
    )


def fetches_out_of_turn() -> None:
    """What may need the origin goes as it comes."""
    from calicofall.fleet.rate_slots import OriginFetchSlots

    OriginFetchSlots.due = lambda self, now: now


def sends_beyond_its_part() -> None:
    """RPCs out at a cache, as many as come."""
    from calicofall.fleet.in_flight_quota import InFlightQuota

    begin = InFlightQuota.begin
    InFlightQuota.begin = (
        lambda self, now, name: begin(self, now, name)
        or bool(setattr(self.caches[name], "out", self.caches[name].out + 1))
        or True
    )


ROGUES = {
    name.__name__: name
    for name in (
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
    )
}

if __name__ == "__main__":
    from calicofall.cli.main import main

    ROGUES[sys.argv.pop(1)]()
    main(prog_name="calicofall")
