"""Tenant quotas: a token bucket for each tenant, filled at this proxy's share of the tenant's rate.

Requests beyond the quota are not refused; they are the first to be shed in an overload.
"""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

from calicofall.routing.settings import Deployment

BURST_REQUESTS = 3.0  # unused tokens that a tenant keeps beside those of a second
LARGE_FLEET_BURST_REQUESTS = 20.0  # with many proxies each has so few a second that chance decides
CLIENTS_SPAN_MS = 4000.0  # requests of clients are counted over this time
MAX_UNEVEN_SCALE = 2.0


def quota_shares(tenants: Iterable[Mapping[str, Any]] | None, proxies: int) -> dict[str, float]:
    """This proxy's part of each tenant's quota (requests a ms); 0 where none is set."""
    quotas = {tenant["name"]: tenant.get("quota") or 0.0 for tenant in tenants or []}
    return {name: quota / 1000.0 / proxies for name, quota in quotas.items()}


class TenantQuotas:
    """Token buckets by tenant."""

    def __init__(
        self, now: float, rates: dict[str, float], deployment: Deployment, random_generator: Random
    ) -> None:
        """Buckets that are filled by chance, so that proxies that start together do not act in step."""
        self._deployment = deployment
        self.rates = rates  # requests a ms, by tenant
        self.buckets = {
            name: [self._burst() * random_generator.random(), now] for name in rates
        }  # tokens, filled at
        self.share_scale = 1.0  # how much more than an even part of the clients' requests comes here

    def _burst(self) -> float:
        return LARGE_FLEET_BURST_REQUESTS if self._deployment.large_fleet else BURST_REQUESTS

    def admit(self, now: float, tenant: str | None) -> bool:
        """Takes a token for a request: whether it lies within its tenant's quota."""
        if tenant is None:
            return True
        rate = self.rates.get(tenant)
        if not rate:
            return rate is None
        bucket = self.buckets[tenant]
        rate *= self.share_scale
        tokens = min(rate * 1000.0 + self._burst(), bucket[0] + rate * (now - bucket[1]))
        fits = tokens >= 1.0
        bucket[0] = tokens - fits
        bucket[1] = now
        return fits

    def update_share_scale(self, own: float, peers: list[float]) -> None:
        """Fits the share to how unevenly clients are spread over the proxies.

        Args:
            own: Requests that came here over CLIENTS_SPAN_MS.
            peers: What peers told of theirs.
        """
        even = sum(self.rates.values()) * CLIENTS_SPAN_MS
        self.share_scale = min(MAX_UNEVEN_SCALE, max(1.0, own / even)) if even else 1.0
        if peers:  # proxies that say nothing are taken at the mean of those that do
            self.share_scale = own * (len(peers) + 1) / max(1.0, own + sum(peers))

    def set_shares(self, rates: Mapping[str, float]) -> None:
        """Other rates (requests a ms) for tenants that are known."""
        self.rates |= {name: rate for name, rate in rates.items() if name in self.rates}

    def apply_settings(self, now: float, rates: dict[str, float]) -> None:
        """Other tenants and rates; a new tenant begins with an empty bucket."""
        self.rates = rates
        self.buckets = {name: self.buckets.get(name) or [0.0, now] for name in rates}
