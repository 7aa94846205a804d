"""Puts into effect this proxy's shares of the limits whose sum over the fleet is bounded.

Measures the demand for each limit, drives the quota leases by which proxies lend each other their shares, and
applies what is held to the router, to the connections and to the slots that are lent.

Invariants: who has which share is decided by `fleet.quota_leases`; no request is judged by a share that has
lapsed.
"""

import asyncio
from collections.abc import Callable, Iterable
from math import ceil
from random import Random
from typing import Any

from calicofall.fleet.in_flight_quota import InFlightQuota
from calicofall.fleet.quota_leases import (
    ROUND_INTERVAL_S,
    UNITS,
    QuotaLeaseMessage,
    QuotaLeases,
    RateQuotaLeases,
)
from calicofall.fleet.rate_slots import RateSlots
from calicofall.routing.sliding_window import SlidingWindow
from calicofall.startup.peer_messages import name_digest

MAX_CLOCK_DRIFT = 0.01  # the part by which clocks that measure spans differ at most
DEMAND_WINDOW_S = 2.0  # of requests, from which demand is measured
DEMAND_BUCKETS = 8
MIN_WAKE_INTERVAL_S = 0.01
DEFAULT_COLD_SHARE = 0.1  # of a warm endpoint's requests that a cold one can do
MS_PER_S = 1000.0
# The names of the limits, which are digested in datagrams. A tenant's rate is `rate/TENANT`.
RATE_LIMIT_PREFIX = "rate/"
WARM_UP_LIMIT = "cold"  # the rate at which a cold endpoint may be sent requests
IN_FLIGHT_LIMIT = "flight"  # requests in flight at one endpoint
HANDSHAKE_SLOTS = "handshakes"
ORIGIN_FETCH_SLOTS = "fetches"


class QuotaEnforcement:
    """The limits that this proxy shares with the fleet.

    Args:
        loop: The event loop.
        me: This proxy's number.
        incarnation: Which start of this proxy this is.
        proxies: How many proxies there are.
        lease_s: For how long units are lent.
        random: The source of random numbers.
        warm_rate_per_s: Requests a second that a warm endpoint of weight 1 serves; None or 0 for no limit on
            cold ones.
        rules: The settings' rules, of which `cold_share` counts here.
        endpoint_count: Gives the number of endpoints.
        send: Sends a message to a proxy.
        live_members: Gives the proxies that are there.
        apply_shares: Takes the tenants' rates and the rate of a cold endpoint here, a second.
        rate_slots: By name, the slots that are lent, and a function that gives how many of a round would be
            used at a time.
        in_flight_quota: Bounds requests in flight at one endpoint.
        in_flight_limit: That bound, summed over the fleet.
        longest_request_s: For how long a request may be in flight.
    """

    def __init__(  # noqa: PLR0913 - wiring: each is made elsewhere and handed over once, by the server
        self,
        loop: asyncio.AbstractEventLoop,
        me: int,
        incarnation: int,
        proxies: int,
        lease_s: float,
        random: Random,
        warm_rate_per_s: float | None,
        rules: dict[str, Any],
        endpoint_count: Callable[[], int],
        send: Callable[[int, QuotaLeaseMessage], None],
        live_members: Callable[[], list[int]],
        apply_shares: Callable[[dict[str, float], float | None], None],
        rate_slots: dict[str, tuple[RateSlots, Callable[[float], float]]],
        in_flight_quota: InFlightQuota | None = None,
        in_flight_limit: float = 0.0,
        longest_request_s: float = 0.0,
    ) -> None:
        self.loop = loop
        self.me = me
        self.incarnation = incarnation
        self.proxies = proxies
        self.lease_s = lease_s
        self.random = random
        self.warm_rate_per_s = warm_rate_per_s
        self.rules = rules
        self.endpoint_count = endpoint_count
        self.send = send
        self.live_members = live_members
        self.apply_shares = apply_shares
        self.rate_slots = rate_slots
        self.in_flight_quota = in_flight_quota
        self.in_flight_limit = in_flight_limit
        self.longest_request_s = longest_request_s
        self.leases: dict[int, QuotaLeases] = {}  # by the digest of the limit's name
        self.names: dict[int, str] = {}  # by their digest
        self.rates: dict[str, float] = {}  # of tenants, a second over the fleet
        # Requests by tenant; under None, those of all that have no rate.
        self.request_windows: dict[str | None, SlidingWindow] = {}
        self.began_at = loop.time()
        self.valid_until = 0.0  # when a share next changes by time alone
        self.timer: asyncio.TimerHandle | None = None

    def apply_settings(self, tenants: list[dict[str, Any]], pinned: Iterable[str] = ()) -> None:
        """Takes the limits that there are, and which of them operators have pinned.

        The leases of a limit that stays are kept.
        """
        self.rates = {tenant["name"]: tenant["quota"] for tenant in tenants if tenant.get("quota")}
        self.names = {name_digest(name): name for name in self._limit_names()}
        self.leases = {
            digest: self.leases.get(digest) or self.make_leases(digest, name)
            for digest, name in self.names.items()
        }
        for digest, leases in self.leases.items():
            leases.pinned = self.names[digest] in pinned
        self.refresh()

    def _limit_names(self) -> list[str]:
        names = [f"{RATE_LIMIT_PREFIX}{tenant}" for tenant in self.rates]
        if self.warm_rate_per_s:
            names.append(WARM_UP_LIMIT)
        if self.in_flight_quota is not None:
            names.append(IN_FLIGHT_LIMIT)
        return [*names, *self.rate_slots]

    def make_leases(self, digest: int, name: str) -> QuotaLeases:
        """Makes the leases of a limit that is new here."""
        if name in self.rate_slots:
            return self.rate_slots[name][0]
        kind = QuotaLeases if name in (WARM_UP_LIMIT, IN_FLIGHT_LIMIT) else RateQuotaLeases
        return kind(
            digest,
            self.me,
            self.incarnation,
            self.proxies,
            self.loop.time(),
            self.lease_s,
            MAX_CLOCK_DRIFT,
            self.random,
        )

    def count_request(self, tenant: str | None) -> None:
        """Counts a request that has come, as demand."""
        # Only tenants with a rate have a window of their own: names are made up by clients, and without this
        # memory would grow with each new one.
        name = tenant if tenant in self.rates else None
        if name not in self.request_windows:
            self.request_windows[name] = SlidingWindow(DEMAND_WINDOW_S * MS_PER_S, DEMAND_BUCKETS)
        self.request_windows[name].add(self.loop.time() * MS_PER_S)

    def demand_per_s(self, now: float) -> dict[str | None, float]:
        """Requests a second, by tenant, over the span that the buckets cover."""
        # Measured over a window, not since the call before: each limit has rounds of its own, so with two of
        # them the spans between calls would be shorter and demand would be told too low.
        bucket_s = DEMAND_WINDOW_S / DEMAND_BUCKETS
        span_s = max(bucket_s, min(now - self.began_at, DEMAND_WINDOW_S - bucket_s + now % bucket_s))
        return {name: window.count(now * MS_PER_S) / span_s for name, window in self.request_windows.items()}

    def refresh_if_due(self) -> None:
        """Applies the shares anew if one has lapsed; called right before a request is judged.

        Without this, a process that was stopped for longer than its leases run would go on with them.
        """
        if self.loop.time() >= self.valid_until:
            self.refresh()

    def refresh(self) -> None:
        """Applies the shares that are held now."""
        now = self.loop.time()
        shares = {
            self.names[digest]: leases.usable_units(now) / leases.total
            for digest, leases in self.leases.items()
        }
        self.valid_until = min(
            (leases.next_change_at(now) for leases in self.leases.values()), default=float("inf")
        )
        cold_rate_per_s = self.warm_rate_per_s
        if cold_rate_per_s:
            cold_rate_per_s *= shares[WARM_UP_LIMIT]
        if self.in_flight_quota is not None:
            leases = self.leases[name_digest(IN_FLIGHT_LIMIT)]
            # Counts only units that are held for as long as a request may take: without this, requests would
            # outlive the lease under which they began.
            units = leases.usable_units(now, self.longest_request_s)
            self.in_flight_quota.share = self.in_flight_limit * units / UNITS
        tenant_rates = {
            tenant: rate * shares[f"{RATE_LIMIT_PREFIX}{tenant}"] for tenant, rate in self.rates.items()
        }
        self.apply_shares(tenant_rates, cold_rate_per_s)

    def wake(self) -> None:
        """Tells the leases what is wanted, sends what they ask for, and schedules the next round."""
        now = self.loop.time()
        demand = self.demand_per_s(now)
        next_at = now + ROUND_INTERVAL_S
        live_members = self.live_members()
        for digest, leases in self.leases.items():
            leases.set_demand(self.wanted_units(now, self.names[digest], demand))
            messages, wake_at = leases.wake(now, live_members)
            for peer, message in messages:
                self.send(peer, message)
            next_at = min(next_at, wake_at)
        self.refresh()
        self.timer = self.loop.call_at(max(next_at, now + MIN_WAKE_INTERVAL_S), self.wake)

    def wanted_units(self, now: float, name: str, demand: dict[str | None, float]) -> int:
        """Units of a limit that would be used here if there were no limit."""
        if name in self.rate_slots:
            wanted_slots = self.rate_slots[name][1]
            return ceil(wanted_slots(now))
        if name == IN_FLIGHT_LIMIT:
            return self._wanted_in_flight_units(now)
        if name == WARM_UP_LIMIT:
            return self._wanted_warm_up_units(demand)
        tenant = name.removeprefix(RATE_LIMIT_PREFIX)
        return int(UNITS * demand.get(tenant, 0.0) / self.rates[tenant])

    def _wanted_in_flight_units(self, now: float) -> int:
        quota = self.in_flight_quota
        if quota is None:
            return 0  # there is no such limit
        return int(UNITS * max(quota.demand(now), quota.max_in_flight()) / self.in_flight_limit)

    def _wanted_warm_up_units(self, demand: dict[str | None, float]) -> int:
        if not self.warm_rate_per_s:
            return 0  # there is no such limit
        # A cold endpoint would be sent its part of what comes here, and can do a share of a warm one's work.
        cold_share = self.rules.get("cold_share") or DEFAULT_COLD_SHARE
        capacity_per_s = self.warm_rate_per_s * cold_share * max(1, self.endpoint_count())
        return int(UNITS * sum(demand.values()) / capacity_per_s)

    def on_message(self, message: QuotaLeaseMessage) -> None:
        """Takes a peer's message; ignores one on a limit that isn't known here (yet, or any more)."""
        leases = self.leases.get(message.limit_id)
        if leases is None:
            return
        if self.names[message.limit_id] == IN_FLIGHT_LIMIT:
            # Without this, units would be lent that requests in flight hold already.
            wanted = self.wanted_units(self.loop.time(), IN_FLIGHT_LIMIT, {})
            leases.set_demand(max(leases.demand_units, wanted))
        answer = leases.on_message(self.loop.time(), message)
        self.refresh()  # less is used here before the answer that lends it leaves
        if answer is not None:
            self.send(message.sender, answer)

    def format_lines(self) -> list[str]:
        """The metrics that operators read: one line for each limit."""
        now = self.loop.time()
        return [
            f"limit.{self.names[digest]}:{leases.format_line(now)}{' pinned' if leases.pinned else ''}"
            for digest, leases in self.leases.items()
        ]

    def close(self) -> None:
        """Ends the rounds."""
        if self.timer is not None:
            self.timer.cancel()
