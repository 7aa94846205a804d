"""Estimates which fraction of the fleet waits for the discovery service, by asking a sample of peers.

A peer that reports a live watch does not wait. All other peers of the sample count as waiting: those that
report no watch, and those that do not answer because they are down or cut off. The estimate is therefore
never too low for the sample: if all links are cut, each proxy asks the service in its time slot only (see
discovery_schedule.py).

Invariants: a peer that does not answer never counts as having a watch, a peer never counts twice, and an
answer to an earlier sample never counts.

The sample size k: if a fraction f of the fleet waits, a sample of one proxy contains none of the waiting
peers with probability `(1 - f) ** k`, and that proxy then asks the service immediately instead of in its
time slot. Over the fleet, the expected number of such proxies is `proxies * f * (1 - f) ** k`. For large k,
its maximum over all f is `0.37 * proxies / (k + 1)`. With `k >= 0.74 * proxies / rate - 1`, this number is at
most half of the watches that the service can begin in a second. `sample_size` returns such a k, unless that
exceeds the number of peers or MAX_SAMPLE_SIZE.
"""

from math import ceil
from random import Random

ANSWER_TIMEOUT_S = 0.15
# Peers. A proxy with no more peers than this asks all of them: an attempt outside the time slots weighs most
# in a small fleet.
MIN_SAMPLE_SIZE = 8
MAX_SAMPLE_SIZE = 64  # peers
# Mean attempts per second outside the time slots, as a fraction of the watches that can begin in a second.
EXTRA_ATTEMPTS_FRACTION = 0.5
WORST_MISSED_FRACTION = 0.37  # maximum of (k + 1) * f * (1 - f) ** k over f, for large k


def sample_size(proxies: int, rate: float) -> int:
    """How many peers a sample asks if the service can begin `rate` watches per second."""
    required = ceil(WORST_MISSED_FRACTION / EXTRA_ATTEMPTS_FRACTION * proxies / rate)
    return min(proxies - 1, MAX_SAMPLE_SIZE, max(MIN_SAMPLE_SIZE, required))


class ContentionEstimate:
    """The current sample of peers: which ones were asked, what they answered, and when the sample ends.

    Args:
        proxy_number: The number of this proxy in the fleet.
        proxies: How many proxies the fleet has.
        rate: How many watches per second the discovery service can begin.
        random: The source of random numbers.
    """

    def __init__(self, proxy_number: int, proxies: int, rate: float, random: Random) -> None:
        self.proxy_number = proxy_number
        self.proxies = proxies
        self.random_generator = random
        self._sample_size = sample_size(proxies, rate)
        self.sample_id = 0  # identifies the current sample
        self.sample_ends_at_s = 0.0  # when the current sample ends (monotonic clock)
        self._unanswered: set[int] = set()
        self._with_watch = 0  # peers of the sample that reported a live watch
        self._sampled = 0  # peers of the sample

    def begin_sample(self, now: float) -> tuple[int, list[int]]:
        """Starts a new sample and returns its identifier and the numbers of the peers to ask."""
        drawn = self.random_generator.sample(range(self.proxies - 1), self._sample_size)
        peers = [number + (number >= self.proxy_number) for number in drawn]
        self.sample_id = self.random_generator.getrandbits(48)
        self.sample_ends_at_s = now + ANSWER_TIMEOUT_S
        self._unanswered = set(peers)
        self._with_watch = 0
        self._sampled = len(peers)
        return self.sample_id, peers

    def count_answer(self, sample_id: int, peer: int, has_watch: bool) -> bool:
        """Counts a peer's answer; False if it is a duplicate or belongs to another sample."""
        if sample_id != self.sample_id or peer not in self._unanswered:
            return False
        self._unanswered.discard(peer)
        self._with_watch += has_watch
        return True

    def waiting_fraction(self, now: float) -> float | None:
        """The fraction of the fleet that waits for the service, or None while answers may still arrive."""
        if self._unanswered and now < self.sample_ends_at_s:
            return None
        if not self._sampled:  # there are no other proxies, or no sample has begun
            return 0.0
        return (self._sampled - self._with_watch) / self._sampled
