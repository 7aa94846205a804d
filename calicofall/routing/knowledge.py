"""What a policy knows, as one parameter of the parts that judge by it."""

from dataclasses import dataclass

from calicofall.routing.actions import Outbox
from calicofall.routing.cached_keys import FetchLikelihood, KeyRequestCounts, RecentlyCachedKeys
from calicofall.routing.endpoint_table import EndpointTable
from calicofall.routing.gossip_exchange import GossipExchange
from calicofall.routing.latency import LatencyBaselines, ZoneLatency
from calicofall.routing.placement import Placement
from calicofall.routing.settings import Deployment, RoutingSettings
from calicofall.routing.slow_readers import SlowReaders
from calicofall.routing.traffic import RelativeCapacity, Traffic


@dataclass(frozen=True, slots=True)
class SharedComponents:
    """The parts that hold settings and measures, and where actions go."""

    settings: RoutingSettings
    deployment: Deployment
    outbox: Outbox
    endpoints: EndpointTable
    placement: Placement
    latency: LatencyBaselines
    zone_latency: ZoneLatency
    gossip: GossipExchange
    cached_keys: RecentlyCachedKeys
    key_counts: KeyRequestCounts
    fetch_likelihood: FetchLikelihood
    capacity: RelativeCapacity
    traffic: Traffic
    slow_readers: SlowReaders
