"""Time slots at a limit on a rate over the fleet, which proxies lend each other.

The slots are those of startup/time_slots.py. A round lasts SLOTS periods, so that each proxy owns SLOTS slots
of it, at moments of its own. A lease (quota_leases.py) is one slot; the first of each proxy is never lent.
All slots are at different moments, so at most H T + 1 fall due in any T seconds, for a rate of H a second,
whoever has them. The states of a lease and their transitions are those of quota_leases.py. The module does
no I/O.

Invariants:
- No two proxies use the same slot.
- A slot is used neither after it is over nor once it is lent or its lease has expired.

Bounds, for N proxies:

- over the limit: H (T + 2 d + SLOT_LATENESS_S) + 1 in T seconds, where clocks differ by d at most; one more
  for each proxy that is stopped between its check and its use
- floor: 1 / SLOTS of a proxy's own slots, whatever others demand; all of them after the grant time alone
- ceiling: SLOTS + MAX_BORROWED_LEASES slots in a round
- wait for a slot: N / H s while none is lent, SLOTS times that while all are
"""

from bisect import insort
from math import exp, inf
from random import Random

from calicofall.fleet.quota_leases import LeaseKey, QuotaLeaseMessage, QuotaLeases
from calicofall.startup.time_slots import SLOT_LATENESS_S, TimeSlots

SLOTS_PER_PROXY = 4  # of each proxy in a round
DEMAND_WINDOW_S = 2.0  # demand decays to 1 / e in this time

# A slot of a round: the proxy that owns it, and which of its slots it is. These are made for each request,
# so they are plain tuples.
OwnedSlot = tuple[int, int]


class RateSlots(QuotaLeases):
    """The slots of one limit at one proxy. With a `lease` of 0 s nothing is lent: it keeps all of its own."""

    min_lease_units = 1
    max_leases_per_owner = SLOTS_PER_PROXY - 1

    def __init__(  # noqa: PLR0913 -- proxy/ and startup/ pass these by position
        self,
        limit_id: int,
        own_id: int,
        incarnation: int,
        proxies: int,
        now: float,
        lease: float,
        drift: float,
        rng: Random,
    ) -> None:
        self.proxies = max(1, proxies)
        self.total = SLOTS_PER_PROXY * self.proxies
        super().__init__(limit_id, own_id, incarnation, self.proxies, now, lease, drift, rng)
        self.granted_slots: dict[LeaseKey, int] = {}  # which of our slots each lease is of
        self.borrowed_slots: dict[int, int] = {}  # by the lease's number, which of its owner's slots it is
        self.last_owned_slots: set[OwnedSlot] = set()  # the result of the last call of `owned_slots`
        self.gained_at = now  # when a slot was last added to these

    @property
    def max_lease_units(self) -> int:
        """Units in one lease: one slot."""
        return 1

    def _choose_slot(self, message: QuotaLeaseMessage) -> int:
        self.granted_slots = {
            key: slot for key, slot in self.granted_slots.items() if key in self.lent_leases
        }
        free = set(range(1, SLOTS_PER_PROXY)) - set(self.granted_slots.values())
        key = LeaseKey(message.sender, message.incarnation, message.correlation_id)
        slot = self.granted_slots.setdefault(key, min(free, default=0))
        self.last_owned_slots.discard((self.own_id, slot))
        return slot

    def _on_lease_held(self, message: QuotaLeaseMessage, is_new: bool) -> None:
        self.borrowed_slots = {
            lease_id: slot
            for lease_id, slot in self.borrowed_slots.items()
            if lease_id in self.borrowed_leases
        }
        if not 0 < message.slot < SLOTS_PER_PROXY:
            # An invalid message: an owner never lends its first slot.
            self.borrowed_leases.pop(message.correlation_id)
            return
        self.borrowed_slots[message.correlation_id] = message.slot
        if is_new:
            # The slot may have been ours before and another's meanwhile, so it counts as gained anew.
            self.last_owned_slots.discard((message.sender, message.slot))

    def owned_slots(self, now: float) -> set[OwnedSlot]:
        """The slots of a round that may be used here now."""
        self.usable_units(now)  # drops the leases that have expired
        lent = (
            set(range(1, SLOTS_PER_PROXY))
            if self._is_new(now)
            else {self.granted_slots[key] for key in self.lent_leases}
        )
        slots = {(self.own_id, slot) for slot in range(SLOTS_PER_PROXY) if slot not in lent}
        slots |= {
            (lease.owner, self.borrowed_slots[lease_id]) for lease_id, lease in self.borrowed_leases.items()
        }
        if slots - self.last_owned_slots:
            self.gained_at = now
        self.last_owned_slots = slots
        return slots

    def next_slot_at(self, time_slots: TimeSlots, now: float, after: float) -> float:
        """The first moment (s) from `after` on of a slot that may be used here now."""
        round_s = SLOTS_PER_PROXY * time_slots.period_s
        round_start = self._round_start(time_slots)
        firsts = (
            round_start
            + (owner + time_slots.offset) % self.proxies * time_slots.gap_s
            + slot * time_slots.period_s
            for owner, slot in self.owned_slots(now)
        )
        return min(first + -((first - after) // round_s) * round_s for first in firsts)

    def may_use(self, time_slots: TimeSlots, slot_at: float, now: float) -> bool:
        """Whether the slot at the moment `slot_at` may be used now; to be called right before the use."""
        if now > slot_at + SLOT_LATENESS_S:
            return False
        index = round((slot_at - self._round_start(time_slots)) / time_slots.gap_s) % self.total
        slot, place = divmod(index, self.proxies)
        return ((place - time_slots.offset) % self.proxies, slot) in self.owned_slots(now)

    @staticmethod
    def _round_start(time_slots: TimeSlots) -> float:
        """When the round began in which the time slots were set up."""
        return time_slots.created_at_s - time_slots.created_at_wall_s % (
            SLOTS_PER_PROXY * time_slots.period_s
        )


class SlotDemand:
    """How many slots a second would be used without a limit, as an exponentially decaying mean."""

    def __init__(self) -> None:
        self.weight = 0.0
        self.updated_at = 0.0

    def add(self, now: float, count: float = 1.0) -> None:
        """Counts that so many more slots are needed."""
        self.weight = self.weight * exp((self.updated_at - now) / DEMAND_WINDOW_S) + count
        self.updated_at = now

    def rate_per_s(self, now: float) -> float:
        """Slots a second."""
        return self.weight * exp((self.updated_at - now) / DEMAND_WINDOW_S) / DEMAND_WINDOW_S


class OriginFetchSlots:
    """This proxy's slots for requests that may need the origin, of `slots_per_s` over the fleet.

    A slot may be used up to SLOT_LATENESS_S after its moment, if it was ours then. One that wasn't needed is
    used again within the same time, and not later: otherwise proxies could save slots and use all of them at
    once.
    """

    def __init__(self, rate_slots: RateSlots, slots_per_s: float, now: float, wall: float) -> None:
        self.rate_slots = rate_slots
        self.time_slots = TimeSlots(rate_slots.own_id, rate_slots.proxies, slots_per_s, now, wall)
        self.last_used_at = -inf
        self.returned_slots: list[float] = []  # moments of slots that were taken and not needed, ascending
        self.demand = SlotDemand()

    def due_at(self, now: float) -> float:
        """From when on the next request may be sent (s); in the past for a slot that may still be used."""
        while self.returned_slots and self.returned_slots[0] + SLOT_LATENESS_S < now:
            self.returned_slots.pop(0)
        if self.returned_slots:
            return self.returned_slots[0]
        self.rate_slots.owned_slots(now)
        # Not before a slot was gained last: at its moment before that it was another proxy's.
        since = max(
            now - SLOT_LATENESS_S, self.rate_slots.gained_at, self.last_used_at + self.time_slots.gap_s / 2.0
        )
        return self.rate_slots.next_slot_at(self.time_slots, now, since)

    def take(self, now: float) -> float:
        """A request is sent; returns the moment of the slot that it uses (s)."""
        slot_at = self.due_at(now)
        if self.returned_slots:
            self.returned_slots.pop(0)
        else:
            self.last_used_at = slot_at
        self.demand.add(now)
        return slot_at

    def return_slot(self, now: float, slot_at: float) -> None:
        """The request that used the slot of this moment (s) didn't need the origin."""
        insort(self.returned_slots, slot_at)
        self.demand.add(now, -1.0)

    def wanted_slots(self, now: float) -> float:
        """Slots of a round that would be used without a limit."""
        return self.demand.rate_per_s(now) * SLOTS_PER_PROXY * self.time_slots.period_s
