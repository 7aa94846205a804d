"""The move: instances of the old and of the new shape before the same caches and origin, all rules refereed.

Owns a plain model of caches, an origin and clients on a clock of its own, and a referee that reads the record
of events alone. Must never need a socket or the time of day.
"""

from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from helpers import deployment_settings

from calicofall.routing.actions import SendGossip
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.request import Request
from calicofall.routing.router import Router

INSTANCES, CACHES, CORES, WORK = 8, 6, 2, 20.0
RATE = 0.9  # first tries a ms over all: about what caches and origin can answer
GRACE, FALL, STAGE = 250.0, 1000.0, 4000.0
STAGES = (0, 2, 4, 8, 4, 0)  # how many of the instances are of the new shape
UNEVEN = (0.4, 0.2, 0.15, 0.1, 0.05, 0.05, 0.03, 0.02)  # of the traffic, where each client has its own proxy
FAIR = 0.8  # of the other kind's completed share, at the least
QUOTA = 2000.0


def settings(new: bool, me: int) -> dict:
    deployment = deployment_settings(
        cache_aside=True, proxies=INSTANCES, me=me, tenants=[{"name": "acme", "quota": QUOTA, "share": 1.0}]
    )
    deployment["rules"] |= {"cold": 6000.0, "cold_share": 0.2, "fall_multiple": 3.0, "fall": FALL}
    for method in deployment["methods"]:
        method.update(soft_deadline=200.0, hard_deadline=400.0)
    if new:
        deployment["caps"] |= {"peer_messages": True}
        deployment["reports"] = {"how": "inline", "fields": ["served_ps", "pending"]}
    return deployment


class Greedy(RoutingPolicy):
    """Knows no limit."""

    def __init__(self, deployment: dict, seed: int, now: float) -> None:
        super().__init__(deployment, seed, now)
        self.limits.admits = lambda *_: True
        self.retries.may_retry = lambda *_: True
        self.selector._is_crowded = lambda *_: False


class Deaf(RoutingPolicy):
    """Goes on sending to caches that drain."""

    def on_endpoint_list(self, now: float, kind: str, version: int | None, entries: list[tuple]) -> None:
        super().on_endpoint_list(
            now, kind, version, [(*e[:4], "ready" if e[4] == "draining" else e[4], *e[5:]) for e in entries]
        )


class Rash(RoutingPolicy):
    """Takes a cold cache for a warm one, and sends all it can there."""

    def __init__(self, deployment: dict, seed: int, now: float) -> None:
        super().__init__(deployment, seed, now)
        self.slow_start.is_warming_up = lambda *_: False
        self.outliers.admits = lambda *_: True
        self.selector._is_crowded = lambda *_: False
        self.slow_start.weight = lambda _, endpoint: 40.0 if endpoint.started_at else 1.0


class Box:
    """A cache: cores that serve one request each, a waiting room, keys; or the origin, with more cores."""

    def __init__(self, name: str, cores: int, started: float = 0.0) -> None:
        self.name, self.cores, self.started, self.busy, self.queue = name, cores, started, 0, []
        self.keys: set[int] = set()
        self.served = 0.0  # a second, lately


class Town:
    """Plays the stages; keeps the record."""

    def __init__(
        self, made: Callable[[bool], type[RoutingPolicy]] = lambda new: RoutingPolicy, seed: int = 5
    ) -> None:
        self.random_generator, self.made, self.now, self.events, self.number = (
            Random(seed),
            made,
            0.0,
            [],
            count(),
        )
        self.boxes = {f"c{i}": Box(f"c{i}", CORES) for i in range(CACHES)} | {"o": Box("o", 4)}
        self.states = dict.fromkeys(self.boxes, "ready")
        self.record: list[tuple] = []
        self.instances: list[Router] = []
        self.new = [False] * INSTANCES
        self.where: dict[str, tuple[Router, int]] = {}
        self.ticks: dict[int, float] = {}
        for me in range(INSTANCES):
            self.instances.append(self.start(me, False))

    def at(self, when: float, call: Callable, *values: object) -> None:
        heappush(self.events, (when, next(self.number), call, values))

    def entry(self, name: str) -> tuple:
        kind = "origin" if name == "o" else "box"
        return name, "z", kind, 0, self.states[name], None, self.boxes[name].started

    def start(self, me: int, new: bool) -> Router:
        router = Router(settings(new, me), 100 + me, self.now)
        router.policy = self.made(new)(settings(new, me), 100 + me, self.now)
        router.bind_policy()
        router.on_endpoint_list(self.now, "cached", 1, [self.entry(name) for name in self.boxes])
        self.new[me] = new
        return router

    def told(self, name: str, state: str) -> None:
        for me, router in enumerate(self.instances):
            self.record.append(("told", self.now, me, name, state))
            router.on_endpoint_list(self.now, "delta", 2, [self.entry(name)])

    def arrive(self, me: int) -> None:
        method = self.random_generator.choices(["read", "save", "order"], [90, 6, 4])[0]
        key = int(self.random_generator.paretovariate(0.7)) % 400
        request = Request(
            f"{next(self.number)}", method, "acme", key, method != "read", self.now, self.now + 400.0
        )
        router = self.instances[me]
        self.where[request.id] = router, me
        self.record.append(("asked", self.now, me, request.id, method, self.new[me], request.expires_at))
        self.act(request, router.route(self.now, request))

    def act(self, request: Request, cache: str | None) -> None:
        router, me = self.where[request.id]
        if cache is not None:
            number = len(request.attempts) - 1
            self.record.append(("sent", self.now, me, request.id, cache, number))
            self.at(self.now + 0.5, self.reach, self.boxes[cache], request, number)
            self.at(
                min(self.now + request.timeout_ms, request.expires_at),
                self.done,
                None,
                request,
                number,
                "timeout",
            )
        elif request.answer in ("exhausted", "errored"):
            self.record.append(("answer", self.now, request.id, request.answer))
        self.tick(router, me)

    def tick(self, router: Router, me: int) -> None:
        wait = router.tick(self.now)
        for action in router.actions:
            if isinstance(action, SendGossip) and self.random_generator.random() > 0.1:
                data = action.message
                if self.random_generator.random() <= 0.05:
                    data = self.random_generator.randbytes(len(data))
                self.at(self.now + self.random_generator.uniform(1.0, 20.0), self.mail, action.peer, me, data)
        router.actions.clear()
        router.log_lines.clear()
        if router.waiting and self.ticks.get(id(router), 0.0) <= self.now:
            self.ticks[id(router)] = self.now + max(0.1, wait)
            self.at(self.now + max(0.1, wait), self.wake, router, me)

    def mail(self, to: int, me: int, data: bytes) -> None:
        self.instances[to].on_gossip(self.now, me, data)

    def wake(self, router: Router, me: int) -> None:
        while (request := router.next_due_request(self.now)) is not None:
            self.act(request, router.route(self.now, request))
        self.tick(router, me)

    def reach(self, box: Box, request: Request, number: int) -> None:
        if self.states[box.name] == "gone" or len(box.queue) >= 40:
            self.done(None, request, number, "full")
        else:
            box.queue.append((request, number))
            self.serve(box)

    def serve(self, box: Box) -> None:
        while box.queue and box.busy < box.cores:
            request, number = box.queue.pop(0)
            if request.attempts[number].outcome is not None:
                continue  # given up while it waited
            box.busy += 1
            misses = box.name != "o" and (request.write or request.key not in box.keys)
            work = 2.0 if misses else WORK * self.random_generator.uniform(0.5, 1.5)
            age = (self.now - box.started) / 6000.0 if box.started else 1.0
            self.at(
                self.now + work / min(1.0, 0.2 + 0.8 * age),
                self.done,
                box,
                request,
                number,
                "missed" if misses else "completed",
            )

    def done(self, box: Box | None, request: Request, number: int, outcome: str) -> None:
        if box is not None:
            box.busy -= 1
            box.served += (1000.0 / WORK * box.cores - box.served) * 0.1
            self.serve(box)
        if request.attempts[number].outcome is not None:
            return
        router, _ = self.where[request.id]
        if outcome == "completed" and box.name == "o" and not request.write:
            for attempt in request.attempts[:2]:
                if attempt.outcome == "missed":
                    self.boxes[attempt.endpoint].keys.add(request.key)
        self.record.append(("ended", self.now, request.id, number, outcome))
        last = outcome == "timeout" and self.now >= request.expires_at
        load = {"served_ps": box.served, "pending": float(len(box.queue))} if box else None
        was = request.finished
        took = self.now - request.attempts[number].sent_at
        cache = router.report_attempt(self.now, request, number, outcome, took, None, load, last)
        if was:
            return
        if outcome == "completed":
            self.record.append(("answer", self.now, request.id, "completed"))
        elif last:  # the client's time is up: it is told that it failed
            self.record.append(("answer", self.now, request.id, "errored"))
        else:
            self.act(request, cache)

    def stage(self, number: int, news: int) -> None:
        for me in range(INSTANCES):
            if self.new[me] != (me < news):
                self.instances[me] = self.start(me, me < news)
        # What was pooled comes evenly; what has moved comes as uneven as its clients are.
        end, moved = self.now + STAGE, sum(UNEVEN[:news])
        for me in range(INSTANCES):
            part = UNEVEN[me] / moved * news / INSTANCES if me < news else 1.0 / INSTANCES
            when = self.now
            while (when := when + self.random_generator.expovariate(RATE * part)) < end:
                self.at(when, self.arrive, me)
        if number == 2:  # on the way one cache drains, and another begins cold
            self.at(self.now + 1000.0, self.change, "c1", "draining", 0.0)
            self.at(self.now + 2500.0, self.change, "c6", "ready", None)
        if number == 4:
            self.at(self.now + 500.0, self.change, "c7", "ready", None)

    def change(self, name: str, state: str, started: float | None) -> None:
        if name not in self.boxes:
            self.boxes[name] = Box(name, CORES, self.now)
        self.states[name] = state
        self.told(name, state)

    def play(self) -> "Town":
        for number, news in enumerate(STAGES):
            self.stage(number, news)
            while self.events and self.events[0][0] <= (number + 1) * STAGE:
                self.step()
            self.now = (number + 1) * STAGE
        while self.events:
            self.step()
        return self

    def broken(self) -> list[str]:
        return check_record(self.record, {box.name: box.started for box in self.boxes.values()})

    def step(self) -> None:
        self.now, _, call, values = heappop(self.events)
        call(*values)


def check_record(record: list[tuple], started: dict[str, float]) -> list[str]:
    """What the record breaks, in the rules' plainest words."""
    broken, asked, answers, out = [], {}, defaultdict(list), {}
    ran, told, cold, sends = set(), {}, defaultdict(list), defaultdict(int)
    for what, at, *rest in record:
        if what == "asked":
            asked[rest[1]] = (rest[2], rest[4])
        elif what == "answer":
            answers[rest[0]].append(at)
            if at > asked[rest[0]][1] + 20.0:
                broken.append("1: late answer")
            if rest[1] == "exhausted" and asked[rest[0]][0] == "order" and rest[0] in ran:
                broken.append("2: exhausted though it may have run")
        elif what == "told":
            if rest[2] == "ready":
                told.pop((rest[0], rest[1]), None)
            else:
                told.setdefault((rest[0], rest[1]), at)
        elif what == "ended":
            out.pop(rest[0], None)
            if rest[2] in ("completed", "timeout"):
                ran.add(rest[0])
        elif what == "sent":
            me, request, cache, _ = rest
            sends[cache] += 1
            if answers[request]:
                broken.append("1: sent after its answer")
            if request in out:
                broken.append("2: two out at once")
            if request in ran and asked[request][0] == "order":
                broken.append("2: sent again though it may have run")
            if at > told.get((me, cache), at) + GRACE:
                broken.append("3: sent to a cache that drains")
            if started.get(cache):
                cold[cache].append(at)
            out[request] = cache
    broken += ["1: no answer or two" for request in asked if len(answers[request]) != 1]
    for cache, times in cold.items():
        for i, start in enumerate(times):
            age = min(1.0, max(0.0, start + FALL - started[cache]) / 6000.0)
            most = 3.0 * (0.2 + 0.8 * age) * CORES / WORK * FALL
            if sum(start <= at < start + FALL for at in times[i:]) > most + 2.0 * most**0.5:
                broken.append("4: a cold cache pushed over")
    return broken


def shares(record: list[tuple]) -> dict[int, dict[bool, float]]:
    """By stage and kind (new or not): the share of its requests, all within their share, that were
    completed."""
    asked = {event[3]: (int(event[1] // STAGE), event[5]) for event in record if event[0] == "asked"}
    total, done = defaultdict(int), defaultdict(int)
    for key in asked.values():
        total[key] += 1
    for event in record:
        if event[0] == "answer" and event[3] == "completed":
            done[asked[event[2]]] += 1
    out: dict[int, dict[bool, float]] = defaultdict(dict)
    for stage, new in total:
        out[stage][new] = done[stage, new] / total[stage, new]
    return out


def starved(record: list[tuple]) -> list[int]:
    return [
        stage for stage, kinds in shares(record).items() if min(kinds.values()) < FAIR * max(kinds.values())
    ]


@pytest.fixture(scope="module")
def moved() -> Town:
    return Town().play()


def test_migration_breaks_no_rule_at_any_stage(moved: Town) -> None:
    assert moved.broken() == []
    assert sum(event[0] == "sent" and event[4] == "c6" for event in moved.record) > 20
    assert sum(event[0] == "answer" for event in moved.record) > 10_000


def test_migration_starves_neither_kind(moved: Town) -> None:
    found = shares(moved.record)
    assert sum(len(kinds) == 2 for kinds in found.values()) == 3
    assert starved(moved.record) == []
    assert min(min(kinds.values()) for kinds in found.values()) > 0.5


def test_migration_with_a_greedy_kind_is_caught() -> None:
    town = Town(lambda new: Greedy if new else RoutingPolicy).play()
    assert starved(town.record)


def test_migration_with_a_kind_that_ignores_draining_is_caught() -> None:
    town = Town(lambda new: Deaf if new else RoutingPolicy).play()
    broken = town.broken()
    assert "3: sent to a cache that drains" in broken


def test_migration_with_a_kind_that_overloads_a_warming_up_cache_is_caught() -> None:
    town = Town(lambda new: Rash if new else RoutingPolicy).play()
    broken = town.broken()
    assert "4: a cold cache pushed over" in broken
