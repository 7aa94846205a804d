"""Compares decisions of the routing policy in random scenarios with a simple model of the rules.

The rules: a request gets one answer; no request that must not take effect twice is repeated once it may have
run, and none has two attempts in flight; no attempt goes to an endpoint that is not listed, has drained, or
is outside the method's zones and kinds; attempts stay within their maximum number and the retry budget.
"""

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


class RuleModel:
    """A simple model of the rules, which sees each attempt, outcome and list of a proxy.

    Caches have the names c0 to c5; `o` is the origin, which is listed in cache-aside deployments only.
    """

    def __init__(self, deployment: dict) -> None:
        self.methods = {m["name"]: m for m in deployment["methods"]}
        self.rules, self.max_attempts = deployment["rules"], deployment["caps"]["most_transmissions"]
        self.cache_aside = deployment["data"]["mode"] == "aside"
        # When an endpoint was first listed as draining; or as gone, unless endpoints must drain first.
        self.drained_at: dict[str, float] = {}
        self.listed_names: set[str] = set()
        self.cells: dict[str, int] = {}  # by endpoint; the caches of a cell may share deduplication
        self.zone_and_kind: dict[str, tuple] = {}  # zone and kind, as last listed
        self.history: dict[str, list[list]] = {}  # by request id: [time, endpoint, outcome] of each attempt
        self.answered: set[str] = set()
        self.request_times: list[float] = []
        self.further_attempts: list[list] = []  # time, request id, index of the attempt
        # By request id: attempts after misses, which the retry budget does not limit.
        self.miss_retries: dict[str, int] = {}

    def within_budget(self, now: float, request: Request) -> bool:
        """Returns whether the retry budget permits one more attempt of a request now.

        At the start of the span, an attempt still counts and a request does not: the policy may round to the
        safe side only.
        """
        span_ms = self.rules.get("retry_span")
        if span_ms is None or not self.history.get(request.id) or self.miss_retries.get(request.id, 0) > 0:
            return True
        spent = sum(
            at_ms >= now - span_ms and self.history[request_id][number][2] != "moot"
            for at_ms, request_id, number in self.further_attempts
        )
        accepted = sum(at_ms > now - span_ms for at_ms in self.request_times)
        return spent + 1 <= self.rules["retry_spare"] + self.rules["retry_ratio"] * accepted

    def on_attempt(self, now: float, request: Request, cache: str) -> None:
        attempts = self.history[request.id]
        if attempts and self.miss_retries.get(request.id, 0) > 0:
            self.miss_retries[request.id] -= 1
        elif attempts:
            self.further_attempts.append((now, request.id, len(attempts)))
        attempts.append([now, cache, None])

    def on_list(self, now: float, entries: list[tuple]) -> None:
        for cache, zone, kind, cell, state, _, _ in entries:
            self.listed_names.add(cache)
            self.cells[cache], self.zone_and_kind[cache] = cell, (zone, kind)
            if state == "ready":
                self.drained_at.pop(cache, None)
            elif state == "draining" or not self.rules.get("draining_alone"):
                self.drained_at.setdefault(cache, now)

    def satisfies_constraint(self, method: dict, cache: str) -> bool:
        zone, kind = self.zone_and_kind[cache]
        return kind == "origin" or (
            zone in (method.get("zones_open") or [zone]) and kind in (method.get("kinds_open") or [kind])
        )

    def may_send(self, now: float, request: Request, cache: str) -> bool:
        attempts = self.history.setdefault(request.id, [])
        possibly_run = [
            (at_ms, endpoint) for at_ms, endpoint, outcome in attempts if outcome not in NEVER_RAN
        ]
        method = self.methods[request.method]
        has_attempt_in_flight = any(outcome is None for _, _, outcome in attempts)
        is_safe = (
            not possibly_run
            or method["repeats"] == "retriable"
            or (
                method["repeats"] == "deduped"
                and now <= possibly_run[0][0] + method["window"]
                and (method["group"] == "all" or self.cells[possibly_run[0][1]] == self.cells[cache])
            )
        )
        drained = cache in self.drained_at and now > self.drained_at[cache] + self.rules["drain_grace"]
        is_permitted = not self.cache_aside or not request.write or cache == "o"
        is_permitted = is_permitted and self.satisfies_constraint(method, cache)
        is_permitted = is_permitted and self.within_budget(now, request)
        return (
            is_safe
            and is_permitted
            and not has_attempt_in_flight
            and not drained
            and cache in self.listed_names
            and len(attempts) < self.max_attempts
            and request.id not in self.answered
            and now < request.expires_at
        )

    def may_reject(self, repeated_at: float, request: Request) -> bool:
        method = self.methods[request.method]
        possibly_run_at = [
            at_ms for at_ms, _, outcome in self.history.get(request.id, []) if outcome not in NEVER_RAN
        ]
        is_deduplicated = (
            method["repeats"] == "deduped"
            and method["group"] == "all"
            and all(repeated_at < at_ms + method["window"] for at_ms in possibly_run_at)
        )
        return method["repeats"] == "retriable" or is_deduplicated or not possibly_run_at


@pytest.mark.parametrize("seed", range(24))
def test_decisions_in_random_scenarios_keep_the_rules(seed: int) -> None:
    random_generator = Random(seed)
    deployment = deployment_settings(cache_aside=seed % 2 == 0, proxies=random_generator.choice([1, 3]))
    deployment["methods"][1]["group"] = random_generator.choice(["all", "cell"])
    deployment["methods"][1]["window"] = random_generator.choice([300.0, 5000.0])
    deployment["discovery"] = random_generator.choice(["push", "ask"])
    deployment["caps"]["peer_messages"] = seed % 4 < 2
    deployment["rules"]["draining_alone"] = seed % 5 == 0
    if seed % 3:  # a retry budget small enough to have an effect
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
    policy, model = RoutingPolicy(deployment, seed, 0.0), RuleModel(deployment)
    names, requests, in_flight, waiting, version, now = [f"c{i}" for i in range(6)], {}, [], [], 0, 0.0

    def entries(chosen: list[str]) -> list[tuple]:
        listed_caches = [
            (
                name,
                "yz"[int(name[1:]) % 2],
                "box" if int(name[1:]) % 3 else "tub",
                int(name[1:]) % 2,
                random_generator.choice(["ready"] * 4 + ["draining", "gone"]),
                random_generator.choice([None, 2.0]),
                random_generator.choice([0.0, now]),
            )
            for name in chosen
        ]
        return listed_caches + ([("o", "z", "origin", 9, "ready", None, 0.0)] if model.cache_aside else [])

    def act(request: Request, decision: Decision | None) -> None:
        if decision is None:
            return
        assert request.id not in model.answered
        if isinstance(decision, Forward):
            assert model.may_send(now, request, decision.endpoint)
            model.on_attempt(now, request, decision.endpoint)
            in_flight.append(
                (now + random_generator.expovariate(1 / 150), request, len(request.attempts) - 1)
            )
        elif isinstance(decision, Wait):
            assert now + decision.delay_ms < request.expires_at
            waiting.append((now + decision.delay_ms, request))
        else:
            assert isinstance(decision, Fail) or model.may_reject(now + decision.retry_after_ms, request)
            model.answered.add(request.id)
            request.finished = True

    while now < 20_000.0:
        now += 5.0
        if random_generator.random() < 0.01 or now == 5.0:
            version += 1
            kind = "cached" if now == 5.0 else random_generator.choice(["delta", "full", "failed"])
            listed = (
                []
                if kind == "failed"
                else entries(random_generator.sample(names, 2) if kind == "delta" else names)
            )
            if kind == "full":  # endpoints that a full list does not name are gone
                model.on_list(
                    now,
                    [
                        (name, *model.zone_and_kind[name], 0, "gone", None, 0.0)
                        for name in model.listed_names - {"o"}
                    ],
                )
            model.on_list(now, listed)
            policy.on_endpoint_list(now, kind, version, listed)
        for due_at, request, number in [
            attempt for attempt in in_flight if attempt[0] <= now or attempt[1].expires_at <= now
        ]:
            in_flight.remove((due_at, request, number))
            outcome = "timeout" if request.expires_at <= now else random_generator.choice(OUTCOMES)
            model.history[request.id][number][2] = request.attempts[number].outcome = outcome
            model.miss_retries[request.id] = model.miss_retries.get(request.id, 0) + (outcome == "missed")
            if outcome == "completed" and not request.finished:
                request.finished = True
                model.answered.add(request.id)
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
        for due_at, request in [wait for wait in waiting if wait[0] <= now]:
            waiting.remove((due_at, request))
            if not request.finished:
                act(request, policy.decide(now, request))
        if random_generator.random() < 0.1:  # hints of known and unknown peers: valid, duplicated or damaged
            waits = [
                (hash_point(name.encode()) & 0xFFFFFF, random_generator.uniform(0.0, 2000.0))
                for name in [*names, "x9"]
            ]
            message = encode_hint(random_generator.randrange(100_000), waits)
            if random_generator.random() < 0.3:
                message = random_generator.choice(
                    [message[:-1], message + b"x", random_generator.randbytes(len(message)), b""]
                )
            for _ in range(random_generator.choice([1, 1, 2])):
                policy.on_gossip(now, random_generator.randrange(9), message)
        for request in [
            candidate
            for candidate in requests.values()
            if not candidate.finished and random_generator.random() < 0.0005
        ]:
            request.finished = True  # the client disconnects; outcomes of its attempts still arrive
            model.answered.add(request.id)
            policy.on_client_disconnected(now, request)
        if random_generator.random() < 0.3:
            method, key = (
                random_generator.choice(["read", "read", "save", "order"]),
                random_generator.choice([None, 1, 2, 3]),
            )
            request = make_request(method, key, now, now + random_generator.uniform(20.0, 1500.0))
            requests[request.id] = request
            model.request_times.append(now)
            act(request, policy.decide(now, request))
        for action in policy.next_wakeup(now)[1]:
            assert isinstance(action, LogLine | PollEndpointList | CloseConnections | SendGossip)
            if isinstance(action, SendGossip):
                assert deployment["caps"]["peer_messages"]
                assert 0 < action.peer < deployment["proxies"]
                assert len(action.message) <= 256
    overdue = [
        candidate
        for candidate in requests.values()
        if candidate.id not in model.answered and candidate.expires_at + 20.0 < now
    ]
    assert not overdue
    assert len(model.answered) > 500  # of about 1200: each of 4000 steps begins one with probability 0.3
