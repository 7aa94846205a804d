"""Requests of one proxy in flight at each endpoint, within its part of a limit over the fleet.

A proxy may have `part` requests in flight at an endpoint. Where that is less than one, it has one at a time,
and saves credit for it meanwhile. A request counts until its answer has come or its connection is closed,
however long ago its client gave it up; units that are borrowed count only while their lease outlasts a
request that begins now (see quota_leases.py, which finds the part). The module does no I/O.

Invariants:
- No more requests are in flight than the part, or than one where the part is less than one.
- At an endpoint with a limit of C, all proxies have C in flight together, and one more for each proxy whose
  part is less than one; over S seconds on average C (1 + MAX_CREDIT_S / S), and a fraction of a request for
  each proxy.
"""

from math import exp
from random import Random

MAX_CREDIT_S = 1.0  # a part of less than one is saved for so long at most
DEMAND_WINDOW_S = 2.0  # demand decays to 1 / e in this time


class EndpointUsage:
    """Requests of this proxy at one endpoint; moments in seconds."""

    __slots__ = ("in_flight", "credit_s", "mean_in_flight", "updated_at", "refused_at")

    def __init__(self, now: float, credit_s: float) -> None:
        self.in_flight = 0  # in flight
        self.credit_s = credit_s  # for how long a request may be in flight
        self.mean_in_flight = 0.0
        self.updated_at = now
        self.refused_at = -DEMAND_WINDOW_S


class InFlightQuota:
    """Requests in flight by endpoint; `part` of them are allowed at each."""

    def __init__(self, share: float, rng: Random) -> None:
        self.share = share
        self.rng = rng
        self.endpoints: dict[str, EndpointUsage] = {}

    def retain_endpoints(self, names: set[str]) -> None:
        """Forgets endpoints that aren't among these and have nothing in flight."""
        self.endpoints = {
            name: usage for name, usage in self.endpoints.items() if name in names or usage.in_flight
        }

    def _usage(self, now: float, name: str) -> EndpointUsage:
        """The usage of an endpoint, brought up to date."""
        usage = self.endpoints.get(name)
        if usage is None:
            # A random credit: without it all proxies would save up their first request at the same time.
            usage = EndpointUsage(now, self.share * MAX_CREDIT_S * self.rng.random())
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
        """Whether a request may be sent to this endpoint now; if so, it counts as in flight."""
        usage = self._usage(now, name)
        if usage.in_flight + 1 <= self.share or (
            self.share < 1.0 and not usage.in_flight and usage.credit_s > 0.0
        ):
            usage.in_flight += 1
            return True
        usage.refused_at = now
        return False

    def end(self, now: float, name: str) -> None:
        """A request is no longer in flight."""
        usage = self._usage(now, name)
        assert usage.in_flight > 0, "what ends has begun"
        usage.in_flight -= 1

    def demand(self, now: float) -> float:
        """Requests that would be in flight at the busiest endpoint without a limit.

        Where some were refused lately this is an estimate: over twice as many as there are.
        """
        usages = [self._usage(now, name) for name in self.endpoints]
        return max((self._endpoint_demand(now, usage) for usage in usages), default=0.0)

    def _endpoint_demand(self, now: float, usage: EndpointUsage) -> float:
        if now - usage.refused_at < DEMAND_WINDOW_S:
            return 2.0 * usage.mean_in_flight + self.share
        return usage.mean_in_flight

    def max_in_flight(self) -> int:
        """Requests in flight at the busiest endpoint now."""
        return max((usage.in_flight for usage in self.endpoints.values()), default=0)
