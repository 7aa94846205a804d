"""Tenant quotas: a token bucket for each tenant, filled at this proxy's share of the tenant's rate.

Requests beyond the quota are not rejected; they are the first to be shed in an overload.
"""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

from calicofall.routing.settings import Deployment

BURST_REQUESTS = 3.0  # unused tokens that a bucket keeps in addition to those of a second
LARGE_FLEET_BURST_REQUESTS = 20.0  # with many proxies, the tokens per second are few and arrivals vary more
CLIENTS_SPAN_MS = 4000.0  # requests of clients are counted over this time
MAX_UNEVEN_SCALE = 2.0  # largest multiple of an even share, if no peer reports its requests


def quota_shares(tenants: Iterable[Mapping[str, Any]] | None, proxies: int) -> dict[str, float]:
    """Returns this proxy's share of each tenant's quota (requests per ms); 0 if a tenant has none."""
    quotas = {tenant["name"]: tenant.get("quota") or 0.0 for tenant in tenants or []}
    return {name: quota / 1000.0 / proxies for name, quota in quotas.items()}


class TenantQuotas:
    """Token buckets by tenant."""

    def __init__(
        self, now: float, rates: dict[str, float], deployment: Deployment, random_generator: Random
    ) -> None:
        """Fills the buckets at random, so that proxies started together do not synchronize."""
        self._deployment = deployment
        self.rates = rates  # requests per ms, by tenant
        # By tenant: [tokens, when they were last updated (ms)].
        self.buckets = {name: [self._burst() * random_generator.random(), now] for name in rates}
        self.share_scale = 1.0  # this proxy's part of the clients' requests, relative to an even part

    def _burst(self) -> float:
        return LARGE_FLEET_BURST_REQUESTS if self._deployment.large_fleet else BURST_REQUESTS

    def admit(self, now: float, tenant: str | None) -> bool:
        """Takes a token for a request; returns whether it is within its tenant's quota."""
        if tenant is None:
            return True
        rate = self.rates.get(tenant)
        if not rate:
            return rate is None
        bucket = self.buckets[tenant]
        rate *= self.share_scale
        tokens = min(rate * 1000.0 + self._burst(), bucket[0] + rate * (now - bucket[1]))
        is_within_quota = tokens >= 1.0
        bucket[0] = tokens - is_within_quota
        bucket[1] = now
        return is_within_quota

    def update_share_scale(self, own_requests: float, peer_requests: list[float]) -> None:
        """Adjusts the share to the uneven distribution of clients over the proxies.

        Args:
            own_requests: Requests of clients to this proxy over CLIENTS_SPAN_MS.
            peer_requests: Request counts that peers reported.
        """
        even_requests = sum(self.rates.values()) * CLIENTS_SPAN_MS
        self.share_scale = (
            min(MAX_UNEVEN_SCALE, max(1.0, own_requests / even_requests)) if even_requests else 1.0
        )
        if peer_requests:  # proxies without a report are assumed to get the mean of the reported counts
            self.share_scale = (
                own_requests * (len(peer_requests) + 1) / max(1.0, own_requests + sum(peer_requests))
            )

    def set_shares(self, rates: Mapping[str, float]) -> None:
        """Replaces the rates (requests per ms) of known tenants."""
        self.rates |= {name: rate for name, rate in rates.items() if name in self.rates}

    def apply_settings(self, now: float, rates: dict[str, float]) -> None:
        """Replaces tenants and rates; a new tenant starts with an empty bucket."""
        self.rates = rates
        self.buckets = {name: self.buckets.get(name) or [0.0, now] for name in rates}
