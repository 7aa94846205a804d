"""Time slots on a common clock: a limit a second over the whole fleet without messages between proxies.

Each proxy has one slot in every period of `proxies / rate` seconds. The slots of all proxies lie side by side
in the order of the proxies' numbers, `1 / rate` seconds apart.

Invariants:
- Two numbers of one fleet never have the same slot, and a slot that was missed is not made up for.
- In any span of T seconds at most `rate * T + 1` slots fall due over the fleet, whatever its size. Where
  clocks differ by d seconds between proxies and processes are late by `SLOT_LATENESS_S` at most, the limit is
  `rate * (T + 2 d + SLOT_LATENESS_S) + 1`.
- A clock set back moves no slot: the common clock is read once, and spans are counted on the monotonic clock
  from there.
"""

SLOT_LATENESS_S = 0.3  # a slot used later than this has lapsed; a busy machine is late by less


class TimeSlots:
    """The slots of one proxy.

    Args:
        number: The proxy's number, from 0 to `proxies` - 1.
        proxies: How many proxies share the rate.
        rate: Slots a second over the whole fleet.
        now: The proxy's monotonic clock, in seconds.
        wall: The common clock at the same moment, in seconds.
        offset: Shifts the order of the proxies, so that a second use of slots has an order of its own.
    """

    def __init__(
        self, number: int, proxies: int, rate: float, now: float, wall: float, offset: int = 0
    ) -> None:
        self.gap_s = 1.0 / rate  # seconds between the slots of two neighbours
        self.proxies = max(1, proxies)
        self.offset = offset
        self.period_s = self.proxies * self.gap_s  # seconds between two slots of this proxy
        self._phase_s = (number + offset) % self.proxies * self.gap_s - wall % self.period_s + now
        self.created_at_s = now
        self.created_at_wall_s = wall

    def next_slot_at(self, now: float, contending: float = 1.0) -> float:
        """The first slot from now on, in seconds.

        Where only a part of the fleet contends for slots, the period is shortened to that part.
        """
        period_s = max(self.gap_s, self.period_s * min(1.0, contending))
        return self._phase_s + -((self._phase_s - now) // period_s) * period_s

    def is_expired(self, slot: float, now: float) -> bool:
        """Whether it is too late to use a slot.

        Without this, proxies whose processes were stopped together would all act at once when they resume.
        """
        return now > slot + SLOT_LATENESS_S
