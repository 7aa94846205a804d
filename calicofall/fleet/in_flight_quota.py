"""Requests of one proxy in flight at each endpoint, within its share of a limit over the fleet.

A proxy may have `share` requests in flight at an endpoint. If the share is less than one, the proxy has one
request in flight at a time and accumulates credit for it in between. A request counts until its answer has
arrived or its connection is closed, even if its client has given it up long before. Borrowed units count only
if their lease outlasts a request that begins now (quota_leases.py determines the share). The module performs
no I/O.

Invariants:
- No more requests are in flight than the share, or than one if the share is less than one.
- At an endpoint with a limit of C, all proxies together have at most C requests in flight, plus one for each
  proxy whose share is less than one; averaged over S seconds at most C (1 + MAX_CREDIT_S / S), plus a
  fraction of a request for each proxy.
"""

from math import exp
from random import Random

MAX_CREDIT_S = 1.0  # longest time over which credit accumulates
DEMAND_WINDOW_S = 2.0  # time in which the demand average decays to 1 / e


class EndpointUsage:
    """Requests of this proxy at one endpoint; points in time are in seconds."""

    __slots__ = ("in_flight", "credit_s", "mean_in_flight", "updated_at", "refused_at")

    def __init__(self, now: float, credit_s: float) -> None:
        self.in_flight = 0
        self.credit_s = credit_s  # how long a request may be in flight
        self.mean_in_flight = 0.0
        self.updated_at = now
        self.refused_at = -DEMAND_WINDOW_S


class InFlightQuota:
    """Requests in flight by endpoint, of which `share` are allowed at each."""

    def __init__(self, share: float, random_generator: Random) -> None:
        self.share = share
        self.random_generator = random_generator
        self.endpoints: dict[str, EndpointUsage] = {}

    def retain_endpoints(self, names: set[str]) -> None:
        """Removes endpoints that are not in `names` and have no requests in flight."""
        self.endpoints = {
            name: usage for name, usage in self.endpoints.items() if name in names or usage.in_flight
        }

    def _usage(self, now: float, name: str) -> EndpointUsage:
        """Returns the usage of an endpoint, updated to `now`."""
        usage = self.endpoints.get(name)
        if usage is None:
            # The initial credit is random: otherwise all proxies would send their first request at one time.
            usage = EndpointUsage(now, self.share * MAX_CREDIT_S * self.random_generator.random())
            self.endpoints[name] = usage
        elapsed_s = max(0.0, now - usage.updated_at)
        usage.credit_s = min(
            self.share * MAX_CREDIT_S, usage.credit_s + (self.share - usage.in_flight) * elapsed_s
        )
        decay = exp(-elapsed_s / DEMAND_WINDOW_S)
        usage.mean_in_flight = usage.in_flight + (usage.mean_in_flight - usage.in_flight) * decay
        usage.updated_at = now
        return usage

    def try_begin(self, now: float, name: str) -> bool:
        """Returns whether a request may be sent to this endpoint now; if so, counts it as in flight."""
        usage = self._usage(now, name)
        if usage.in_flight + 1 <= self.share or (
            self.share < 1.0 and not usage.in_flight and usage.credit_s > 0.0
        ):
            usage.in_flight += 1
            return True
        usage.refused_at = now
        return False

    def end(self, now: float, name: str) -> None:
        """Counts a request as no longer in flight."""
        usage = self._usage(now, name)
        assert usage.in_flight > 0, "a request ended at an endpoint that has none in flight"
        usage.in_flight -= 1

    def demand(self, now: float) -> float:
        """Returns how many requests would be in flight at the busiest endpoint without a limit.

        If some were refused recently, this is an estimate: more than twice the mean number in flight.
        """
        usages = [self._usage(now, name) for name in self.endpoints]
        return max((self._endpoint_demand(now, usage) for usage in usages), default=0.0)

    def _endpoint_demand(self, now: float, usage: EndpointUsage) -> float:
        if now - usage.refused_at < DEMAND_WINDOW_S:
            return 2.0 * usage.mean_in_flight + self.share
        return usage.mean_in_flight

    def max_in_flight(self) -> int:
        """Returns the number of requests in flight at the busiest endpoint."""
        return max((usage.in_flight for usage in self.endpoints.values()), default=0)
