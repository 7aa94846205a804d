"""Estimate of how many other proxies wait for the discovery service, from a sample of peers.

A peer that says it has a live watch does not wait. All others count as waiting: those that say so, and those
that are silent, dead or cut off. So the estimate errs to the slow side only: with all links cut, every proxy
takes its time slot.

Invariants: a silent peer never counts as served, a peer never counts twice, and an answer to another sample
never counts.

The size of the sample: where a part f of the fleet waits, one proxy misses it with the probability
`(1 - f) ** k` and then asks at once. Over the fleet these are `proxies * f * (1 - f) ** k`, at most
`0.37 * proxies / (k + 1)`. With `k >= 0.74 * proxies / rate - 1` they stay under half of a second's rate.
"""

from math import ceil
from random import Random

ANSWER_TIMEOUT_S = 0.15
MIN_SAMPLE_SIZE = 8  # a small fleet asks all its peers: there one proxy that asks too soon weighs most
MAX_SAMPLE_SIZE = 64
EXTRA_ATTEMPTS_FRACTION = 0.5  # of a second's rate: attempts outside the time slots, on average
WORST_MISSED_FRACTION = 0.37  # the maximum over f of f * (1 - f) ** k, times k + 1


def sample_size(proxies: int, rate: float) -> int:
    """How many peers a sample asks, where the service begins `rate` watches a second."""
    wanted = ceil(WORST_MISSED_FRACTION / EXTRA_ATTEMPTS_FRACTION * proxies / rate)
    return min(proxies - 1, MAX_SAMPLE_SIZE, max(MIN_SAMPLE_SIZE, wanted))


class ContentionEstimate:
    """One sample of peers at a time: whom it asks, what they answered, and until when it waits."""

    def __init__(self, number: int, proxies: int, rate: float, random: Random) -> None:
        self.proxy_number = number
        self.proxies = proxies
        self.random_generator = random
        self._sample_size = sample_size(proxies, rate)
        self.sample_id = 0  # identifies the current sample
        self.sample_ends_at_s = 0.0  # when the current sample ends, in seconds
        self._unanswered: set[int] = set()
        self._served = 0
        self._sampled = 0

    def begin_sample(self, now: float) -> tuple[int, list[int]]:
        """Begins a sample and returns its identifier and the numbers of the peers to ask."""
        drawn = self.random_generator.sample(range(self.proxies - 1), self._sample_size)
        peers = [number + (number >= self.proxy_number) for number in drawn]
        self.sample_id = self.random_generator.getrandbits(48)
        self.sample_ends_at_s = now + ANSWER_TIMEOUT_S
        self._unanswered = set(peers)
        self._served = 0
        self._sampled = len(peers)
        return self.sample_id, peers

    def count_answer(self, sample: int, peer: int, has_watch: bool) -> bool:
        """Counts a peer's answer; False if it is repeated or of another sample."""
        if sample != self.sample_id or peer not in self._unanswered:
            return False
        self._unanswered.discard(peer)
        self._served += has_watch
        return True

    def waiting_fraction(self, now: float) -> float | None:
        """The part of the fleet that waits for the service, or None while answers may still come."""
        if self._unanswered and now < self.sample_ends_at_s:
            return None
        if not self._sampled:
            return 0.0
        return (self._sampled - self._served) / self._sampled
