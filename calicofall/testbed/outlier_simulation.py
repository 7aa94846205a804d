"""Simulation of outlier consensus: many instances in one process, each with few requests to each endpoint.

Invariants:
    An instance sees results of its own requests and messages, never which endpoints are truly unhealthy.
"""

from collections.abc import Callable
from random import Random

from calicofall.fleet.outlier_consensus import (
    DECISION_LIFETIME_S,
    HEALTHY,
    UNHEALTHY,
    UNREACHABLE_FROM_ZONE,
    EjectionDecision,
    EvidenceMessage,
    OutlierConsensus,
)
from calicofall.testbed.simulation import SimulatedNode, Simulation

OBSERVATION_INTERVAL_S = 0.1
OWN_EJECTION_S = 15.0  # after a failure, as long as the router's recovery ramp
MIN_WAKE_INTERVAL_S = 0.02
EJECTED_FRACTION = 0.1  # of its requests, which a proxy still sends to an endpoint that it avoids
UNHEALTHY_FAILURE_FRACTION = 0.9


class OutlierSimulation(Simulation):
    """A fleet of proxies that each send `rate` requests a second to each of `caches` endpoints.

    A healthy endpoint fails a fraction `false_failure_fraction` of them. Proxies are assigned to `zones` in
    turn. A proxy avoids an endpoint for OWN_EJECTION_S after each failure of its own requests,
    which are too few for a better decision. With `communicates` off, proxies send no messages.
    """

    def __init__(  # noqa: PLR0913 -- tests name these as keywords
        self,
        fleet: int,
        caches: int,
        seed: int,
        make: Callable[..., OutlierConsensus] = OutlierConsensus,
        rate: float = 0.4,
        false_failure_fraction: float = 0.01,
        zones: int = 2,
        communicates: bool = True,
        **links: float,
    ) -> None:
        super().__init__(fleet, seed, **links)
        self.make = make
        self.caches = caches
        self.rate = rate
        self.false_failure_fraction = false_failure_fraction
        self.zones = zones
        self.communicates = communicates
        self.unhealthy_zones: dict[int, set[int]] = {}  # by endpoint, the zones to which it is unhealthy
        # By proxy and endpoint, until when (s) the proxy avoids it: by itself, and by peers' evidence.
        self.own_ejections: list[dict[int, float]] = [{} for _ in range(fleet)]
        self.peer_ejections: list[dict[int, float]] = [{} for _ in range(fleet)]
        self.healthy_avoided = 0  # observations at which a proxy avoided a healthy endpoint
        self.observations = 0
        self.peak_ejected_fraction = 0.0  # of all endpoints, that one proxy avoids on peers' evidence
        for node in self.fleet:
            self.begin(node)
        self.at(0.0, self.observe_periodically)

    def zone(self, me: int) -> int:
        """Return the zone of a proxy."""
        return me % self.zones

    def build(self, node: SimulatedNode, incarnation: int, random_generator: Random) -> OutlierConsensus:
        """Return a new instance for a node."""
        instance = self.make(node.me, incarnation, self.zone(node.me), random_generator)
        instance.set_endpoints(set(range(self.caches)))
        return instance

    def deliver(self, node: SimulatedNode, message: EvidenceMessage) -> None:
        """Hand a message to a node's instance, and send its answer."""
        instance: OutlierConsensus = node.instance
        answer = instance.on_message(node.clock(self.now), message)
        if answer is not None:
            self.send(node.me, message.sender, answer)

    def avoided(self, me: int) -> set[int]:
        """Return the endpoints that a proxy avoids now."""
        return {
            endpoint
            for table in (self.own_ejections[me], self.peer_ejections[me])
            for endpoint, until in table.items()
            if until > self.now
        }

    def ejected_by_peers(self, me: int) -> list[int]:
        """Return the endpoints that a proxy avoids now on peers' evidence."""
        return [endpoint for endpoint, until in self.peer_ejections[me].items() if until > self.now]

    def wake(self, node: SimulatedNode, incarnation: int) -> None:
        """Call a node's instance, act on its decisions, and schedule the next call."""
        if not self.alive(node, incarnation, self.wake, node, incarnation):
            return
        instance: OutlierConsensus = node.instance
        me = node.me
        now = node.clock(self.now)
        others = [other for other in range(len(self.fleet)) if other != me] if self.communicates else []
        messages, next_at = instance.wake(now, others, self.avoided(me))
        for to, message in messages:
            self.send(me, to, message)
        for endpoint, decision in instance.take_new_decisions():
            self.act_on_decision(node, endpoint, decision)
        delay_s = max(MIN_WAKE_INTERVAL_S, (next_at - now) / node.rate)
        self.at(self.now + delay_s, self.wake, node, incarnation)

    def act_on_decision(self, node: SimulatedNode, endpoint: int, decision: EjectionDecision) -> None:
        """Eject or reinstate an endpoint at a proxy, as proxy/outlier_reports.py does."""
        me = node.me
        instance: OutlierConsensus = node.instance
        if decision.health == HEALTHY:
            self.own_ejections[me].pop(endpoint, None)
            self.peer_ejections[me].pop(endpoint, None)
        elif decision.health in (UNHEALTHY, UNREACHABLE_FROM_ZONE):
            ejected = self.ejected_by_peers(me)
            if endpoint in ejected or instance.may_eject(self.caches, len(ejected)):
                self.peer_ejections[me][endpoint] = self.now + DECISION_LIFETIME_S

    def is_unhealthy(self, me: int, endpoint: int) -> bool:
        """Return whether an endpoint is truly unhealthy to a proxy."""
        return self.zone(me) in self.unhealthy_zones.get(endpoint, ())

    def observe_periodically(self) -> None:
        """Send the requests of the last interval, and record which endpoints proxies avoid."""
        for node in self.fleet:
            if node.stopped:
                continue
            avoided = self.avoided(node.me)
            for endpoint in range(self.caches):
                fraction = EJECTED_FRACTION if endpoint in avoided else 1.0
                if self.random_generator.random() < self.rate * OBSERVATION_INTERVAL_S * fraction:
                    self.send_request(node, endpoint)
            self.observations += self.caches
            self.healthy_avoided += sum(not self.is_unhealthy(node.me, endpoint) for endpoint in avoided)
            ejected_fraction = len(self.ejected_by_peers(node.me)) / self.caches
            self.peak_ejected_fraction = max(self.peak_ejected_fraction, ejected_fraction)
        self.at(self.now + OBSERVATION_INTERVAL_S, self.observe_periodically)

    def send_request(self, node: SimulatedNode, endpoint: int) -> None:
        """Record the result of a proxy's request to an endpoint."""
        instance: OutlierConsensus = node.instance
        is_unhealthy = self.is_unhealthy(node.me, endpoint)
        failure_fraction = UNHEALTHY_FAILURE_FRACTION if is_unhealthy else self.false_failure_fraction
        succeeded = self.random_generator.random() >= failure_fraction
        instance.record_result(node.clock(self.now), endpoint, succeeded)
        if not succeeded:
            self.own_ejections[node.me][endpoint] = self.now + OWN_EJECTION_S

    def avoiding_fraction(self, endpoint: int) -> float:
        """Return the fraction that avoids an endpoint, of the proxies to which it is unhealthy."""
        affected = [me for me in range(len(self.fleet)) if self.is_unhealthy(me, endpoint)]
        return sum(endpoint in self.avoided(me) for me in affected) / max(1, len(affected))
