"""The state of one cache or origin, as a proxy knows it."""

from enum import StrEnum
from math import exp

from calicofall.routing.rendezvous import hash_point
from calicofall.routing.sliding_window import SlidingWindow

# The zones and the machine kinds that a method is restricted to; None: any.
PlacementConstraint = tuple[frozenset[str] | None, frozenset[str] | None]
UNCONSTRAINED: PlacementConstraint = (None, None)

SENT_SPAN_MS = 60_000.0  # requests sent to an endpoint are counted over this time
SENT_BUCKETS = 6
WARMING_SPAN_MS = 16_000.0  # requests that ask for admission to a warming endpoint are counted over this time
RECOVERY_DOUBLING_MS = 5_000.0  # time in which the admitted fraction of a degraded endpoint doubles
MAX_DOUBLINGS = 9.0
WAIT_DECAY_MS = 1500.0  # time constant with which measured waits decay
WAIT_PRIOR_COUNT = 2.0  # number of answers without a wait that the mean wait starts with


class EndpointState(StrEnum):
    """The state of an endpoint as its list spells it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Endpoint:
    """A cache or an origin: its entry in the list, and what this proxy measured."""

    __slots__ = (
        "admitted_fraction",
        "cell",
        "draining",
        "ejected",
        "fraction_set_at",
        "gossip_id",
        "in_flight",
        "kind",
        "last_heard_at",
        "listed_start",
        "name",
        "ready",
        "recovery_doubling_ms",
        "relative_latency",
        "salt",
        "sent",
        "started_at",
        "wait_count",
        "wait_sum",
        "waits_updated_at",
        "warming_requests",
        "weight",
        "zone",
    )

    def __init__(self, name: str) -> None:
        """Creates an endpoint of which only the name is known."""
        self.name = name
        # Odd, so that no two points times it are the same.
        self.salt = hash_point(name.encode()) | 1
        self.listed_start = 0.0
        self.weight = 1.0
        self.started_at = 0.0  # the listed start, corrected by the proxy's clock (ms); 0: unknown
        self.ready = True
        self.cell = 0
        self.zone = ""
        self.kind = ""
        self.in_flight = 0  # requests
        # The last outcome other than a time-out, or the start of the first attempt in flight (ms).
        self.last_heard_at = 0.0
        self.draining = False  # whether it was last listed as draining
        self.sent = SlidingWindow(SENT_SPAN_MS, SENT_BUCKETS)
        self.warming_requests = SlidingWindow(WARMING_SPAN_MS, 8)
        self.admitted_fraction = 1.0  # of its share of the load, when last set
        self.fraction_set_at = 0.0
        self.recovery_doubling_ms = RECOVERY_DOUBLING_MS
        self.ejected = False
        self.relative_latency = 1.0  # to the baseline
        self.wait_count = 0.0  # decayed number of waits, of this proxy and its peers
        self.wait_sum = 0.0  # decayed sum of these waits (ms)
        self.waits_updated_at = 0.0
        self.gossip_id = hash_point(name.encode()) & 0xFFFFFF  # identifies it in messages between proxies

    def satisfies(self, constraint: PlacementConstraint) -> bool:
        """Returns whether the endpoint is in one of the zones, and of one of the kinds, of a constraint."""
        zones, kinds = constraint
        return self.zone in (zones or {self.zone}) and self.kind in (kinds or {self.kind})

    def reinstate(self) -> None:
        """Ends its degradation: it gets its whole share of the load again."""
        self.admitted_fraction = 1.0
        self.ejected = False
        self.relative_latency = 1.0

    def record_wait(self, now: float, wait_ms: float) -> None:
        """Records how long a request waited at the endpoint."""
        decay = exp((self.waits_updated_at - now) / WAIT_DECAY_MS)
        self.wait_count = self.wait_count * decay + 1.0
        self.wait_sum = self.wait_sum * decay + wait_ms
        self.waits_updated_at = now

    def mean_wait_ms(self, now: float) -> float:
        """Returns the recent mean wait at the endpoint (ms), by measurements of this proxy and its peers."""
        decay = exp((self.waits_updated_at - now) / WAIT_DECAY_MS)
        return self.wait_sum * decay / (self.wait_count * decay + WAIT_PRIOR_COUNT)

    def current_fraction(self, now: float) -> float:
        """Returns the fraction of its share that it gets now, which grows after each reduction."""
        if self.admitted_fraction >= 1.0:
            return 1.0
        doublings = min(MAX_DOUBLINGS, (now - self.fraction_set_at) / self.recovery_doubling_ms)
        growth: float = 2.0**doublings
        return self.admitted_fraction * growth

    def degrade(self, now: float, fraction: float, ejected_below: float) -> None:
        """Sets the fraction of its share that it gets; it is ejected at `ejected_below` or less."""
        self.admitted_fraction = fraction
        self.fraction_set_at = now
        self.ejected = fraction <= ejected_below
