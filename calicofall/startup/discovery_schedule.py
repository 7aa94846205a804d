"""Decides when a proxy asks the discovery service for a watch.

If the settings state how many watches the service can begin per second (R, for N proxies), attempts use time
slots:

- A first attempt, or one after a lost watch, depends on the fraction p of the fleet that waits as well. For
  p = 0 it is made immediately, otherwise in a slot of the period `min(1, 2 p) N / R`. If p is unknown, 1 is
  assumed.
- An attempt after a refusal uses the full period, and is made no earlier than the service asked for in its
  Retry-After header.

If the settings do not state R, a proxy asks immediately, and backs off after refusals by a delay that grows
with the size of the fleet. The first backoff has a wide jitter, since attempts that start in step would
otherwise stay in step.

Invariants:
- In any second there are at most `1.3 R + 1` attempts in slots (processes are late by at most 0.3 s), and on
  average at most R / 2 attempts outside them (contention.py).
- Of N proxies that start together, the last one makes its attempt within `N / R` seconds, and has its list
  within `1.3 N / R` seconds if the service begins R watches per second. A single proxy asks immediately.
- A slot that was missed because the process was stopped is not used later.
- A proxy never gives up.
"""

from random import Random

from calicofall.startup.time_slots import TimeSlots

REOPEN_PAUSE_S = 0.1  # before the first attempt after a lost watch
MAX_REOPEN_PAUSE_S = 0.5  # limit of the pause that grows while attempts fail immediately
# An attempt that fails after a longer time was not answered; one that fails earlier was rejected.
UNANSWERED_S = 0.5
FIRST_BACKOFF_S_PER_PROXY = 0.05  # after a first refusal
MAX_BACKOFF_S_PER_PROXY = 0.25
MIN_BACKOFF_LIMIT_S = 1.0  # lower bound of the limit on backoffs, for small fleets
MAX_BACKOFF_S = 5.0  # while a list is in use: changes of the list are binding after 6 s
# Factors of the jitter. The first one after a refusal has a lower bound of its own, for a wider spread.
FIRST_JITTER_LOW = 0.45
JITTER_LOW = 0.8
JITTER_HIGH = 1.1
SHORT_PERIOD_S = MAX_BACKOFF_S / 10  # with a slot period up to this, attempts need not be spread


class DiscoverySchedule:
    """Computes the time of a proxy's next attempt.

    Args:
        random_generator: The source of jitter.
        proxies: How many proxies ask the same service.
        max_backoff_s: The upper limit of a backoff, in seconds.
        time_slots: The proxy's time slots, or None if the settings do not state the service's rate.
    """

    def __init__(
        self,
        random_generator: Random,
        proxies: int = 1,
        max_backoff_s: float = MAX_BACKOFF_S,
        time_slots: TimeSlots | None = None,
    ) -> None:
        self._random_generator = random_generator
        self.time_slots = time_slots
        # Backoffs grow with the fleet. Otherwise, proxies that all lose their watches at once would keep an
        # overloaded service busy with refusals.
        self._first_backoff_s = FIRST_BACKOFF_S_PER_PROXY * proxies
        self._max_backoff_s = min(max_backoff_s, max(MIN_BACKOFF_LIMIT_S, MAX_BACKOFF_S_PER_PROXY * proxies))
        self._pause_s = 0.0
        self._refusals = 0  # consecutive refusals
        self._slot: float | None = None  # time of the slot of the next attempt (monotonic clock, s)

    def depends_on_contention(self) -> bool:
        """Whether attempts are spread by the number of waiting proxies.

        They are not if the settings do not state the service's rate, or if the service has capacity for all
        proxies at once.
        """
        return self.time_slots is not None and self.time_slots.period_s > SHORT_PERIOD_S

    def first_attempt_at(self, now: float, waiting_fraction: float = 1.0) -> float:
        """When to make a first attempt, or one after a lost watch (monotonic clock, in seconds).

        Args:
            now: The monotonic clock, in seconds.
            waiting_fraction: The fraction of the fleet that waits as well.
        """
        self._slot = None
        if self.time_slots is None or waiting_fraction <= 0.0 or not self.depends_on_contention():
            return now
        self._slot = self.time_slots.next_slot_at(now, 2.0 * waiting_fraction)
        return self._slot

    def retry_at_after_failure(self, now: float, took_s: float = 0.0) -> float:
        """When to retry (seconds) after a watch was lost or an attempt failed, `took_s` after its start."""
        if self.time_slots is not None and self.depends_on_contention():
            # Without slots here, the whole fleet would keep asking a service that does not answer.
            self._slot = self.time_slots.next_slot_at(now + self.time_slots.gap_s / 2)
            return self._slot
        # After an unanswered attempt the pause is short: the service may return at any time, and the list
        # that it then sends is binding immediately. A service that fails immediately is overloaded, so the
        # pause grows.
        if took_s > UNANSWERED_S and not self._refusals:
            self._pause_s = REOPEN_PAUSE_S
        else:
            limit_s = max(MAX_REOPEN_PAUSE_S, self._pause_s)
            self._pause_s = min(limit_s, max(REOPEN_PAUSE_S, self._pause_s * 2))
        return now + self._pause_s * self._random_generator.uniform(JITTER_LOW, JITTER_HIGH)

    def retry_at_after_refusal(self, now: float, retry_after_s: float = 0.0) -> float:
        """When to retry after a refusal (monotonic clock, in seconds).

        Args:
            now: The monotonic clock, in seconds.
            retry_after_s: The refusal's Retry-After header; without time slots, it is limited to the maximum
                backoff.
        """
        self._refusals += 1
        if self.time_slots is not None:
            self._slot = self.time_slots.next_slot_at(now + max(retry_after_s, self.time_slots.gap_s / 2))
            return self._slot
        self._pause_s = min(self._max_backoff_s, max(self._first_backoff_s, self._pause_s * 2))
        # With a narrow first jitter, proxies refused in the same second would retry in the same second.
        low = FIRST_JITTER_LOW if self._refusals == 1 else JITTER_LOW
        backoff_s = self._pause_s * self._random_generator.uniform(low, JITTER_HIGH)
        return now + max(min(retry_after_s, self._max_backoff_s), backoff_s)

    def postponed_until(self, now: float) -> float | None:
        """The time of the next slot if the attempt's slot has expired, or None if it may be made now."""
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
        """Resets the backoff, since the service has begun a watch."""
        self._pause_s = 0.0
        self._refusals = 0
        self._slot = None
