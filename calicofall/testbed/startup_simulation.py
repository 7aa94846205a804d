"""Simulates the start of a large fleet in one process: the real decisions, with simulated time and messages.

Invariants: the simulation decides nothing for a proxy and does not look into one. A proxy is fed what it
would see on a network, and is called again when it asks for it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from calicofall.startup.contention import ContentionEstimate
from calicofall.startup.discovery_schedule import DiscoverySchedule
from calicofall.startup.time_slots import TimeSlots
from calicofall.testbed.checker import most_in_span
from calicofall.testbed.server_models import DiscoveryModel

MESSAGE_DELAY_S = 0.001
ATTEMPT_TIMEOUT_S = 3.0  # an attempt that nobody answers is given up
MAX_BACKOFF_S = 5.0
FIRST_WALL_CLOCK_S = 1000.0


@dataclass(frozen=True, slots=True)
class Span:
    """A span of simulated time, in seconds: from `begin` up to, but without, `end`."""

    begin: float = 0.0
    end: float = 0.0

    def covers(self, moment: float) -> bool:
        """Whether a moment lies in the span."""
        return self.begin <= moment < self.end


@dataclass(frozen=True, slots=True, kw_only=True)
class StartupScenario:
    """Which proxies start, and what goes wrong meanwhile. Times are in seconds."""

    proxies: int
    rate_per_s: float  # watches that the discovery service can begin
    seed: int
    starting: int | None = None  # how many start; the others serve already; None: all
    starts_within_s: float = 0.0
    peer_messages: bool = True  # whether proxies ask each other
    rate_configured: bool = True  # whether the settings tell the rate
    lost_fraction: float = 0.0  # of datagrams
    clock_difference_s: float = 0.0  # by which the clocks of proxies differ at most
    service_silent: Span = Span()
    stopped: Span = Span()  # when the processes of some proxies do not run
    stopped_every: int = 0  # one of so many proxies is stopped; 0: none
    duration_s: float = 600.0


class StartupResult(NamedTuple):
    """What the service saw, and when proxies had their lists (seconds since the first start)."""

    attempt_times: list[float]
    list_times: list[float]  # in order
    datagrams: int

    @property
    def peak(self) -> int:
        """The most attempts in any second."""
        return most_in_span(self.attempt_times)[0]


class StartingNode:
    """One simulated proxy: its discovery schedule and its contention estimate."""

    def __init__(self, number: int, scenario: StartupScenario, clock_error_s: float) -> None:
        self.number = number
        self.has_list = False
        self.waits = False  # whether its first attempt has been scheduled
        self.stopped = Span()
        random_generator = Random(scenario.seed * 1_000_003 + number)
        rate = scenario.rate_per_s if scenario.rate_configured else None
        slots = None
        if rate:
            slots = TimeSlots(number, scenario.proxies, rate, 0.0, FIRST_WALL_CLOCK_S + clock_error_s)
        self.schedule = DiscoverySchedule(random_generator, scenario.proxies, MAX_BACKOFF_S, slots)
        self.estimate: ContentionEstimate | None = None
        if rate and scenario.peer_messages and scenario.proxies > 1:
            self.estimate = ContentionEstimate(number, scenario.proxies, rate, random_generator)


class Event(NamedTuple):
    """Something that happens to a proxy. The sequence number keeps the order of events of one moment."""

    at_s: float
    sequence: int
    node: StartingNode
    action: Callable[[], None]


class StartupSimulation:
    """Plays a scenario: `run` returns what came of it."""

    def __init__(self, scenario: StartupScenario) -> None:
        self.scenario = scenario
        self.random_generator = Random(scenario.seed)
        self.service = DiscoveryModel(scenario.rate_per_s, 10**9)
        self.nodes = [
            StartingNode(number, scenario, self.random_generator.uniform(0.0, scenario.clock_difference_s))
            for number in range(scenario.proxies)
        ]
        self.now = 0.0
        self.events: list[Event] = []
        self.scheduled = 0
        self.datagrams = 0
        self.attempt_times: list[float] = []
        self.list_times: list[float] = []
        self._schedule_starts()

    def _schedule_starts(self) -> None:
        scenario = self.scenario
        count = scenario.proxies if scenario.starting is None else scenario.starting
        starting = set(self.random_generator.sample(range(scenario.proxies), count))
        for node in self.nodes:
            node.has_list = node.number not in starting
            if scenario.stopped_every and node.number % scenario.stopped_every == 0:
                node.stopped = scenario.stopped
            if node.number in starting:
                start_s = self.random_generator.uniform(0.0, scenario.starts_within_s)
                self._schedule(start_s, node, partial(self._start, node))

    def run(self) -> StartupResult:
        """Plays until all have their lists, or the scenario is over."""
        wanted = sum(not node.has_list for node in self.nodes)
        while self.events and len(self.list_times) < wanted:
            event = heappop(self.events)
            if event.at_s > self.scenario.duration_s:
                break
            if event.node.stopped.covers(event.at_s):
                # A process that is stopped sees the event when it runs again.
                self._schedule(event.node.stopped.end, event.node, event.action)
                continue
            self.now = event.at_s
            event.action()
        return StartupResult(self.attempt_times, self.list_times, self.datagrams)

    def _schedule(self, at_s: float, node: StartingNode, action: Callable[[], None]) -> None:
        self.scheduled += 1
        heappush(self.events, Event(at_s, self.scheduled, node, action))

    def _send(self, receiver: StartingNode, action: Callable[[], None]) -> None:
        self.datagrams += 1
        if self.random_generator.random() >= self.scenario.lost_fraction:
            self._schedule(self.now + MESSAGE_DELAY_S, receiver, action)

    def _start(self, node: StartingNode) -> None:
        estimate = node.estimate
        if estimate is None or not node.schedule.depends_on_contention():
            self._schedule_attempt(node, node.schedule.first_attempt_at(self.now))
            return
        sample, peers = estimate.begin_sample(self.now)
        for number in peers:
            peer = self.nodes[number]
            self._send(peer, partial(self._answer, peer, node, estimate, sample))
        self._schedule(estimate.sample_ends_at_s, node, partial(self._look_at_sample, node, estimate, sample))

    def _answer(
        self, peer: StartingNode, node: StartingNode, estimate: ContentionEstimate, sample: int
    ) -> None:
        self._send(node, partial(self._hear_answer, node, estimate, sample, peer.number, peer.has_list))

    def _hear_answer(
        self, node: StartingNode, estimate: ContentionEstimate, sample: int, peer: int, has_list: bool
    ) -> None:
        estimate.count_answer(sample, peer, has_list)
        self._look_at_sample(node, estimate, sample)

    def _look_at_sample(self, node: StartingNode, estimate: ContentionEstimate, sample: int) -> None:
        waiting = estimate.waiting_fraction(self.now)
        if sample == estimate.sample_id and not node.waits and waiting is not None:
            node.waits = True
            self._schedule_attempt(node, node.schedule.first_attempt_at(self.now, waiting))

    def _schedule_attempt(self, node: StartingNode, at_s: float) -> None:
        self._schedule(max(at_s, self.now), node, partial(self._attempt, node))

    def _attempt(self, node: StartingNode) -> None:
        later_s = node.schedule.postponed_until(self.now)
        if later_s is not None:
            self._schedule_attempt(node, later_s)
            return
        self.attempt_times.append(self.now)
        if self.scenario.service_silent.covers(self.now):
            self._schedule(self.now + ATTEMPT_TIMEOUT_S, node, partial(self._give_up, node))
            return
        if self.service.request_watch(self.now) is None:
            self._schedule_attempt(node, node.schedule.retry_at_after_refusal(self.now))
            return
        node.has_list = True
        node.schedule.reset_backoff()
        self.list_times.append(self.now)

    def _give_up(self, node: StartingNode) -> None:
        self._schedule_attempt(node, node.schedule.retry_at_after_failure(self.now))
