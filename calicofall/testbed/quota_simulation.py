"""Simulation of quota leases: many instances for one limit in one process, and how much of it they use.

Invariants:
    An instance sees no more of the others than a proxy would.
"""

from collections.abc import Callable
from random import Random

from calicofall.fleet.quota_leases import UNITS, QuotaLeaseMessage, QuotaLeases
from calicofall.testbed.simulation import SimulatedNode, Simulation

OBSERVATION_INTERVAL_S = 0.05


class QuotaSimulation(Simulation):
    """A fleet that shares one limit.

    Attributes:
        demands: The units of the limit that each proxy could use.
        peak_units: The most units that all proxies together might have used at one time.
        observations: How many times usable units were observed.
    """

    def __init__(
        self,
        fleet: int,
        seed: int,
        make: Callable[..., QuotaLeases] = QuotaLeases,
        lease: float = 3.0,
        drift: float = 0.01,
        **links: float,
    ) -> None:
        super().__init__(fleet, seed, drift, **links)
        self.make = make
        self.lease = lease
        self.drift = drift
        self.demands = [0] * fleet
        self.peak_units = 0
        self.observations = 0
        for node in self.fleet:
            self.begin(node)
        self.at(0.0, self.observe_periodically)

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> QuotaLeases:
        """Return a new instance for a node."""
        now = node.clock(self.now)
        return self.make(
            0, node.me, incarnation, len(self.fleet), now, self.lease, self.drift, random_generator
        )

    def demand_units(self, node: SimulatedNode) -> int:
        """Return how many units of the limit a node could use."""
        return self.demands[node.me]

    def tick_node(self, node: SimulatedNode) -> tuple[list[tuple[int, QuotaLeaseMessage]], float]:
        """Set the demand of an instance, and call it."""
        instance: QuotaLeases = node.instance
        instance.set_demand(self.demand_units(node))
        others = [me for me in range(len(self.fleet)) if me != node.me]
        return instance.wake(node.clock(self.now), others)

    def deliver(self, node: SimulatedNode, message: QuotaLeaseMessage) -> None:
        """Hand a message to a node's instance, and send its answer."""
        instance: QuotaLeases = node.instance
        answer = instance.on_message(node.clock(self.now), message)
        if answer is not None:
            self.send(node.me, message.sender, answer)

    def on_resumed(self) -> None:
        """Observe at once: a resumed node may use units before it receives what was sent meanwhile."""
        self.observe()

    def usable_units(self) -> dict[int, int]:
        """Return the units that each running node may use now, by its number."""
        usable = {}
        for node in self.fleet:
            if node.me not in self.dead and not node.stopped:
                instance: QuotaLeases = node.instance
                usable[node.me] = instance.usable_units(node.clock(self.now))
        return usable

    def observe_periodically(self) -> None:
        """Observe now and at every interval from now on."""
        self.observe()
        self.at(self.now + OBSERVATION_INTERVAL_S, self.observe_periodically)

    def observe(self) -> None:
        """Record how many units all proxies together may use now."""
        self.observations += 1
        self.peak_units = max(self.peak_units, sum(self.usable_units().values()))

    @property
    def peak_excess_fraction(self) -> float:
        """The largest fraction by which the limit was exceeded; 0: never."""
        return max(0.0, self.peak_units / UNITS - 1.0)

    @property
    def unusable_demand_fraction(self) -> float:
        """The fraction of the demand, or of the limit where that is less, that cannot be used now."""
        if not any(self.demands):
            return 0.0
        used = sum(min(units, self.demands[me]) for me, units in self.usable_units().items())
        return 1.0 - used / min(UNITS, sum(self.demands))


def run_random_faults(simulation: QuotaSimulation, seconds: float) -> None:
    """Run until a time (s) with changes of demand and faults drawn from the simulation's seed."""
    random_generator = simulation.random_generator
    count = len(simulation.fleet)
    while simulation.now < seconds:
        simulation.run(simulation.now + random_generator.uniform(0.05, 1.0))
        kind = random_generator.randrange(8)
        me = random_generator.randrange(count)
        duration_s = random_generator.choice([0.5, 2.0, 4.0, 8.0])
        if kind < 3:
            _change_demand(simulation)
        elif kind == 3:
            simulation.stop(me, duration_s)
        elif kind == 4:
            simulation.restart_killed(me)
        elif kind == 5:
            simulation.isolate(me, random_generator.choice(["in", "out", "both"]), duration_s)
        elif kind == 6:
            simulation.split(
                set(random_generator.sample(range(count), random_generator.randint(1, count - 1))), duration_s
            )
        elif me not in simulation.dead and len(simulation.dead) < count // 3:
            simulation.kill({me})
        elif simulation.dead:
            simulation.restart_killed(min(simulation.dead))


def _change_demand(simulation: QuotaSimulation) -> None:
    """Divide a random demand evenly between some of the nodes."""
    random_generator = simulation.random_generator
    count = len(simulation.fleet)
    demanding = random_generator.sample(range(count), random_generator.randint(1, count))
    total = random_generator.choice([0, UNITS // 2, UNITS, 5 * UNITS])
    simulation.demands = [total // len(demanding) if me in demanding else 0 for me in range(count)]
