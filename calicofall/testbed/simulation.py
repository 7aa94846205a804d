"""Many instances of one decision module in one process, with simulated clocks, links and faults.

An instance has a method `wake(now)`, which returns messages to send and when to call it again, and is handed
the messages of others. What a kind of instance does with these, and how it is checked, is up to subclasses.

Invariants:
- An instance sees its own clock and its messages alone: never the true time or another instance.
- All that happens follows from the seed: events at the same moment happen in the order of their scheduling.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any

FOREVER_S = 1e9
MAX_STUCK_S = 9.0  # the longest delay of a message that is stuck
MAX_START_DELAY_S = 0.05
MIN_WAKE_INTERVAL_S = 0.01
DELAY_TAIL = 10.0  # times `slow`, that the delay of a message is at most
SOURCE = -1  # the number in links of what isn't a proxy, as a source of settings

Callback = Callable[..., object]


class SimulatedNode:
    """A proxy: its clock, its instance, and whether it runs.

    Its clock runs at `rate` and shows `offset` seconds at the beginning. `incarnation` counts its restarts.
    """

    def __init__(self, me: int, rate: float, offset: float) -> None:
        self.me = me
        self.rate = rate
        self.offset = offset
        self.instance: Any = None
        self.incarnation = 0
        self.stopped = False
        self.deferred: list[tuple[Callback, tuple[Any, ...]]] = []  # what happens once it is resumed

    def clock(self, now: float) -> float:
        """What its clock shows at the true time `now` (s)."""
        return now * self.rate + self.offset


class Simulation:
    """`fleet` proxies, and the links between them.

    Links lose a fraction `loss` of the messages and duplicate a fraction `double`; they delay each message by
    up to `slow` * DELAY_TAIL seconds, mostly by far less, and a fraction `stuck` by up to MAX_STUCK_S more.
    """

    def __init__(  # noqa: PLR0913 -- subclasses and tests name the faults of links as keywords
        self,
        fleet: int,
        seed: int,
        drift: float = 0.01,
        loss: float = 0.0,
        double: float = 0.0,
        slow: float = 0.02,
        stuck: float = 0.0,
    ) -> None:
        self.random_generator = Random(seed)
        self.loss = loss
        self.double = double
        self.slow = slow
        self.stuck = stuck
        self.fleet = [
            SimulatedNode(
                me, 1.0 + drift * self.random_generator.random(), 1000.0 * self.random_generator.random()
            )
            for me in range(fleet)
        ]
        self.cuts: Counter[tuple[int, int]] = Counter()  # by (from, to): how many cuts apply to a link
        self.extra_link_delay_s: dict[tuple[int, int], float] = {}  # extra delay of a link (s)
        self.events: list[tuple[float, int, Callback, tuple[Any, ...]]] = []
        self.event_count = 0
        self.now = 0.0
        self.sent = 0
        self.dead: set[int] = set()

    # What a subclass provides

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> Any:
        """A new instance for a node."""
        raise NotImplementedError

    def deliver(self, node: SimulatedNode, message: Any) -> None:
        """Hands a message to a node's instance."""
        raise NotImplementedError

    def tick_node(self, node: SimulatedNode) -> tuple[list[tuple[int, Any]], float]:
        """Messages that an instance sends now, and when it is to be called again, by its own clock."""
        messages, next_at = node.instance.wake(node.clock(self.now))
        return messages, next_at

    def on_resumed(self) -> None:
        """A node has been resumed, and acts before it has seen what came while it was stopped."""

    # Events

    def at(self, when: float, callback: Callback, *values: Any) -> None:
        """Schedules a call at a moment (s)."""
        self.event_count += 1
        heappush(self.events, (when, self.event_count, callback, values))

    def run(self, until: float) -> None:
        """Runs all events up to a moment (s)."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, values = heappop(self.events)
            callback(*values)
        self.now = until

    # Nodes

    def begin(self, node: SimulatedNode) -> None:
        """Starts a new incarnation of a node."""
        node.incarnation += 1
        node.stopped = False
        incarnation = self.random_generator.getrandbits(40)
        rng = Random(self.random_generator.getrandbits(40))
        node.instance = self.build(node, incarnation, rng)
        self.at(
            self.now + self.random_generator.uniform(0.0, MAX_START_DELAY_S),
            self.wake,
            node,
            node.incarnation,
        )

    def alive(self, node: SimulatedNode, incarnation: int, callback: Callback, *values: Any) -> bool:
        """Whether a node does this now; one that is stopped does it once it is resumed."""
        if node.incarnation == incarnation and node.stopped:
            node.deferred.append((callback, values))
        return node.incarnation == incarnation and not node.stopped

    def wake(self, node: SimulatedNode, incarnation: int) -> None:
        """Calls a node's instance, and schedules the next call."""
        if not self.alive(node, incarnation, self.wake, node, incarnation):
            return
        messages, next_at = self.tick_node(node)
        for to, message in messages:
            self.send(node.me, to, message)
        delay_s = max(MIN_WAKE_INTERVAL_S, (next_at - node.clock(self.now)) / node.rate)
        self.at(self.now + delay_s, self.wake, node, incarnation)

    def send(self, sender: int, to: int, message: Any) -> None:
        """Sends a message, which may be lost, late or duplicated."""
        self.sent += 1
        if self.cuts[sender, to] or self.random_generator.random() < self.loss:
            return
        for _ in range(1 + (self.random_generator.random() < self.double)):
            extra_s = (
                self.random_generator.uniform(0.0, MAX_STUCK_S)
                if self.random_generator.random() < self.stuck
                else 0.0
            )
            extra_s += self.extra_link_delay_s.get((sender, to), 0.0)
            delay_s = self.slow * self.random_generator.random() ** 3 * DELAY_TAIL
            self.at(self.now + delay_s + extra_s, self.receive, to, message)

    def receive(self, to: int, message: Any) -> None:
        """A message arrives."""
        node = self.fleet[to]
        if to not in self.dead and self.alive(node, node.incarnation, self.receive, to, message):
            self.deliver(node, message)

    # Faults

    def stop(self, me: int, duration_s: float) -> None:
        """Stops a node for so long (s), as SIGSTOP does."""
        node = self.fleet[me]
        if not node.stopped:
            node.stopped = True
            self.at(self.now + duration_s, self.resume, node, node.incarnation)

    def resume(self, node: SimulatedNode, incarnation: int) -> None:
        """A node goes on where it was stopped."""
        if node.incarnation != incarnation:
            return
        node.stopped = False
        deferred = node.deferred
        node.deferred = []
        self.on_resumed()
        for callback, values in deferred:
            callback(*values)

    def restart(self, me: int) -> None:
        """Starts a new incarnation of a node, which has forgotten everything."""
        node = self.fleet[me]
        node.deferred = []
        self.begin(node)

    def kill(self, members: Iterable[int]) -> None:
        """Ends nodes until they are started again."""
        for me in members:
            self.fleet[me].incarnation += 1  # so that nothing scheduled before happens
            self.dead.add(me)

    def restart_killed(self, me: int) -> None:
        """Starts a node that was killed."""
        self.dead.discard(me)
        self.restart(me)

    def isolate(self, me: int, way: str, duration_s: float) -> None:
        """Cuts all links of a node for so long (s): those that lead `in`, `out`, or `both`."""
        others = range(SOURCE, len(self.fleet))
        pairs = set() if way == "in" else {(me, other) for other in others}
        if way != "out":
            pairs |= {(other, me) for other in others}
        self.cut(pairs, duration_s)

    def cut(self, pairs: set[tuple[int, int]], duration_s: float = FOREVER_S) -> None:
        """Cuts links, each given as (from, to), for so long (s)."""
        self.cuts.update(pairs)
        self.at(self.now + duration_s, self.cuts.subtract, pairs)

    def split(self, part: set[int], duration_s: float) -> None:
        """Cuts the links between these nodes and all others for so long (s)."""
        rest = set(range(len(self.fleet))) - part
        self.cut({(a, b) for a in part for b in rest} | {(b, a) for a in part for b in rest}, duration_s)
