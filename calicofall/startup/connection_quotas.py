"""One proxy's share of what an endpoint can take: handshakes a second, connections and warm-up requests.

Invariants, over N proxies:
- An endpoint sees at most `H * T + 1` handshakes in any T seconds. Each endpoint has time slots of its own
  (time_slots.py), and a slot that is not used lapses.
- An endpoint holds at most `N * floor(C / N) <= C` connections.
- An endpoint that warms up gets from all proxies together, on average, at most what it can do at its age.

The cost: a request that needs a new connection waits N / H seconds at most, or goes to another endpoint.
"""

from dataclasses import dataclass
from math import inf
from random import Random

from calicofall.fleet.rate_slots import SLOTS_PER_PROXY, RateSlots, SlotDemand
from calicofall.startup.time_slots import TimeSlots

MAX_WAIT_FRACTION = 0.8  # of what is left of the latency objective, that a request waits for a handshake slot


@dataclass(slots=True)
class HandshakeSlots:
    """The time slots of one endpoint, and the slot that was taken last."""

    time_slots: TimeSlots
    last_taken_at_s: float = -inf


class ConnectionQuotas:
    """What this proxy may use of every endpoint; None where the settings do not tell a limit.

    Args:
        number: The proxy's number.
        proxies: How many proxies share the limits.
        handshakes_per_s: Handshakes a second at an endpoint, over the fleet.
        connections: Connections at an endpoint, over the fleet.
        capacity_per_s: Requests a second that a warm endpoint of weight 1 can do.
        overload_factor: How many times its capacity breaks an endpoint that warms up.
        rate_slots: The handshake slots that are this proxy's now, where proxies lease them to each other.
    """

    # proxy/server.py passes the settings one by one.
    def __init__(  # noqa: PLR0913 - a parameter object needs an edit of proxy/server.py
        self,
        number: int,
        proxies: int,
        handshakes_per_s: float | None = None,
        connections: int | None = None,
        capacity_per_s: float | None = None,
        overload_factor: float | None = None,
        rate_slots: RateSlots | None = None,
    ) -> None:
        self._number = number
        self._proxies = max(1, proxies)
        self.handshakes_per_s = handshakes_per_s
        self.rate_slots = rate_slots or RateSlots(0, number, 0, self._proxies, 0.0, 0.0, 0.0, Random(number))
        self.max_connections = connections // self._proxies if connections is not None else None
        # Requests a millisecond and unit of weight. The router admits `overload_factor` times an endpoint's
        # share of them while it warms up. Without a figure, a fleet that is all new sends every endpoint that
        # warms up three requests a second in all, whatever it could do.
        self.capacity_share_per_ms = (
            (capacity_per_s or 0.0) / 1000.0 / self._proxies / (overload_factor or 1.0)
        )
        self.slots_by_endpoint: dict[str, HandshakeSlots] = {}
        self._demand: dict[str, SlotDemand] = {}  # handshakes, were there no limit

    def take_slot(self, name: str, offset: int, now: float, wall: float, needed: bool = True) -> float:
        """Takes the next handshake slot of an endpoint and returns its time, in seconds.

        Args:
            name: The endpoint.
            offset: Shifts the order of the proxies at this endpoint.
            now: The monotonic clock, in seconds.
            wall: The common clock, in seconds.
            needed: Whether a request needs the connection, which counts as demand.
        """
        if self.handshakes_per_s is None:
            return now
        slots = self.slots_by_endpoint.get(name)
        if slots is None:
            slots = HandshakeSlots(
                TimeSlots(self._number, self._proxies, self.handshakes_per_s, now, wall, offset)
            )
        slot = self.rate_slots.next_slot_at(
            slots.time_slots, now, max(now, slots.last_taken_at_s + slots.time_slots.gap_s / 2.0)
        )
        slots.last_taken_at_s = slot
        self.slots_by_endpoint[name] = slots
        if needed:
            self._demand.setdefault(name, SlotDemand()).add(now)
        return slot

    def return_slot(self, name: str, slot: float) -> None:
        """Gives back the slot that was taken last, if it is not needed."""
        slots = self.slots_by_endpoint.get(name)
        if slots is not None and slots.last_taken_at_s == slot:
            slots.last_taken_at_s = slot - slots.time_slots.gap_s

    def is_slot_expired(self, name: str, slot: float, now: float) -> bool:
        """Whether a slot may no longer be used: it is over, or leased to another proxy by now."""
        slots = self.slots_by_endpoint.get(name)
        return slots is not None and not self.rate_slots.may_use(slots.time_slots, slot, now)

    def demanded_slots(self, now: float) -> float:
        """Slots of a round that would be used at the busiest endpoint, were there no limit."""
        if self.handshakes_per_s is None:
            return 0.0
        rate = max((demand.rate_per_s(now) for demand in self._demand.values()), default=0.0)
        return rate * SLOTS_PER_PROXY * self._proxies / self.handshakes_per_s

    def retain_endpoints(self, names: set[str]) -> None:
        """Forgets all endpoints but these."""
        self.slots_by_endpoint = {
            name: slots for name, slots in self.slots_by_endpoint.items() if name in names
        }
        self._demand = {name: demand for name, demand in self._demand.items() if name in names}

    @staticmethod
    def max_wait_s(left_s: float) -> float:
        """How long a request waits for a slot (seconds), of what is left of its latency objective."""
        return max(0.0, left_s * MAX_WAIT_FRACTION)
