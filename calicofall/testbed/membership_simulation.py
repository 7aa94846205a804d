"""Simulation of membership: many instances in one process, and the members that each considers away.

Invariants:
    An instance sees no more of the others than a proxy would.
"""

from collections.abc import Callable
from random import Random

from calicofall.fleet.membership import Membership, MembershipProbe
from calicofall.testbed.simulation import SimulatedNode, Simulation

OBSERVATION_INTERVAL_S = 0.1


class MembershipSimulation(Simulation):
    """A fleet whose proxies are all members; `make` builds an instance, which in some tests is faulty."""

    def __init__(
        self, fleet: int, seed: int, make: Callable[..., Membership] = Membership, **links: float
    ) -> None:
        super().__init__(fleet, seed, **links)
        self.make = make
        self.members = frozenset(range(fleet))
        for node in self.fleet:
            self.begin(node)

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> Membership:
        """Return a new instance for a node."""
        return self.make(node.me, incarnation, self.members, node.clock(self.now), random_generator)

    def deliver(self, node: SimulatedNode, message: MembershipProbe) -> None:
        """Hand a message to a node's instance, and send what it returns."""
        instance: Membership = node.instance
        for to, answer in instance.on_message(node.clock(self.now), message):
            self.send(node.me, to, answer)

    def away_views(self) -> list[frozenset[int]]:
        """Return the members that each running node considers away."""
        running = [node for node in self.fleet if node.me not in self.dead and not node.stopped]
        instances: list[Membership] = [node.instance for node in running]
        return [instance.away_members() for instance in instances]

    def time_until_views_equal(
        self, away: frozenset[int], limit: float, fraction: float = 1.0
    ) -> float | None:
        """Return how long it takes until enough running nodes consider exactly these members away.

        Args:
            away: The members.
            limit: Longest time that is simulated (s).
            fraction: The fraction of the running nodes that is enough.

        Returns:
            The time in seconds; None: longer than the limit.
        """
        began = self.now
        while self.now < began + limit:
            views = self.away_views()
            if sum(view == away for view in views) >= fraction * len(views):
                return self.now - began
            self.run(self.now + OBSERVATION_INTERVAL_S)
        return None
