"""Rate slots: time slots of a rate limit over the fleet, which proxies lease to each other.

The slots are those of startup/time_slots.py. A round lasts SLOTS_PER_PROXY periods, so that each proxy owns
SLOTS_PER_PROXY slots in it, at times of its own. A lease (quota_leases.py) is of one slot; the first slot of
each proxy is never lent. All slots are at different times, so at most H T + 1 of them occur in any T seconds,
for a rate of H per second, whichever proxies use them. The states of a lease and their transitions are those
of quota_leases.py. The module performs no I/O.

Invariants:
- No two proxies use the same slot.
- A slot is not used once it is over, while it is lent, or after its lease has expired.

Bounds, for N proxies:

- requests: H (T + 2 d + SLOT_LATENESS_S) + 1 in T seconds, if clocks differ by at most d; one more for each
  proxy that is stopped between its check and the use
- guaranteed minimum: 1 / SLOTS_PER_PROXY of a proxy's own slots, whatever others demand; all of them after
  the grant duration without contact to others
- maximum: SLOTS_PER_PROXY + MAX_BORROWED_LEASES slots in a round
- wait for a slot: N / H s while none is lent, SLOTS_PER_PROXY times that while all are
"""

from bisect import insort
from math import exp, inf
from random import Random

from calicofall.fleet.quota_leases import LeaseKey, QuotaLeaseMessage, QuotaLeases
from calicofall.startup.time_slots import SLOT_LATENESS_S, TimeSlots

SLOTS_PER_PROXY = 4  # slots that each proxy owns in a round
DEMAND_WINDOW_S = 2.0  # time in which the demand average decays to 1 / e

# A slot of a round: the proxy that owns it, and its index among that proxy's slots. These are created for
# each request, so they are plain tuples.
SlotId = tuple[int, int]


class RateSlots(QuotaLeases):
    """The slots of one limit at one proxy. With a `lease_s` of 0 nothing is lent: it uses all of its own."""

    min_lease_units = 1
    max_leases_per_owner = SLOTS_PER_PROXY - 1

    def __init__(  # noqa: PLR0913 -- proxy/ and startup/ pass these by position
        self,
        limit_id: int,
        proxy_number: int,
        incarnation: int,
        proxies: int,
        now: float,
        lease_s: float,
        drift: float,
        random_generator: Random,
    ) -> None:
        self.proxies = max(1, proxies)
        self.total = SLOTS_PER_PROXY * self.proxies
        super().__init__(
            limit_id, proxy_number, incarnation, self.proxies, now, lease_s, drift, random_generator
        )
        self.granted_slots: dict[LeaseKey, int] = {}  # by lease, which of this proxy's slots is lent
        self.borrowed_slots: dict[int, int] = {}  # by lease identifier, which of its owner's slots it is of
        self.last_usable_slots: set[SlotId] = set()  # the result of the last call of `usable_slots`
        self.gained_at = now  # when a slot was last added to these

    @property
    def max_lease_units(self) -> int:
        """The number of units in one lease: one slot."""
        return 1

    def _choose_slot(self, message: QuotaLeaseMessage) -> int:
        self.granted_slots = {
            key: slot for key, slot in self.granted_slots.items() if key in self.lent_leases
        }
        free = set(range(1, SLOTS_PER_PROXY)) - set(self.granted_slots.values())
        key = LeaseKey(message.sender, message.incarnation, message.correlation_id)
        slot = self.granted_slots.setdefault(key, min(free, default=0))
        self.last_usable_slots.discard((self.own_id, slot))
        return slot

    def _on_lease_held(self, message: QuotaLeaseMessage, is_new: bool) -> None:
        self.borrowed_slots = {
            lease_id: slot
            for lease_id, slot in self.borrowed_slots.items()
            if lease_id in self.borrowed_leases
        }
        if not 0 < message.slot < SLOTS_PER_PROXY:
            # The message is invalid: an owner never lends its first slot.
            self.borrowed_leases.pop(message.correlation_id)
            return
        self.borrowed_slots[message.correlation_id] = message.slot
        if is_new:
            # This proxy may have had the slot before, and another proxy since, so it counts as newly gained.
            self.last_usable_slots.discard((message.sender, message.slot))

    def usable_slots(self, now: float) -> set[SlotId]:
        """Returns the slots of a round that this proxy may use now."""
        self.usable_units(now)  # drops the leases that have expired
        lent_slots = (
            set(range(1, SLOTS_PER_PROXY))
            if self._is_new(now)
            else {self.granted_slots[key] for key in self.lent_leases}
        )
        slots = {(self.own_id, slot) for slot in range(SLOTS_PER_PROXY) if slot not in lent_slots}
        slots |= {
            (lease.owner, self.borrowed_slots[lease_id]) for lease_id, lease in self.borrowed_leases.items()
        }
        if slots - self.last_usable_slots:
            self.gained_at = now
        self.last_usable_slots = slots
        return slots

    def next_slot_at(self, time_slots: TimeSlots, now: float, after: float) -> float:
        """Returns the first time (s), from `after` on, of a slot that this proxy may use now."""
        round_s = SLOTS_PER_PROXY * time_slots.period_s
        round_start = self._round_start(time_slots)
        first_times = (
            round_start
            + (owner + time_slots.offset) % self.proxies * time_slots.gap_s
            + slot * time_slots.period_s
            for owner, slot in self.usable_slots(now)
        )
        return min(first + -((first - after) // round_s) * round_s for first in first_times)

    def may_use(self, time_slots: TimeSlots, slot_at: float, now: float) -> bool:
        """Returns whether the slot at `slot_at` may be used now; has to be called right before the use."""
        if now > slot_at + SLOT_LATENESS_S:
            return False
        index = round((slot_at - self._round_start(time_slots)) / time_slots.gap_s) % self.total
        slot, position = divmod(index, self.proxies)
        return ((position - time_slots.offset) % self.proxies, slot) in self.usable_slots(now)

    @staticmethod
    def _round_start(time_slots: TimeSlots) -> float:
        """Returns when the round started in which the time slots were set up."""
        return time_slots.created_at_s - time_slots.created_at_wall_s % (
            SLOTS_PER_PROXY * time_slots.period_s
        )


class SlotDemand:
    """The slots per second that would be used without a limit, as an exponentially decaying mean."""

    def __init__(self) -> None:
        self.weight = 0.0
        self.updated_at = 0.0

    def add(self, now: float, count: float = 1.0) -> None:
        """Adds a number of slots to the demand."""
        self.weight = self.weight * exp((self.updated_at - now) / DEMAND_WINDOW_S) + count
        self.updated_at = now

    def rate_per_s(self, now: float) -> float:
        """Returns the demand in slots per second."""
        return self.weight * exp((self.updated_at - now) / DEMAND_WINDOW_S) / DEMAND_WINDOW_S


class OriginFetchSlots:
    """This proxy's slots for requests that may need the origin, of `slots_per_s` over the fleet.

    A slot may be used up to SLOT_LATENESS_S after its time, if this proxy had it then. A slot that was taken
    and not needed may be used again within the same time, and not later: otherwise proxies could save up
    slots and use all of them at once.
    """

    def __init__(self, rate_slots: RateSlots, slots_per_s: float, now: float, wall_clock_s: float) -> None:
        self.rate_slots = rate_slots
        self.time_slots = TimeSlots(rate_slots.own_id, rate_slots.proxies, slots_per_s, now, wall_clock_s)
        self.last_used_at = -inf
        self.returned_slots: list[float] = []  # times of slots that were taken and not needed, ascending
        self.demand = SlotDemand()

    def due_at(self, now: float) -> float:
        """Returns when the next request may be sent (s); it may be now if that time is past."""
        while self.returned_slots and self.returned_slots[0] + SLOT_LATENESS_S < now:
            self.returned_slots.pop(0)
        if self.returned_slots:
            return self.returned_slots[0]
        self.rate_slots.usable_slots(now)
        # Not before a slot was last gained: before that, another proxy may have used it.
        since = max(
            now - SLOT_LATENESS_S, self.rate_slots.gained_at, self.last_used_at + self.time_slots.gap_s / 2.0
        )
        return self.rate_slots.next_slot_at(self.time_slots, now, since)

    def take(self, now: float) -> float:
        """Takes a slot for a request that is sent now; returns the time of the slot (s)."""
        slot_at = self.due_at(now)
        if self.returned_slots:
            self.returned_slots.pop(0)
        else:
            self.last_used_at = slot_at
        self.demand.add(now)
        return slot_at

    def return_slot(self, now: float, slot_at: float) -> None:
        """Gives back the slot at the time `slot_at` (s), whose request did not need the origin."""
        insort(self.returned_slots, slot_at)
        self.demand.add(now, -1.0)

    def wanted_slots(self, now: float) -> float:
        """Returns how many slots of a round would be used without a limit."""
        return self.demand.rate_per_s(now) * SLOTS_PER_PROXY * self.time_slots.period_s
