"""A slow, plain model of the four rules watches the module on generated days."""

from random import Random

import pytest
from helpers import deployment_settings, make_request

from calicofall.routing.actions import CloseConnections, LogLine, PollEndpointList, SendGossip
from calicofall.routing.decisions import Decision, Fail, Forward, Wait
from calicofall.routing.gossip import encode_hint
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.rendezvous import hash_point
from calicofall.routing.request import Request

FAILED = ["error", "full", "timeout", "unconnected", "reset", "missed", "cancelled", "moot"]
OUTCOMES = ["completed"] * 12 + FAILED
NEVER_RAN = {"full", "unconnected", "moot", "missed"}


class Watch:
    """The rules in their plainest form, from every send, outcome and list this proxy had."""

    def __init__(self, deployment: dict) -> None:
        self.methods = {m["name"]: m for m in deployment["methods"]}
        self.rules, self.most = deployment["rules"], deployment["caps"]["most_transmissions"]
        self.aside = deployment["data"]["mode"] == "aside"
        self.told: dict[str, float] = {}
        self.named: set[str] = set()
        self.cells: dict[str, int] = {}
        self.where: dict[str, tuple] = {}  # zone and kind, as last told
        self.history: dict[str, list[list]] = {}
        self.answered: set[str] = set()
        self.taken: list[float] = []
        self.again: list[list] = []  # attempts beyond the first: when, request, its number
        self.grants: dict[str, int] = {}  # by misses, beside the retry budget

    def affords(self, now: float, request: Request) -> bool:
        """The retry budget, the one that asks now counted."""
        span = self.rules.get("retry_span")
        if span is None or not self.history.get(request.id) or self.grants.get(request.id, 0) > 0:
            return True
        spent = sum(
            at >= now - span and self.history[one][number][2] != "moot" for at, one, number in self.again
        )
        taken = sum(at > now - span for at in self.taken)
        return spent + 1 <= self.rules["retry_spare"] + self.rules["retry_ratio"] * taken

    def sent(self, now: float, request: Request, cache: str) -> None:
        past = self.history[request.id]
        if past and self.grants.get(request.id, 0) > 0:
            self.grants[request.id] -= 1
        elif past:
            self.again.append((now, request.id, len(past)))
        past.append([now, cache, None])

    def listed(self, now: float, entries: list[tuple]) -> None:
        for cache, zone, kind, cell, state, _, _ in entries:
            self.named.add(cache)
            self.cells[cache], self.where[cache] = cell, (zone, kind)
            if state == "ready":
                self.told.pop(cache, None)
            elif state == "draining" or not self.rules.get("draining_alone"):
                self.told.setdefault(cache, now)

    def open_to(self, method: dict, cache: str) -> bool:
        zone, kind = self.where[cache]
        return kind == "origin" or (
            zone in (method.get("zones_open") or [zone]) and kind in (method.get("kinds_open") or [kind])
        )

    def may_send(self, now: float, request: Request, cache: str) -> bool:
        past = self.history.setdefault(request.id, [])
        ran = [(at, where) for at, where, outcome in past if outcome not in NEVER_RAN]
        method = self.methods[request.method]
        out = any(outcome is None for _, _, outcome in past)
        again = (
            not ran
            or method["repeats"] == "retriable"
            or (
                method["repeats"] == "deduped"
                and now <= ran[0][0] + method["window"]
                and (method["group"] == "all" or self.cells[ran[0][1]] == self.cells[cache])
            )
        )
        drained = cache in self.told and now > self.told[cache] + self.rules["drain_grace"]
        right = not self.aside or not request.write or cache == "o"
        right = right and self.open_to(method, cache)
        right = right and self.affords(now, request)
        return (
            again
            and right
            and not out
            and not drained
            and cache in self.named
            and len(past) < self.most
            and request.id not in self.answered
            and now < request.expires_at
        )

    def may_exhaust(self, request: Request) -> bool:
        method = self.methods[request.method]
        harmless = method["repeats"] == "deduped" and method["group"] == "all"
        never_ran = all(outcome in NEVER_RAN for _, _, outcome in self.history.get(request.id, []))
        return method["repeats"] == "retriable" or harmless or never_ran


@pytest.mark.parametrize("seed", range(24))
def test_decisions_on_generated_days_keep_the_rules(seed: int) -> None:
    random_generator = Random(seed)
    deployment = deployment_settings(cache_aside=seed % 2 == 0, proxies=random_generator.choice([1, 3]))
    deployment["methods"][1]["group"] = random_generator.choice(["all", "cell"])
    deployment["methods"][1]["window"] = random_generator.choice([300.0, 5000.0])
    deployment["discovery"] = random_generator.choice(["push", "ask"])
    deployment["caps"]["peer_messages"] = seed % 4 < 2
    deployment["rules"]["draining_alone"] = seed % 5 == 0
    if seed % 3:  # a retry budget, small enough to bind
        deployment["rules"] |= {
            "retry_span": random_generator.choice([500.0, 1000.0, 5000.0]),
            "retry_spare": random_generator.choice([0, 1, 5]),
            "retry_ratio": random_generator.choice([0.0, 0.03, 0.1]),
        }
    deployment["rules"]["clock_error"] = random_generator.choice([None, 100.0])
    deployment["caps"]["buffers"] = random_generator.choice([None, 4])
    for method in deployment["methods"]:
        method["zones_open"] = random_generator.choice([None, ["y"]])
        method["kinds_open"] = random_generator.choice([None, ["box"]])
    policy, watch = RoutingPolicy(deployment, seed, 0.0), Watch(deployment)
    names, hand, pending, due, version, now = [f"c{i}" for i in range(6)], {}, [], [], 0, 0.0

    def entries(some: list[str]) -> list[tuple]:
        out = [
            (
                n,
                "yz"[int(n[1:]) % 2],
                "box" if int(n[1:]) % 3 else "tub",
                int(n[1:]) % 2,
                random_generator.choice(["ready"] * 4 + ["draining", "gone"]),
                random_generator.choice([None, 2.0]),
                random_generator.choice([0.0, now]),
            )
            for n in some
        ]
        return out + ([("o", "z", "origin", 9, "ready", None, 0.0)] if watch.aside else [])

    def act(request: Request, decision: Decision | None) -> None:
        if decision is None:
            return
        assert request.id not in watch.answered
        if isinstance(decision, Forward):
            assert watch.may_send(now, request, decision.endpoint)
            watch.sent(now, request, decision.endpoint)
            pending.append((now + random_generator.expovariate(1 / 150), request, len(request.attempts) - 1))
        elif isinstance(decision, Wait):
            assert now + decision.delay_ms < request.expires_at
            due.append((now + decision.delay_ms, request))
        else:
            assert isinstance(decision, Fail) or watch.may_exhaust(request)
            watch.answered.add(request.id)
            request.finished = True

    while now < 20_000.0:
        now += 5.0
        if random_generator.random() < 0.01 or now == 5.0:
            version += 1
            kind = "cached" if now == 5.0 else random_generator.choice(["delta", "full", "failed"])
            news = (
                []
                if kind == "failed"
                else entries(random_generator.sample(names, 2) if kind == "delta" else names)
            )
            if kind == "full":
                watch.listed(now, [(n, *watch.where[n], 0, "gone", None, 0.0) for n in watch.named - {"o"}])
            watch.listed(now, news)
            policy.on_endpoint_list(now, kind, version, news)
        for at, request, number in [p for p in pending if p[0] <= now or p[1].expires_at <= now]:
            pending.remove((at, request, number))
            outcome = "timeout" if request.expires_at <= now else random_generator.choice(OUTCOMES)
            watch.history[request.id][number][2] = request.attempts[number].outcome = outcome
            watch.grants[request.id] = watch.grants.get(request.id, 0) + (outcome == "missed")
            if outcome == "completed" and not request.finished:
                request.finished = True
                watch.answered.add(request.id)
            act(
                request,
                policy.on_attempt_result(
                    now,
                    request,
                    number,
                    now - request.attempts[number].sent_at,
                    random_generator.choice([None, "hit", "fetched", "fetching"]),
                    random_generator.choice(
                        [
                            None,
                            {},
                            "mangled",
                            {"served_ps": 0.0, "pending": 9.0},
                            {"served_ps": 5.0, "pending": -3.0},
                            {"served_ps": 40.0, "pending": random_generator.uniform(0.0, 60.0)},
                        ]
                    ),
                ),
            )
        for at, request in [d for d in due if d[0] <= now]:
            due.remove((at, request))
            if not request.finished:
                act(request, policy.decide(now, request))
        if random_generator.random() < 0.1:  # from peers there or gone; true, old, doubled, mangled
            marks = [
                (hash_point(name.encode()) & 0xFFFFFF, random_generator.uniform(0.0, 2000.0))
                for name in [*names, "x9"]
            ]
            memo = encode_hint(random_generator.randrange(100_000), marks)
            if random_generator.random() < 0.3:
                memo = random_generator.choice(
                    [memo[:-1], memo + b"x", random_generator.randbytes(len(memo)), b""]
                )
            for _ in range(random_generator.choice([1, 1, 2])):
                policy.on_gossip(now, random_generator.randrange(9), memo)
        for request in [r for r in hand.values() if not r.finished and random_generator.random() < 0.0005]:
            request.finished = True  # the client leaves; its outcomes still come
            watch.answered.add(request.id)
            policy.on_client_disconnected(now, request)
        if random_generator.random() < 0.3:
            method, key = (
                random_generator.choice(["read", "read", "save", "order"]),
                random_generator.choice([None, 1, 2, 3]),
            )
            request = make_request(method, key, now, now + random_generator.uniform(20.0, 1500.0))
            hand[request.id] = request
            watch.taken.append(now)
            act(request, policy.decide(now, request))
        for action in policy.next_wakeup(now)[1]:
            assert isinstance(action, LogLine | PollEndpointList | CloseConnections | SendGossip)
            if isinstance(action, SendGossip):
                assert deployment["caps"]["peer_messages"]
                assert 0 < action.peer < deployment["proxies"]
                assert len(action.message) <= 256
    overdue = [r for r in hand.values() if r.id not in watch.answered and r.expires_at + 20.0 < now]
    assert not overdue
    assert len(watch.answered) > 500
