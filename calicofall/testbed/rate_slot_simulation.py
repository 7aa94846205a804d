"""Simulation of rate slots: many instances that lend time slots, in one process, and the slots they use.

Invariants:
    An instance sees no more of the others than a proxy would.
"""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from calicofall.fleet.quota_leases import UNITS
from calicofall.fleet.rate_slots import OriginFetchSlots, RateSlots
from calicofall.startup.time_slots import TimeSlots
from calicofall.testbed.checker import max_count_in_window
from calicofall.testbed.quota_simulation import QuotaSimulation
from calicofall.testbed.simulation import SimulatedNode

WALL_CLOCK_OFFSET_S = 7_000.0  # time of day at the beginning of the simulation
SHORTEST_WAIT_S = 1e-6
FETCH_INTERVAL_S = 0.01
RETURN_DELAY_S = 0.02  # from the use of a slot until it is known that it was not needed


def slot_index(time_slots: TimeSlots, slot_at: float) -> int:
    """Return the number of a slot among all slots of the fleet, by the time of day."""
    return round((slot_at - time_slots.created_at_s + time_slots.created_at_wall_s) / time_slots.gap_s)


class RateSlotSimulation(QuotaSimulation):
    """A fleet that shares `slots_per_s` slots a second, where each proxy uses all that it has.

    `demands` holds the demand of each proxy in UNITS, as in quota simulations. The proxies' times of day
    differ by up to `skew` seconds.

    Attributes:
        taken_at: When slots were used (s).
        takers_by_slot: By number of a slot, how many proxies used it.
    """

    def __init__(
        self,
        fleet: int,
        seed: int,
        make: Callable[..., RateSlots] = RateSlots,
        slots_per_s: float = 50.0,
        skew: float = 0.0,
        **links: float,
    ) -> None:
        self.slots_per_s = slots_per_s
        self.skew = skew
        self.time_slots_by_node: dict[int, TimeSlots] = {}  # by node
        self.taken_at: list[float] = []
        self.takers_by_slot: Counter[int] = Counter()
        super().__init__(fleet, seed, make, drift=0.0, **links)

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> RateSlots:
        """Return a new instance for a node, which begins to use its slots."""
        instance = super().build(node, incarnation, random_generator)
        assert isinstance(instance, RateSlots)
        wall = self.now + WALL_CLOCK_OFFSET_S + self.skew * self.random_generator.random()
        self.time_slots_by_node[node.me] = TimeSlots(
            node.me, len(self.fleet), self.slots_per_s, node.clock(self.now), wall
        )
        self.at(self.now, self.take_slots, node, node.incarnation)
        return instance

    def demand_units(self, node: SimulatedNode) -> int:
        """Return how many slots of a round a node could use."""
        instance: RateSlots = node.instance
        return self.demands[node.me] * instance.total // UNITS

    def take_slots(self, node: SimulatedNode, incarnation: int, slot_at: float | None = None) -> None:
        """Use the slot that is due, if it still may be used, and schedule the next one."""
        if not self.alive(node, incarnation, self.take_slots, node, incarnation, slot_at):
            return
        instance: RateSlots = node.instance
        now = node.clock(self.now)
        time_slots = self.time_slots_by_node[node.me]
        if slot_at is not None and self.demands[node.me] and instance.may_use(time_slots, slot_at, now):
            self.taken_at.append(self.now)
            self.takers_by_slot[slot_index(time_slots, slot_at)] += 1
        next_slot_at = instance.next_slot_at(
            time_slots, now, now if slot_at is None else max(now, slot_at + time_slots.gap_s / 2.0)
        )
        wait_s = max(0.0, next_slot_at - now) + SHORTEST_WAIT_S
        self.at(self.now + wait_s, self.take_slots, node, incarnation, next_slot_at)

    def observe(self) -> None:
        """Count the observation alone: tests check the slots that were used, not usable units."""
        self.observations += 1

    @property
    def slots_taken_twice(self) -> int:
        """The number of slots that were used by two proxies or more."""
        return sum(count > 1 for count in self.takers_by_slot.values())

    @property
    def peak_slots_per_s(self) -> int:
        """The most slots that were used within a second."""
        return max_count_in_window(self.taken_at)[0]


class OriginFetchSimulation(RateSlotSimulation):
    """Slots for fetches at an origin: each proxy takes all it may, and returns a fraction as not needed."""

    def __init__(self, *values: Any, returned_fraction: float = 0.5, **more: Any) -> None:
        self.returned_fraction = returned_fraction
        self.origin_slots: dict[int, OriginFetchSlots] = {}  # by node
        super().__init__(*values, **more)

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> RateSlots:
        """Return a new instance for a node, with its slots at the origin."""
        instance = super().build(node, incarnation, random_generator)
        origin_slots = OriginFetchSlots(instance, self.slots_per_s, node.clock(self.now), 0.0)
        origin_slots.time_slots = self.time_slots_by_node[node.me]
        self.origin_slots[node.me] = origin_slots
        return instance

    def take_slots(self, node: SimulatedNode, incarnation: int, slot_at: float | None = None) -> None:
        """Use all slots that may be used now."""
        if not self.alive(node, incarnation, self.take_slots, node, incarnation):
            return
        now = node.clock(self.now)
        origin_slots = self.origin_slots[node.me]
        while self.demands[node.me] and origin_slots.due_at(now) <= now:
            slot_at = origin_slots.take(now)
            if self.random_generator.random() < self.returned_fraction:
                self.at(self.now + RETURN_DELAY_S, self.return_slot, node, incarnation, slot_at)
            else:
                self.taken_at.append(self.now)
                self.takers_by_slot[slot_index(origin_slots.time_slots, slot_at)] += 1
        self.at(self.now + FETCH_INTERVAL_S, self.take_slots, node, incarnation)

    def return_slot(self, node: SimulatedNode, incarnation: int, slot_at: float) -> None:
        """Return a slot that was used but not needed."""
        if self.alive(node, incarnation, self.return_slot, node, incarnation, slot_at):
            self.origin_slots[node.me].return_slot(node.clock(self.now), slot_at)
