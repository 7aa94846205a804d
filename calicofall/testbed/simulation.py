"""Base of simulations: many instances of a decision module in one process, with simulated clocks and links.

An instance has a method `wake(now)`, which returns messages to send and when to call it again. Subclasses
build the instances, hand them the messages of others, and check what they do.

Invariants:
    An instance sees only its own clock and its messages, never the true time or another instance.
    All events follow from the seed; events at the same moment are executed in the order of their scheduling.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any

FOREVER_S = 1e9
MAX_STUCK_S = 9.0  # longest additional delay of a message that is stuck
MAX_START_DELAY_S = 0.05
MIN_WAKE_INTERVAL_S = 0.01
DELAY_TAIL = 10.0  # longest delay of a message, as a multiple of `slow`
SOURCE = -1  # number in links of a process that is not a proxy, such as a source of settings

Callback = Callable[..., object]


class SimulatedNode:
    """A simulated proxy: its clock, its instance, and whether it runs.

    Attributes:
        me: Number of the proxy.
        rate: Seconds that its clock advances in a second of true time.
        offset: What its clock shows at the beginning (s).
        incarnation: Counts its starts.
        stopped: Whether its process is stopped, as by SIGSTOP.
        deferred: Calls that are made when it is resumed.
    """

    def __init__(self, me: int, rate: float, offset: float) -> None:
        self.me = me
        self.rate = rate
        self.offset = offset
        self.instance: Any = None
        self.incarnation = 0
        self.stopped = False
        self.deferred: list[tuple[Callback, tuple[Any, ...]]] = []

    def clock(self, now: float) -> float:
        """Return what its clock shows at the true time `now` (s)."""
        return now * self.rate + self.offset


class Simulation:
    """`fleet` proxies, and the links between them.

    Links lose a fraction `loss` of the messages and duplicate a fraction `double`; they delay each message by
    up to `slow` * DELAY_TAIL seconds, mostly by far less, and a fraction `stuck` by up to MAX_STUCK_S more.

    Attributes:
        now: The true time (s).
        sent: Number of messages that were sent.
        dead: Numbers of the proxies that are killed.
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
        self.cuts: Counter[tuple[int, int]] = Counter()  # by (from, to): how many cuts are in force
        self.extra_link_delay_s: dict[tuple[int, int], float] = {}  # by (from, to)
        self.events: list[tuple[float, int, Callback, tuple[Any, ...]]] = []
        self.event_count = 0
        self.now = 0.0
        self.sent = 0
        self.dead: set[int] = set()

    # What a subclass provides

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> Any:
        """Return a new instance for a node."""
        raise NotImplementedError

    def deliver(self, node: SimulatedNode, message: Any) -> None:
        """Hand a message to a node's instance."""
        raise NotImplementedError

    def tick_node(self, node: SimulatedNode) -> tuple[list[tuple[int, Any]], float]:
        """Return the messages that an instance sends now, and when to call it again, by its own clock."""
        messages, next_at = node.instance.wake(node.clock(self.now))
        return messages, next_at

    def on_resumed(self) -> None:
        """Handle that a node was resumed, before it receives what was sent to it while it was stopped."""

    # Events

    def at(self, when: float, callback: Callback, *values: Any) -> None:
        """Schedule a call at a time (s)."""
        self.event_count += 1
        heappush(self.events, (when, self.event_count, callback, values))

    def run(self, until: float) -> None:
        """Execute all events up to a time (s)."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, values = heappop(self.events)
            callback(*values)
        self.now = until

    # Nodes

    def begin(self, node: SimulatedNode) -> None:
        """Start a new incarnation of a node."""
        node.incarnation += 1
        node.stopped = False
        incarnation = self.random_generator.getrandbits(40)
        instance_generator = Random(self.random_generator.getrandbits(40))
        node.instance = self.build(node, incarnation, instance_generator)
        self.at(
            self.now + self.random_generator.uniform(0.0, MAX_START_DELAY_S),
            self.wake,
            node,
            node.incarnation,
        )

    def alive(self, node: SimulatedNode, incarnation: int, callback: Callback, *values: Any) -> bool:
        """Return whether an incarnation of a node can make a call now; if it is stopped, defer the call."""
        if node.incarnation == incarnation and node.stopped:
            node.deferred.append((callback, values))
        return node.incarnation == incarnation and not node.stopped

    def wake(self, node: SimulatedNode, incarnation: int) -> None:
        """Call a node's instance, and schedule the next call."""
        if not self.alive(node, incarnation, self.wake, node, incarnation):
            return
        messages, next_at = self.tick_node(node)
        for to, message in messages:
            self.send(node.me, to, message)
        delay_s = max(MIN_WAKE_INTERVAL_S, (next_at - node.clock(self.now)) / node.rate)
        self.at(self.now + delay_s, self.wake, node, incarnation)

    def send(self, sender: int, to: int, message: Any) -> None:
        """Send a message, which may be lost, delayed or duplicated."""
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
        """Deliver a message to a node that runs; it is deferred at a node that is stopped."""
        node = self.fleet[to]
        if to not in self.dead and self.alive(node, node.incarnation, self.receive, to, message):
            self.deliver(node, message)

    # Faults

    def stop(self, me: int, duration_s: float) -> None:
        """Stop a node for a time (s), as SIGSTOP does."""
        node = self.fleet[me]
        if not node.stopped:
            node.stopped = True
            self.at(self.now + duration_s, self.resume, node, node.incarnation)

    def resume(self, node: SimulatedNode, incarnation: int) -> None:
        """Resume a node, and make the calls that were deferred."""
        if node.incarnation != incarnation:
            return
        node.stopped = False
        deferred = node.deferred
        node.deferred = []
        self.on_resumed()
        for callback, values in deferred:
            callback(*values)

    def restart(self, me: int) -> None:
        """Start a new incarnation of a node, without any state."""
        node = self.fleet[me]
        node.deferred = []
        self.begin(node)

    def kill(self, members: Iterable[int]) -> None:
        """Kill nodes until `restart_killed`."""
        for me in members:
            self.fleet[me].incarnation += 1  # so that calls scheduled before are not made
            self.dead.add(me)

    def restart_killed(self, me: int) -> None:
        """Start a node that was killed."""
        self.dead.discard(me)
        self.restart(me)

    def isolate(self, me: int, direction: str, duration_s: float) -> None:
        """Cut all links of a node for a time (s): those that lead `in`, `out`, or `both`."""
        others = range(SOURCE, len(self.fleet))
        pairs = set() if direction == "in" else {(me, other) for other in others}
        if direction != "out":
            pairs |= {(other, me) for other in others}
        self.cut(pairs, duration_s)

    def cut(self, pairs: set[tuple[int, int]], duration_s: float = FOREVER_S) -> None:
        """Cut links, each given as (from, to), for a time (s)."""
        self.cuts.update(pairs)
        self.at(self.now + duration_s, self.cuts.subtract, pairs)

    def split(self, group: set[int], duration_s: float) -> None:
        """Cut the links between these nodes and all others for a time (s)."""
        others = set(range(len(self.fleet))) - group
        self.cut(
            {(a, b) for a in group for b in others} | {(b, a) for a in group for b in others}, duration_s
        )
