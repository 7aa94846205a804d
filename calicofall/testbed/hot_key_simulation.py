"""Many instances of hot key detection in one process: proxies that each see few requests for each key.

Invariants:
- How often the fleet asks for a key is never told to an instance.
"""

from collections.abc import Callable
from itertools import accumulate
from random import Random

from calicofall.fleet.hot_keys import HotKeyDetector, KeyCountMessage
from calicofall.testbed.simulation import SimulatedNode, Simulation

FIRST_UNIQUE_KEY = 1 << 32


class HotKeySimulation(Simulation):
    """A fleet whose proxies each see `rate` requests a second.

    `key_fractions` holds, by key, the fraction of all requests that are for it; the others are for
    keys that come once. One endpoint can serve `endpoint_capacity_per_s` requests a second.
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
        """A new instance for a node, which begins to see requests."""
        self.at(self.now, self.arrive, node, node.incarnation)
        capacity = self.endpoint_capacity_per_s
        return self.make(
            node.me, incarnation, len(self.fleet), capacity, node.clock(self.now), random_generator
        )

    def deliver(self, node: SimulatedNode, message: KeyCountMessage) -> None:
        """Hands a message to a node's instance, and sends its answer."""
        instance: HotKeyDetector = node.instance
        answer = instance.on_message(node.clock(self.now), message)
        if answer is not None:
            self.send(node.me, message.sender, answer)

    def tick_node(self, node: SimulatedNode) -> tuple[list[tuple[int, KeyCountMessage]], float]:
        """Calls an instance, and records the keys that it finds."""
        instance: HotKeyDetector = node.instance
        others = [other for other in range(len(self.fleet)) if other != node.me]
        out = instance.wake(node.clock(self.now), others)
        for key in instance.hot_keys:
            self.first_found_at.setdefault(key, {}).setdefault(node.me, self.now)
        return out

    def arrive(self, node: SimulatedNode, incarnation: int) -> None:
        """A request comes to a proxy, and the next one is scheduled."""
        if not self.alive(node, incarnation, self.arrive, node, incarnation):
            return
        instance: HotKeyDetector = node.instance
        instance.record_request(node.clock(self.now), self.draw_key())
        self.at(self.now + self.random_generator.expovariate(self.rate), self.arrive, node, incarnation)

    def draw_key(self) -> int:
        """A key by the fractions, or one that comes once."""
        self.last_unique_key += 1
        cumulative = accumulate(self.key_fractions.values())
        draw = self.random_generator.random()
        for key, bound in zip(self.key_fractions, cumulative, strict=True):
            if draw < bound:
                return key
        return self.last_unique_key

    def finding_fraction(self, key: int) -> float:
        """The fraction of the proxies that hold a key to be hot now."""
        instances: list[HotKeyDetector] = [node.instance for node in self.fleet]
        return sum(key in instance.hot_keys for instance in instances) / len(instances)
