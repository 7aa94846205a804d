"""When a proxy asks the discovery service for a watch.

Where the settings tell how many watches the service can begin a second (R, for N proxies), attempts use time
slots:

- A first attempt, or one after a watch that broke off, depends on the part p of the fleet that waits too: at
  once for p = 0, else in a slot of the period `min(1, 2 p) N / R`. An unknown part counts as 1.
- An attempt after a refusal uses the full period, and comes no sooner than the service said (Retry-After).

Where they do not tell it, a proxy asks at once, and after refusals with a backoff that grows with the fleet.
The first backoff is drawn from a wide span: attempts that begin in step would stay in step.

Invariants:
- Any second sees at most `1.3 R + 1` attempts in slots (processes are late by 0.3 s at most), and half of R
  more by chance (contention.py).
- The last of N proxies that start together has asked `N / R` after its start, and has its list after
  `1.3 N / R` if the service begins R watches a second. A proxy that is alone asks at once.
- A slot missed because the process was stopped is not used.
- A proxy never stops asking for good.
"""

from random import Random

from calicofall.startup.time_slots import TimeSlots

REOPEN_PAUSE_S = 0.1  # before an attempt after a watch that broke off
MAX_REOPEN_PAUSE_S = 0.5  # while the service answers nothing
UNANSWERED_S = 0.5  # an attempt that failed later than this was not answered; a sooner one was refused
FIRST_BACKOFF_S_PER_PROXY = 0.05  # after a first refusal
MAX_BACKOFF_S_PER_PROXY = 0.25
MIN_BACKOFF_LIMIT_S = 1.0  # the limit of a backoff is never lower, however small the fleet
MAX_BACKOFF_S = 5.0  # while a list is in use: what the service has to tell is binding after 6 s
FIRST_JITTER_LOW = 0.45  # part of the first backoff after a refusal, at the least
JITTER_LOW = 0.8
JITTER_HIGH = 1.1
SHORT_PERIOD_S = MAX_BACKOFF_S / 10  # a period of slots up to this needs no spreading


class DiscoverySchedule:
    """The time of one proxy's next attempt.

    Args:
        random: The source of jitter.
        proxies: How many proxies ask the same service.
        max_backoff_s: The upper limit of a backoff, in seconds.
        slots: The proxy's time slots, or None where the settings do not tell the service's rate.
    """

    def __init__(
        self,
        random: Random,
        proxies: int = 1,
        max_backoff_s: float = MAX_BACKOFF_S,
        slots: TimeSlots | None = None,
    ) -> None:
        self._random = random
        self.time_slots = slots
        # Without backoffs that grow with the fleet, proxies that all lost their watch at once would keep an
        # overloaded service busy with refusals.
        self._first_backoff_s = FIRST_BACKOFF_S_PER_PROXY * proxies
        self._max_backoff_s = min(max_backoff_s, max(MIN_BACKOFF_LIMIT_S, MAX_BACKOFF_S_PER_PROXY * proxies))
        self._pause_s = 0.0
        self._refusals = 0  # in a row
        self._slot: float | None = None  # the time slot of the next attempt

    def depends_on_contention(self) -> bool:
        """Whether it matters how many proxies wait: not where the service has capacity for all at once."""
        return self.time_slots is not None and self.time_slots.period_s > SHORT_PERIOD_S

    def first_attempt_at(self, now: float, waiting: float = 1.0) -> float:
        """When to make a first attempt, or one after a lost watch, in seconds.

        Args:
            now: The monotonic clock, in seconds.
            waiting: The part of the fleet that waits, too.
        """
        self._slot = None
        if self.time_slots is None or waiting <= 0.0 or not self.depends_on_contention():
            return now
        self._slot = self.time_slots.next_slot_at(now, 2.0 * waiting)
        return self._slot

    def retry_at_after_failure(self, now: float, took_s: float = 0.0) -> float:
        """When to try again (seconds) after a watch broke off, or nobody answered, after `took_s`."""
        if self.time_slots is not None and self.depends_on_contention():
            # Without slots here, the whole fleet would keep asking a service that answers nothing.
            self._slot = self.time_slots.next_slot_at(now + self.time_slots.gap_s / 2)
            return self._slot
        # A service that was silent gets a short pause: it may come back at any time, and what it tells then
        # is binding at once. One that fails at once is overloaded, and the pause grows.
        if took_s > UNANSWERED_S and not self._refusals:
            self._pause_s = REOPEN_PAUSE_S
        else:
            limit_s = max(MAX_REOPEN_PAUSE_S, self._pause_s)
            self._pause_s = min(limit_s, max(REOPEN_PAUSE_S, self._pause_s * 2))
        return now + self._pause_s * self._random.uniform(JITTER_LOW, JITTER_HIGH)

    def retry_at_after_refusal(self, now: float, retry_after_s: float = 0.0) -> float:
        """When to try again (seconds) after a refusal, which may tell how long to stay away (Retry-After)."""
        self._refusals += 1
        if self.time_slots is not None:
            self._slot = self.time_slots.next_slot_at(now + max(retry_after_s, self.time_slots.gap_s / 2))
            return self._slot
        self._pause_s = min(self._max_backoff_s, max(self._first_backoff_s, self._pause_s * 2))
        # Without a wide first span, proxies refused in the same second would ask in the same second again.
        low = FIRST_JITTER_LOW if self._refusals == 1 else JITTER_LOW
        backoff_s = self._pause_s * self._random.uniform(low, JITTER_HIGH)
        return now + max(min(retry_after_s, self._max_backoff_s), backoff_s)

    def postponed_until(self, now: float) -> float | None:
        """None if the attempt may be made now, or a later time if its slot has lapsed meanwhile."""
        if (
            self._slot is not None
            and self.time_slots is not None
            and self.time_slots.is_expired(self._slot, now)
        ):
            self._slot = self.time_slots.next_slot_at(now)
            return self._slot
        self._slot = None
        return None

    def reset_backoff(self) -> None:
        """The service has begun a watch: backoffs begin anew."""
        self._pause_s = 0.0
        self._refusals = 0
        self._slot = None
