"""What a proxy knows of one cache, or of the origin."""

from enum import StrEnum
from math import exp

from calicofall.routing.rendezvous import hash_point
from calicofall.routing.sliding_window import SlidingWindow

# The zones and kinds of machines that a method is bound to; None: any.
PlacementConstraint = tuple[frozenset[str] | None, frozenset[str] | None]
UNCONSTRAINED: PlacementConstraint = (None, None)

SENT_SPAN_MS = 60_000.0  # requests sent to an endpoint are counted over this time
SENT_BUCKETS = 6
WARMING_SPAN_MS = 16_000.0  # requests that were to go to an endpoint that warms up, over this time
RECOVERY_DOUBLING_MS = 5_000.0  # the admitted fraction of a degraded endpoint doubles in so long
MAX_DOUBLINGS = 9.0
WAIT_FADE_MS = 1500.0  # the news of how long requests wait fades in this time
WAIT_PRIOR_COUNT = 2.0  # answers without a wait that the mean begins with


class EndpointState(StrEnum):
    """The state of an endpoint in the list, as the list's messages spell it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Endpoint:
    """A cache or an origin: what the list says of it, and what this proxy found out."""

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
        """An endpoint of which nothing is known but its name."""
        self.name = name
        self.salt = hash_point(name.encode()) | 1  # odd: times it, no two points meet
        self.listed_start = 0.0
        self.weight = 1.0
        self.started_at = 0.0  # the listed start, corrected by our clock (ms); 0: not told
        self.ready = True
        self.cell = 0
        self.zone = ""
        self.kind = ""
        self.in_flight = 0  # requests in flight
        self.last_heard_at = 0.0
        self.draining = False  # last listed as draining
        self.sent = SlidingWindow(SENT_SPAN_MS, SENT_BUCKETS)
        self.warming_requests = SlidingWindow(WARMING_SPAN_MS, 8)
        self.admitted_fraction = 1.0  # of what it owns, when last set
        self.fraction_set_at = 0.0
        self.recovery_doubling_ms = RECOVERY_DOUBLING_MS
        self.ejected = False
        self.relative_latency = 1.0  # to the baseline
        self.wait_count = 0.0  # answers lately, ours and peers', faded
        self.wait_sum = 0.0  # their waits (ms), faded
        self.waits_updated_at = 0.0
        self.gossip_id = hash_point(name.encode()) & 0xFFFFFF  # how messages between proxies name it

    def satisfies(self, place: PlacementConstraint) -> bool:
        """Whether it stands in one of the place's zones and is of one of its kinds."""
        zones, kinds = place
        return self.zone in (zones or {self.zone}) and self.kind in (kinds or {self.kind})

    def reinstate(self) -> None:
        """Forgets what was held against it: it is sent all it owns."""
        self.admitted_fraction = 1.0
        self.ejected = False
        self.relative_latency = 1.0

    def record_wait(self, now: float, wait_ms: float) -> None:
        """Counts how long a request waited there."""
        fade = exp((self.waits_updated_at - now) / WAIT_FADE_MS)
        self.wait_count = self.wait_count * fade + 1.0
        self.wait_sum = self.wait_sum * fade + wait_ms
        self.waits_updated_at = now

    def mean_wait_ms(self, now: float) -> float:
        """How long requests waited there lately (ms), by all that is known here."""
        fade = exp((self.waits_updated_at - now) / WAIT_FADE_MS)
        return self.wait_sum * fade / (self.wait_count * fade + WAIT_PRIOR_COUNT)

    def current_fraction(self, now: float) -> float:
        """The fraction of what it owns that it is sent now: it doubles while nothing speaks against it."""
        if self.admitted_fraction >= 1.0:
            return 1.0
        doublings = min(MAX_DOUBLINGS, (now - self.fraction_set_at) / self.recovery_doubling_ms)
        growth: float = 2.0**doublings
        return self.admitted_fraction * growth

    def degrade(self, now: float, fraction: float, ejected_below: float) -> None:
        """Sends it this fraction of what it owns from now on; it is ejected at `ejected_below` or less."""
        self.admitted_fraction = fraction
        self.fraction_set_at = now
        self.ejected = fraction <= ejected_below
