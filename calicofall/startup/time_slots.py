"""Time slots on a shared clock: a rate limit over the whole fleet without messages between proxies.

Each proxy has one slot in every period of `proxies / rate` seconds. The slots of all proxies follow each
other in the order of the proxies' numbers, `1 / rate` seconds apart.

Invariants:
- Two proxies with different numbers never have the same slot, and a missed slot is not replaced.
- Over a fleet of any size, at most `rate * T + 1` slots are due in any T seconds. If the clocks of proxies
  differ by up to d seconds and processes are late by up to `SLOT_LATENESS_S`, the limit is
  `rate * (T + 2 d + SLOT_LATENESS_S) + 1`.
- Setting a clock back moves no slot: the shared clock is read once, and later times are measured from there
  on the monotonic clock.
"""

SLOT_LATENESS_S = 0.3  # after which a slot has expired; delays on a busy machine are shorter


class TimeSlots:
    """The slots of one proxy.

    Args:
        proxy_number: The proxy's number, from 0 to `proxies` - 1.
        proxies: How many proxies share the rate.
        rate: Slots per second over the whole fleet.
        now: The proxy's monotonic clock, in seconds.
        wall_clock_s: The shared clock at the same moment, in seconds.
        offset: Shifts the order of the proxies, so that each use of slots can have an order of its own.
    """

    def __init__(
        self, proxy_number: int, proxies: int, rate: float, now: float, wall_clock_s: float, offset: int = 0
    ) -> None:
        self.gap_s = 1.0 / rate  # between the slots of consecutive proxies
        self.proxies = max(1, proxies)
        self.offset = offset
        self.period_s = self.proxies * self.gap_s  # between two slots of this proxy
        self._phase_s = (
            (proxy_number + offset) % self.proxies * self.gap_s - wall_clock_s % self.period_s + now
        )
        self.created_at_s = now
        self.created_at_wall_s = wall_clock_s

    def next_slot_at(self, now: float, contending_fraction: float = 1.0) -> float:
        """The time of the first slot from `now` on, in seconds on the monotonic clock.

        If only a fraction of the fleet contends for slots, the period is shortened to that fraction.
        """
        period_s = max(self.gap_s, self.period_s * min(1.0, contending_fraction))
        return self._phase_s + -((self._phase_s - now) // period_s) * period_s

    def is_expired(self, slot: float, now: float) -> bool:
        """Whether it is too late to use the slot of the time `slot`.

        Without this check, proxies whose processes were stopped together would all act at once on resuming.
        """
        return now > slot + SLOT_LATENESS_S
