"""One proxy's share of an endpoint's limits: handshakes per second, connections and warm-up requests.

Invariants, for N proxies, H handshakes per second and C connections:
- An endpoint receives at most `H * T + 1` handshakes in any T seconds. Each endpoint has its own time slots,
  and an unused slot expires. Clock differences and late processes add to this bound (time_slots.py).
- An endpoint has at most `N * floor(C / N) <= C` connections.
- During its warm-up, an endpoint receives from all proxies together, on average, at most the rate that it can
  serve at its age.

The cost: a request that needs a new connection waits for at most N / H seconds (longer while this proxy's
slots are leased to others, see fleet/rate_slots.py), or is sent to another endpoint.
"""

from dataclasses import dataclass
from math import inf
from random import Random

from calicofall.fleet.rate_slots import SLOTS_PER_PROXY, RateSlots, SlotDemand
from calicofall.startup.time_slots import TimeSlots

# Fraction of the remaining latency objective that a request may wait for a handshake slot.
MAX_WAIT_FRACTION = 0.8


@dataclass(slots=True)
class HandshakeSlots:
    """The handshake time slots of one endpoint, and the time of the slot that was taken last (s)."""

    time_slots: TimeSlots
    last_taken_at_s: float = -inf


class ConnectionQuotas:
    """This proxy's share of each endpoint's limits; a limit that is not configured is None.

    Args:
        proxy_number: The number of this proxy in the fleet.
        proxies: How many proxies share the limits.
        handshakes_per_s: Handshakes per second at one endpoint, over the fleet.
        connections: Connections at one endpoint, over the fleet.
        endpoint_capacity_per_s: Requests per second that a warm endpoint of weight 1 can serve.
        overload_multiple: The multiple of its capacity at which an endpoint in warm-up fails.
        rate_slots: The handshake slots that this proxy holds, where proxies lease slots to each other.
    """

    # proxy/server.py passes the settings as separate arguments.
    def __init__(  # noqa: PLR0913 - a parameter object needs an edit of proxy/server.py
        self,
        proxy_number: int,
        proxies: int,
        handshakes_per_s: float | None = None,
        connections: int | None = None,
        endpoint_capacity_per_s: float | None = None,
        overload_multiple: float | None = None,
        rate_slots: RateSlots | None = None,
    ) -> None:
        self._proxy_number = proxy_number
        self._proxies = max(1, proxies)
        self.handshakes_per_s = handshakes_per_s
        self.rate_slots = rate_slots or RateSlots(
            0, proxy_number, 0, self._proxies, 0.0, 0.0, 0.0, Random(proxy_number)
        )
        self.max_connections = connections // self._proxies if connections is not None else None
        # Requests per millisecond and unit of weight. During warm-up, the router admits `overload_multiple`
        # times an endpoint's share of them. If no capacity is configured, a completely new fleet sends each
        # endpoint in warm-up only three requests per second in total, however many the endpoint could serve.
        self.capacity_share_per_ms = (
            (endpoint_capacity_per_s or 0.0) / 1000.0 / self._proxies / (overload_multiple or 1.0)
        )
        self.slots_by_endpoint: dict[str, HandshakeSlots] = {}
        self._demand: dict[str, SlotDemand] = {}  # handshakes that would be made without a limit

    def take_slot(
        self, name: str, offset: int, now: float, wall_clock_s: float, needed: bool = True
    ) -> float:
        """Takes the next handshake slot of an endpoint and returns its time, in seconds.

        Args:
            name: The endpoint's name.
            offset: Shifts the order in which proxies have their slots at this endpoint.
            now: The monotonic clock, in seconds.
            wall_clock_s: The clock that all proxies share, in seconds.
            needed: Whether a request needs the connection, so that it counts as demand.
        """
        if self.handshakes_per_s is None:
            return now
        slots = self.slots_by_endpoint.get(name)
        if slots is None:
            slots = HandshakeSlots(
                TimeSlots(self._proxy_number, self._proxies, self.handshakes_per_s, now, wall_clock_s, offset)
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
        """Returns an unneeded slot so that it can be taken again, if it was the last one taken."""
        slots = self.slots_by_endpoint.get(name)
        if slots is not None and slots.last_taken_at_s == slot:
            slots.last_taken_at_s = slot - slots.time_slots.gap_s

    def is_slot_expired(self, name: str, slot: float, now: float) -> bool:
        """Whether a slot must not be used any more: it has expired, or is leased to another proxy now."""
        slots = self.slots_by_endpoint.get(name)
        return slots is not None and not self.rate_slots.may_use(slots.time_slots, slot, now)

    def demanded_slots(self, now: float) -> float:
        """Slots of a round that would be used at the busiest endpoint if there were no limit."""
        if self.handshakes_per_s is None:
            return 0.0
        rate = max((demand.rate_per_s(now) for demand in self._demand.values()), default=0.0)
        return rate * SLOTS_PER_PROXY * self._proxies / self.handshakes_per_s

    def retain_endpoints(self, names: set[str]) -> None:
        """Discards the state of all endpoints except the named ones."""
        self.slots_by_endpoint = {
            name: slots for name, slots in self.slots_by_endpoint.items() if name in names
        }
        self._demand = {name: demand for name, demand in self._demand.items() if name in names}

    @staticmethod
    def max_wait_s(remaining_s: float) -> float:
        """How long a request may wait for a slot, in seconds.

        Args:
            remaining_s: What remains of the request's latency objective, in seconds.
        """
        return max(0.0, remaining_s * MAX_WAIT_FRACTION)
