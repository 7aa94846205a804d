"""Enforces this proxy's shares of limits that apply to the fleet as a whole.

Measures the demand for each limit, runs the rounds of the quota leases by which proxies lend each other parts
of their shares, and applies the shares held to the router, to the connections and to the leased rate slots.

Invariants: `fleet.quota_leases` decides which proxy has which share; no request is admitted by a share that
has expired.
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

MAX_CLOCK_DRIFT = 0.01  # largest relative difference between the rates of two proxies' clocks
DEMAND_WINDOW_S = 2.0  # length of the sliding window in which requests are counted as demand
DEMAND_BUCKETS = 8  # buckets of that window
MIN_WAKE_INTERVAL_S = 0.01  # shortest time between two calls of `wake`
DEFAULT_COLD_SHARE = 0.1  # fraction of a warm endpoint's request rate that a cold one can serve
MS_PER_S = 1000.0
# Names of the limits; datagrams hold digests of them. The limit on a tenant's rate is `rate/TENANT`.
RATE_LIMIT_PREFIX = "rate/"
WARM_UP_LIMIT = "cold"  # rate of requests to a cold endpoint
IN_FLIGHT_LIMIT = "flight"  # requests in flight at one endpoint
HANDSHAKE_SLOTS = "handshakes"  # handshakes a second at one endpoint
ORIGIN_FETCH_SLOTS = "fetches"  # requests a second at the origin


class QuotaEnforcement:
    """The limits that this proxy shares with the fleet.

    Args:
        loop: The event loop.
        proxy_number: This proxy's number.
        incarnation: The number of this proxy's incarnation.
        proxies: The number of proxies.
        lease_s: The duration of a lease.
        random_generator: The source of random numbers.
        endpoint_capacity_per_s: Requests a second that a warm endpoint of weight 1 serves; None or 0 for no
            limit on cold ones.
        rules: The settings' rules, of which only `cold_share` is used.
        endpoint_count: Returns the number of endpoints.
        send: Sends a message to a proxy.
        alive_members: Returns the numbers of the proxies that are alive.
        apply_shares: Called with this proxy's shares of each tenant's rate and of `endpoint_capacity_per_s`
            (requests a second).
        rate_slots: By limit, the leased slots, and a function that returns how many slots of a round of slots
            would be used without the limit, at a given time.
        in_flight_quota: Limits requests in flight at one endpoint.
        in_flight_limit: That limit, summed over the fleet.
        longest_request_s: The longest time that a request may be in flight.
    """

    def __init__(  # noqa: PLR0913 - passed once, by the server
        self,
        loop: asyncio.AbstractEventLoop,
        proxy_number: int,
        incarnation: int,
        proxies: int,
        lease_s: float,
        random_generator: Random,
        endpoint_capacity_per_s: float | None,
        rules: dict[str, Any],
        endpoint_count: Callable[[], int],
        send: Callable[[int, QuotaLeaseMessage], None],
        alive_members: Callable[[], list[int]],
        apply_shares: Callable[[dict[str, float], float | None], None],
        rate_slots: dict[str, tuple[RateSlots, Callable[[float], float]]],
        in_flight_quota: InFlightQuota | None = None,
        in_flight_limit: float = 0.0,
        longest_request_s: float = 0.0,
    ) -> None:
        self.loop = loop
        self.proxy_number = proxy_number
        self.incarnation = incarnation
        self.proxies = proxies
        self.lease_s = lease_s
        self.random_generator = random_generator
        self.endpoint_capacity_per_s = endpoint_capacity_per_s
        self.rules = rules
        self.endpoint_count = endpoint_count
        self.send = send
        self.alive_members = alive_members
        self.apply_shares = apply_shares
        self.rate_slots = rate_slots
        self.in_flight_quota = in_flight_quota
        self.in_flight_limit = in_flight_limit
        self.longest_request_s = longest_request_s
        self.leases: dict[int, QuotaLeases] = {}  # by the digest of the limit's name
        self.names_by_digest: dict[int, str] = {}
        self.tenant_rates_per_s: dict[str, float] = {}  # by tenant, over the fleet
        # Requests by tenant; under None, those of all tenants without a rate.
        self.request_windows: dict[str | None, SlidingWindow] = {}
        self.began_at = loop.time()
        self.valid_until = 0.0  # when a share next changes by time alone (s, the loop's clock)
        self.timer: asyncio.TimerHandle | None = None

    def apply_settings(self, tenants: list[dict[str, Any]], pinned_limits: Iterable[str] = ()) -> None:
        """Replaces the tenants' limits and the set of limits that operators have pinned.

        The leases of a limit that remains are kept.
        """
        self.tenant_rates_per_s = {
            tenant["name"]: tenant["quota"] for tenant in tenants if tenant.get("quota")
        }
        self.names_by_digest = {name_digest(name): name for name in self._limit_names()}
        self.leases = {
            digest: self.leases.get(digest) or self.make_leases(digest, name)
            for digest, name in self.names_by_digest.items()
        }
        for digest, leases in self.leases.items():
            leases.pinned = self.names_by_digest[digest] in pinned_limits
        self.refresh()

    def _limit_names(self) -> list[str]:
        names = [f"{RATE_LIMIT_PREFIX}{tenant}" for tenant in self.tenant_rates_per_s]
        if self.endpoint_capacity_per_s:
            names.append(WARM_UP_LIMIT)
        if self.in_flight_quota is not None:
            names.append(IN_FLIGHT_LIMIT)
        return [*names, *self.rate_slots]

    def make_leases(self, digest: int, name: str) -> QuotaLeases:
        """Creates the leases of a limit that is new."""
        if name in self.rate_slots:
            return self.rate_slots[name][0]
        lease_class = QuotaLeases if name in (WARM_UP_LIMIT, IN_FLIGHT_LIMIT) else RateQuotaLeases
        return lease_class(
            digest,
            self.proxy_number,
            self.incarnation,
            self.proxies,
            self.loop.time(),
            self.lease_s,
            MAX_CLOCK_DRIFT,
            self.random_generator,
        )

    def count_request(self, tenant: str | None) -> None:
        """Counts a client's request as demand."""
        # Only tenants with a rate have a window of their own. Clients choose the names, so memory would grow
        # with each new name otherwise.
        window_key = tenant if tenant in self.tenant_rates_per_s else None
        if window_key not in self.request_windows:
            self.request_windows[window_key] = SlidingWindow(DEMAND_WINDOW_S * MS_PER_S, DEMAND_BUCKETS)
        self.request_windows[window_key].add(self.loop.time() * MS_PER_S)

    def demand_per_s(self, now: float) -> dict[str | None, float]:
        """Returns the requests a second, by tenant, over the time that the buckets cover."""
        # Measured over a window, not since the previous call: each limit has rounds of its own, so with two
        # limits the time between calls would be shorter and the measured demand too low.
        # The window covers the part of the current bucket that has passed and the buckets before it.
        bucket_s = DEMAND_WINDOW_S / DEMAND_BUCKETS
        span_s = max(bucket_s, min(now - self.began_at, DEMAND_WINDOW_S - bucket_s + now % bucket_s))
        return {
            tenant: window.count(now * MS_PER_S) / span_s for tenant, window in self.request_windows.items()
        }

    def refresh_if_due(self) -> None:
        """Applies the shares again if one has expired; called right before a request is admitted.

        Without this, a process that was stopped for longer than its leases run would continue to use them.
        """
        if self.loop.time() >= self.valid_until:
            self.refresh()

    def refresh(self) -> None:
        """Applies the shares that this proxy holds now."""
        now = self.loop.time()
        shares = {
            self.names_by_digest[digest]: leases.usable_units(now) / leases.total
            for digest, leases in self.leases.items()
        }
        self.valid_until = min(
            (leases.next_change_at(now) for leases in self.leases.values()), default=float("inf")
        )
        endpoint_capacity_share_per_s = self.endpoint_capacity_per_s
        if endpoint_capacity_share_per_s:
            endpoint_capacity_share_per_s *= shares[WARM_UP_LIMIT]
        if self.in_flight_quota is not None:
            leases = self.leases[name_digest(IN_FLIGHT_LIMIT)]
            # Only units that are held for as long as a request may take are counted. Without this, requests
            # would outlive the lease under which they began.
            units = leases.usable_units(now, self.longest_request_s)
            self.in_flight_quota.share = self.in_flight_limit * units / UNITS
        tenant_shares_per_s = {
            tenant: rate_per_s * shares[f"{RATE_LIMIT_PREFIX}{tenant}"]
            for tenant, rate_per_s in self.tenant_rates_per_s.items()
        }
        self.apply_shares(tenant_shares_per_s, endpoint_capacity_share_per_s)

    def wake(self) -> None:
        """Reports the demand to the leases, sends their messages, and schedules the next round."""
        now = self.loop.time()
        demand = self.demand_per_s(now)
        next_at = now + ROUND_INTERVAL_S
        alive_members = self.alive_members()
        for digest, leases in self.leases.items():
            leases.set_demand(self.wanted_units(now, self.names_by_digest[digest], demand))
            messages, wake_at = leases.wake(now, alive_members)
            for peer, message in messages:
                self.send(peer, message)
            next_at = min(next_at, wake_at)
        self.refresh()
        self.timer = self.loop.call_at(max(next_at, now + MIN_WAKE_INTERVAL_S), self.wake)

    def wanted_units(self, now: float, name: str, demand: dict[str | None, float]) -> int:
        """Returns the units of a limit (of rate slots: the slots) that this proxy would use without it."""
        if name in self.rate_slots:
            wanted_slots = self.rate_slots[name][1]
            return ceil(wanted_slots(now))
        if name == IN_FLIGHT_LIMIT:
            return self._wanted_in_flight_units(now)
        if name == WARM_UP_LIMIT:
            return self._wanted_warm_up_units(demand)
        tenant = name.removeprefix(RATE_LIMIT_PREFIX)
        return int(UNITS * demand.get(tenant, 0.0) / self.tenant_rates_per_s[tenant])

    def _wanted_in_flight_units(self, now: float) -> int:
        quota = self.in_flight_quota
        if quota is None:
            return 0  # there is no such limit
        # The demand is a mean over time, which may be less than what is in flight now.
        return int(UNITS * max(quota.demand(now), quota.max_in_flight()) / self.in_flight_limit)

    def _wanted_warm_up_units(self, demand: dict[str | None, float]) -> int:
        if not self.endpoint_capacity_per_s:
            return 0  # there is no such limit
        # A cold endpoint would be sent an equal part of this proxy's requests, as each endpoint is, and can
        # serve only a fraction (`cold_share`) of a warm endpoint's rate.
        cold_share = self.rules.get("cold_share") or DEFAULT_COLD_SHARE
        cold_capacity_per_s = self.endpoint_capacity_per_s * cold_share * max(1, self.endpoint_count())
        return int(UNITS * sum(demand.values()) / cold_capacity_per_s)

    def on_message(self, message: QuotaLeaseMessage) -> None:
        """Handles a peer's message; ignores one on a limit that is not known here (yet, or any more)."""
        leases = self.leases.get(message.limit_id)
        if leases is None:
            return
        if self.names_by_digest[message.limit_id] == IN_FLIGHT_LIMIT:
            # Without this, units that requests in flight use since the last call of `wake` would be lent to
            # peers.
            wanted = self.wanted_units(self.loop.time(), IN_FLIGHT_LIMIT, {})
            leases.set_demand(max(leases.demand_units, wanted))
        answer = leases.on_message(self.loop.time(), message)
        self.refresh()  # reduces this proxy's share before the answer that lends it is sent
        if answer is not None:
            self.send(message.sender, answer)

    def format_lines(self) -> list[str]:
        """Returns the metrics lines: one for each limit."""
        now = self.loop.time()
        return [
            f"limit.{self.names_by_digest[digest]}:"
            f"{leases.format_line(now)}{' pinned' if leases.pinned else ''}"
            for digest, leases in self.leases.items()
        ]

    def close(self) -> None:
        """Cancels the next round."""
        if self.timer is not None:
            self.timer.cancel()
