"""Simulation of configuration agreement: many instances in one process, with a source of versions and faults.

It checks what `configuration_agreement` promises: that no two proxies act on contradicting versions, and that
none acts for longer than the grant duration on a version alone after a quorum held a newer one.

Invariants:
    - An instance sees no more of the source than a proxy would.
    - Everything is drawn from the seed, in the order of the simulated events.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import combinations
from random import Random
from typing import NamedTuple

from calicofall.fleet.configuration_agreement import (
    AgreementMessage,
    ConfigurationAgreement,
    ConfigurationVersion,
    LeaseStatus,
    grant_duration,
    majority,
)
from calicofall.testbed.simulation import SimulatedNode, Simulation

LEASE_S = 3.0
DRIFT = 0.01  # largest fraction by which two clocks differ in the length of a duration
POLL_INTERVAL_S = 0.5  # between two polls of the source by a proxy
CHECK_INTERVAL_S = 0.05  # between two checks of the versions that proxies act on
FIRST_POLL_WITHIN_S = 0.05  # after the start of a proxy
SOURCE = -1  # number of the source in links
MIN_VOTERS = 3  # a random walk leaves at least so many
LONGEST_FAULT_S = 10.0  # in a random walk no fault, and no delay of a message, lasts longer
LATEST_ONLY_PROBABILITY = 0.1  # of a poll that returns the latest version only

MakeAgreement = Callable[..., ConfigurationAgreement]


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """What links do to messages.

    Attributes:
        lost: fraction of the messages that are lost.
        duplicated: fraction of the messages that arrive twice.
        delay_s: scale of the delay of all messages (s).
        stuck: fraction of the messages that are delayed by up to 9 s more.
    """

    lost: float = 0.0
    duplicated: float = 0.0
    delay_s: float = 0.02
    stuck: float = 0.0


def agreement_of(node: SimulatedNode) -> ConfigurationAgreement:
    """Return the instance of a proxy's present incarnation."""
    instance: ConfigurationAgreement = node.instance
    return instance


class AgreementSimulation(Simulation):
    """Proxies of a fleet that agree on the versions that a source publishes.

    Attributes:
        documents: all published versions, by number.
        source: the latest version that the source returns.
        source_up: whether the source responds.
        longest_contradiction_s: the longest time for which two proxies acted on contradicting versions (s).
        longest_stale_s: the longest time for which a proxy acted on a version alone after a quorum held a
            newer one (s).
        checks: how many times the lease of a running proxy was checked.
    """

    def __init__(
        self,
        fleet: int,
        seed: int,
        voters: int | None = None,
        links: LinkFaults | None = None,
        make: MakeAgreement = ConfigurationAgreement,
    ) -> None:
        """Start all proxies on version 1.

        Args:
            fleet: number of proxies.
            seed: of everything that is drawn.
            voters: how many of the proxies are voters; all by default.
            links: what links do to messages; delays alone by default.
            make: makes an instance, with the arguments of `ConfigurationAgreement`.
        """
        links = links or LinkFaults()
        super().__init__(fleet, seed, DRIFT, links.lost, links.duplicated, links.delay_s, links.stuck)
        self.make = make
        first = ConfigurationVersion(1, frozenset(range(fleet)), frozenset(range(voters or fleet)), 0)
        self.documents: dict[int, ConfigurationVersion] = {1: first}
        self.source = 1
        self.source_up = True
        self.longest_contradiction_s = 0.0
        self.longest_stale_s = 0.0
        self.checks = 0
        self.contradicting_since: dict[frozenset[frozenset[int]], float] = {}  # by pair of sets of versions
        self.quorum_held_at: dict[int, float] = {}  # by version, when a quorum first held it
        for node in self.fleet:
            self.begin(node)
        self.at(0.0, self.check_periodically)

    # Proxies

    def begin(self, node: SimulatedNode) -> None:
        """Start a proxy, or restart it."""
        super().begin(node)
        self.at(
            self.now + self.random_generator.uniform(0.0, FIRST_POLL_WITHIN_S),
            self.poll,
            node,
            node.incarnation,
        )

    def build(
        self, node: SimulatedNode, incarnation: int, random_generator: Random
    ) -> ConfigurationAgreement:
        """Return the instance of an incarnation."""
        return self.make(node.me, incarnation, node.clock(self.now), LEASE_S, DRIFT, random_generator)

    def poll(self, node: SimulatedNode, incarnation: int) -> None:
        """Hand a proxy the new versions of the source, if it is reachable, and schedule the next poll."""
        if not self.alive(node, incarnation, self.poll, node, incarnation):
            return
        if self.source_up and not (self.cuts[node.me, SOURCE] or self.cuts[SOURCE, node.me]):
            agreement = agreement_of(node)
            latest = (
                agreement.highest_held or self.source - 1
            )  # a proxy without a version needs the latest only
            if self.random_generator.random() < LATEST_ONLY_PROBABILITY:
                latest = max(latest, self.source - 1)  # as after a watch that was re-established
            for version in range(latest + 1, self.source + 1):
                agreement.on_document(node.clock(self.now), self.documents[version])
        self.at(self.now + POLL_INTERVAL_S, self.poll, node, incarnation)

    def deliver(self, node: SimulatedNode, message: AgreementMessage) -> None:
        """Hand a message to a proxy, and send its response."""
        now = node.clock(self.now)
        if message.is_request:
            self.send(node.me, message.sender, agreement_of(node).on_request(now, message))
        else:
            agreement_of(node).on_response(now, message)

    def on_resumed(self) -> None:
        """Check what a resumed proxy may act on before it receives what was sent meanwhile."""
        self.check()

    # Source

    def publish(self, voters: frozenset[int] | None = None) -> int:
        """Publish a version that follows the last one, and return its number."""
        previous = self.documents[max(self.documents)]
        version = previous.version + 1
        self.documents[version] = ConfigurationVersion(
            version, previous.members, voters or previous.voters, previous.version
        )
        self.source = version
        return version

    # Checks

    def check_periodically(self) -> None:
        """Check now and at every interval from now on."""
        self.check()
        self.at(self.now + CHECK_INTERVAL_S, self.check_periodically)

    def check(self) -> None:
        """Record contradictions and stale versions among those that proxies may act on now."""
        acted_on = self._versions_acted_on()
        self._record_quorums()
        self._record_contradictions(acted_on)
        for versions in acted_on:
            newer = [at for version, at in self.quorum_held_at.items() if version > max(versions)]
            if newer:
                self.longest_stale_s = max(self.longest_stale_s, self.now - min(newer))

    def agreed(self) -> bool:
        """Return whether all proxies act on the source's version alone."""
        return all(self.lease_status(node) == ((self.source,), True) for node in self.fleet)

    def lease_status(self, node: SimulatedNode) -> LeaseStatus:
        """Return what a proxy may act on now."""
        return agreement_of(node).lease_status(node.clock(self.now))

    @property
    def bound(self) -> float:
        """How long (s) an isolated proxy may act on a version after a quorum held a newer one."""
        return grant_duration(LEASE_S, DRIFT)

    def _versions_acted_on(self) -> set[frozenset[int]]:
        """Return the distinct sets of versions that proxies with a lease act on."""
        acted_on: set[frozenset[int]] = set()
        for node in self.fleet:
            if not node.stopped:
                self.checks += 1
                status = self.lease_status(node)
                if status.leased:
                    acted_on.add(frozenset(status.versions))
        return acted_on

    def _record_quorums(self) -> None:
        for version, document in self.documents.items():
            quorum = majority(document.voters)
            instances = [agreement_of(self.fleet[voter]) for voter in document.voters]
            if sum(instance.highest_known >= version for instance in instances) < quorum:
                self.quorum_held_at.pop(version, None)  # voters have forgotten it
            elif sum(version in instance.held_versions for instance in instances) >= quorum:
                self.quorum_held_at.setdefault(version, self.now)

    def _record_contradictions(self, acted_on: set[frozenset[int]]) -> None:
        """Record how long proxies contradict each other: no version is among those of both."""
        pairs = {frozenset(pair) for pair in combinations(acted_on, 2) if not pair[0] & pair[1]}
        for pair in pairs:
            since = self.contradicting_since.setdefault(pair, self.now)
            duration = self.now - since + CHECK_INTERVAL_S
            self.longest_contradiction_s = max(self.longest_contradiction_s, duration)
        for pair in self.contradicting_since.keys() - pairs:
            del self.contradicting_since[pair]


# Random walks


class RandomWalk:
    """Random steps of a simulation: faults and publications drawn from its seed."""

    def __init__(self, simulation: AgreementSimulation) -> None:
        self.simulation = simulation
        self.random_generator = simulation.random_generator
        self.members = range(len(simulation.fleet))
        # An index of this table is drawn: a different order changes the walk of every seed.
        self.steps: tuple[Callable[[int, float], None], ...] = (
            self._publish,
            self._stop,
            self._restart,
            self._isolate,
            self._split,
            self._toggle_source,
            self._stop_many,
            self._publish_and_restart_many,
            self._change_voter,
        )

    def step(self) -> None:
        """Let some time pass, then inject a fault or publish a version."""
        self.simulation.run(self.simulation.now + self.random_generator.uniform(0.1, 1.5))
        step = self.steps[self.random_generator.randrange(len(self.steps))]
        member = self.random_generator.randrange(len(self.members))
        span = self.random_generator.choice([0.5, 2.0, 5.0, 9.0])
        step(member, span)

    def _publish(self, member: int, span: float) -> None:
        self.simulation.publish()

    def _stop(self, member: int, span: float) -> None:
        self.simulation.stop(member, span)

    def _restart(self, member: int, span: float) -> None:
        self.simulation.restart(member)

    def _isolate(self, member: int, span: float) -> None:
        self.simulation.isolate(member, self.random_generator.choice(["in", "out", "both"]), span)

    def _split(self, member: int, span: float) -> None:
        count = len(self.members)
        self.simulation.split(
            set(self.random_generator.sample(self.members, self.random_generator.randint(1, count - 1))), span
        )

    def _toggle_source(self, member: int, span: float) -> None:
        """Take the source down or up again, in half of the cases with an older version."""
        self.simulation.source_up = not self.simulation.source_up
        if self.random_generator.random() < 0.5:
            self.simulation.source = self.random_generator.randint(1, self.simulation.source)

    def _stop_many(self, member: int, span: float) -> None:
        for other in self.members:
            if self.random_generator.random() < 1 / 3:
                self.simulation.stop(other, span)

    def _publish_and_restart_many(self, member: int, span: float) -> None:
        """Restart proxies while a version is being agreed on; the source may return to the one before."""
        self.simulation.publish()
        self.simulation.run(self.simulation.now + self.random_generator.uniform(0.0, 1.5))
        self.simulation.source -= self.random_generator.random() < 0.5
        for other in self.members:
            if self.random_generator.random() < 1 / 2:
                self.simulation.restart(other)

    def _change_voter(self, member: int, span: float) -> None:
        """Publish a version with one voter more or fewer, as far as enough voters remain."""
        if len(self.members) > MIN_VOTERS and self.random_generator.random() < 0.3:
            voters = self.simulation.documents[max(self.simulation.documents)].voters
            changed = voters ^ {member}
            self.simulation.publish(voters=changed if len(changed) >= MIN_VOTERS else voters)


def run_random_walk(simulation: AgreementSimulation, seconds: float, calm: float = 12.0) -> None:
    """Run a simulation with random faults, then without, so that the proxies can agree.

    Args:
        simulation: the simulation; faults are drawn from its seed.
        seconds: simulated time until which faults are injected.
        calm: time without faults at the end (s).
    """
    steps = RandomWalk(simulation)
    simulation.run(4.0)
    while simulation.now < seconds:
        steps.step()
    simulation.source = max(simulation.documents)
    simulation.source_up = True
    simulation.run(simulation.now + LONGEST_FAULT_S)
    simulation.run(simulation.now + calm)


# Every pair of faults


class Fault(NamedTuple):
    """A fault: its name, and a function that injects it."""

    name: str
    inject: Callable[[AgreementSimulation], object]


class Schedule(NamedTuple):
    """Two faults and the time between them; the first follows shortly after a version is published."""

    first: Fault
    wait_s: float
    second: Fault


def _return_to_first_version(simulation: AgreementSimulation) -> None:
    simulation.source = 1


def _stop(member: int, span: float) -> Fault:
    return Fault(f"stop {member} for {span:g} s", lambda simulation: simulation.stop(member, span))


def _isolate(member: int, direction: str, span: float) -> Fault:
    return Fault(
        f"isolate {member} ({direction}) for {span:g} s",
        lambda simulation: simulation.isolate(member, direction, span),
    )


def _restart(*members: int) -> Fault:
    def inject(simulation: AgreementSimulation) -> None:
        for member in members:
            simulation.restart(member)

    return Fault(f"restart {members}", inject)


def schedules() -> list[Schedule]:
    """Return every pair of faults for three proxies, with different times between them."""
    faults = [
        Fault("publish", lambda simulation: simulation.publish()),
        Fault("older version", _return_to_first_version),
    ]
    for member in range(3):
        faults += [
            _stop(member, 1.0),
            _stop(member, 6.0),
            _restart(member),
            _restart(member, (member + 1) % 3),
        ]
        faults += [
            _isolate(member, direction, span) for direction in ("in", "out", "both") for span in (1.5, 5.0)
        ]
    return [
        Schedule(first, wait, second)
        for first in faults
        for wait in (0.0, 0.4, 1.5, 3.3)
        for second in faults
    ]


def run_schedule(schedule: Schedule, make: MakeAgreement = ConfigurationAgreement) -> AgreementSimulation:
    """Run three proxies through a schedule, then without faults; return the simulation at its end."""
    simulation = AgreementSimulation(3, 1, make=make)
    simulation.run(4.5)
    simulation.publish()
    simulation.run(4.8)
    schedule.first.inject(simulation)
    simulation.run(4.8 + schedule.wait_s)
    schedule.second.inject(simulation)
    simulation.run(12.0)
    simulation.source = max(simulation.documents)
    simulation.run(21.0)
    return simulation
