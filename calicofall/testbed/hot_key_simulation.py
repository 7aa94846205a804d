"""Simulation of hot key detection: many instances in one process, each with few requests for each key.

Invariants:
    An instance sees its own requests and messages, never the request rate of a key in the whole fleet.
"""

from collections.abc import Callable
from itertools import accumulate
from random import Random

from calicofall.fleet.hot_keys import HotKeyDetector, KeyCountMessage
from calicofall.testbed.simulation import SimulatedNode, Simulation

FIRST_UNIQUE_KEY = 1 << 32


class HotKeySimulation(Simulation):
    """A fleet whose proxies each see `rate` requests a second.

    `key_fractions` holds, by key, its fraction of all requests; the others are for keys that are requested
    once. One endpoint can serve `endpoint_capacity_per_s` requests a second.
    """

    def __init__(  # noqa: PLR0913 -- tests name these as keywords
        self,
        fleet: int,
        seed: int,
        key_fractions: dict[int, float],
        endpoint_capacity_per_s: float,
        make: Callable[..., HotKeyDetector] = HotKeyDetector,
        rate: float = 1.0,
        **links: float,
    ) -> None:
        super().__init__(fleet, seed, **links)
        self.make = make
        self.key_fractions = key_fractions
        self.endpoint_capacity_per_s = endpoint_capacity_per_s
        self.rate = rate
        self.first_found_at: dict[int, dict[int, float]] = {}  # by key and proxy (s)
        self.last_unique_key = FIRST_UNIQUE_KEY
        for node in self.fleet:
            self.begin(node)

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> HotKeyDetector:
        """Return a new instance for a node, which begins to receive requests."""
        self.at(self.now, self.arrive, node, node.incarnation)
        capacity = self.endpoint_capacity_per_s
        return self.make(
            node.me, incarnation, len(self.fleet), capacity, node.clock(self.now), random_generator
        )

    def deliver(self, node: SimulatedNode, message: KeyCountMessage) -> None:
        """Hand a message to a node's instance, and send its answer."""
        instance: HotKeyDetector = node.instance
        answer = instance.on_message(node.clock(self.now), message)
        if answer is not None:
            self.send(node.me, message.sender, answer)

    def tick_node(self, node: SimulatedNode) -> tuple[list[tuple[int, KeyCountMessage]], float]:
        """Call an instance, and record the hot keys that it finds."""
        instance: HotKeyDetector = node.instance
        others = [other for other in range(len(self.fleet)) if other != node.me]
        result = instance.wake(node.clock(self.now), others)
        for key in instance.hot_keys:
            self.first_found_at.setdefault(key, {}).setdefault(node.me, self.now)
        return result

    def arrive(self, node: SimulatedNode, incarnation: int) -> None:
        """Record a request at a proxy, and schedule the next one."""
        if not self.alive(node, incarnation, self.arrive, node, incarnation):
            return
        instance: HotKeyDetector = node.instance
        instance.record_request(node.clock(self.now), self.draw_key())
        self.at(self.now + self.random_generator.expovariate(self.rate), self.arrive, node, incarnation)

    def draw_key(self) -> int:
        """Draw a key by the fractions, or return one that is requested once."""
        self.last_unique_key += 1
        cumulative = accumulate(self.key_fractions.values())
        draw = self.random_generator.random()
        for key, bound in zip(self.key_fractions, cumulative, strict=True):
            if draw < bound:
                return key
        return self.last_unique_key

    def finding_fraction(self, key: int) -> float:
        """Return the fraction of the proxies that consider a key hot now."""
        instances: list[HotKeyDetector] = [node.instance for node in self.fleet]
        return sum(key in instance.hot_keys for instance in instances) / len(instances)
