"""Simulation of the start of a large fleet in one process, with simulated time and messages.

Invariants:
    All decisions are made by the modules that a proxy uses; they see only what they would see on a network,
    and are called again when they ask for it.
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
from calicofall.testbed.checker import max_count_in_window
from calicofall.testbed.server_models import DiscoveryModel

MESSAGE_DELAY_S = 0.001
ATTEMPT_TIMEOUT_S = 3.0  # of an attempt that is not answered
MAX_BACKOFF_S = 5.0
FIRST_WALL_CLOCK_S = 1000.0


@dataclass(frozen=True, slots=True)
class Span:
    """A half-open interval of simulated time: from `begin` (s) up to, but without, `end` (s)."""

    begin: float = 0.0
    end: float = 0.0

    def covers(self, moment: float) -> bool:
        """Return whether a time (s) lies in the interval."""
        return self.begin <= moment < self.end


@dataclass(frozen=True, slots=True, kw_only=True)
class StartupScenario:
    """The proxies that start, and the faults meanwhile."""

    proxies: int
    rate_per_s: float  # watches that the discovery service can begin in a second
    seed: int
    starting: int | None = None  # number of proxies that start, while the others serve; None: all
    starts_within_s: float = 0.0
    peer_messages: bool = True  # whether proxies send each other messages
    rate_configured: bool = True  # whether the settings contain the rate
    lost_fraction: float = 0.0  # of datagrams
    clock_difference_s: float = 0.0  # largest difference between the clocks of two proxies
    service_silent: Span = Span()
    stopped: Span = Span()  # when the processes of some proxies are stopped
    stopped_every: int = 0  # every n-th proxy is stopped; 0: none
    duration_s: float = 600.0


class StartupResult(NamedTuple):
    """The result of a simulated start.

    Attributes:
        attempt_times: When the discovery service received attempts (s), in order.
        list_times: When proxies received their endpoint lists (s), in order.
        datagrams: Number of datagrams between proxies.
    """

    attempt_times: list[float]
    list_times: list[float]
    datagrams: int

    @property
    def peak(self) -> int:
        """The largest number of attempts in any second."""
        return max_count_in_window(self.attempt_times)[0]


class StartingNode:
    """A simulated proxy: its discovery schedule and its contention estimate."""

    def __init__(self, number: int, scenario: StartupScenario, clock_error_s: float) -> None:
        self.number = number
        self.has_list = False
        self.attempt_scheduled = False  # whether its first attempt has been scheduled
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
    """A scheduled call for a proxy. The sequence number orders events of the same moment."""

    at_s: float
    sequence: int
    node: StartingNode
    action: Callable[[], None]


class StartupSimulation:
    """The simulation of a scenario, whose result `run` returns."""

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
        """Run until all proxies have their lists, or to the end of the scenario."""
        expected = sum(not node.has_list for node in self.nodes)
        while self.events and len(self.list_times) < expected:
            event = heappop(self.events)
            if event.at_s > self.scenario.duration_s:
                break
            if event.node.stopped.covers(event.at_s):
                # A process that is stopped handles the event when it is resumed.
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
            self._send(peer, partial(self._send_answer, peer, node, estimate, sample))
        self._schedule(estimate.sample_ends_at_s, node, partial(self._check_sample, node, estimate, sample))

    def _send_answer(
        self, peer: StartingNode, node: StartingNode, estimate: ContentionEstimate, sample: int
    ) -> None:
        self._send(node, partial(self._on_answer, node, estimate, sample, peer.number, peer.has_list))

    def _on_answer(
        self, node: StartingNode, estimate: ContentionEstimate, sample: int, peer: int, has_list: bool
    ) -> None:
        estimate.count_answer(sample, peer, has_list)
        self._check_sample(node, estimate, sample)

    def _check_sample(self, node: StartingNode, estimate: ContentionEstimate, sample: int) -> None:
        waiting = estimate.waiting_fraction(self.now)
        if sample == estimate.sample_id and not node.attempt_scheduled and waiting is not None:
            node.attempt_scheduled = True
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
            self._schedule(self.now + ATTEMPT_TIMEOUT_S, node, partial(self._on_timeout, node))
            return
        if self.service.request_watch(self.now) is None:
            self._schedule_attempt(node, node.schedule.retry_at_after_refusal(self.now))
            return
        node.has_list = True
        node.schedule.reset_backoff()
        self.list_times.append(self.now)

    def _on_timeout(self, node: StartingNode) -> None:
        self._schedule_attempt(node, node.schedule.retry_at_after_failure(self.now))
