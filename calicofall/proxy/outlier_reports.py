"""Exchanges evidence on the health of endpoints with other proxies, and applies the resulting decisions.

Reports the results of attempts to the outlier consensus, sends its queries, and ejects or reinstates
endpoints by its decisions. An endpoint that is slow for large answers alone is not ejected, but is sent fewer
requests for them.

Invariants: `fleet.outlier_consensus` decides on the health of an endpoint, and the router on where a request
goes; only a bounded fraction of the endpoints is ejected on other proxies' evidence.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from random import Random

from calicofall.fleet.hot_keys import HotKeyDetector, KeyCountMessage
from calicofall.fleet.outlier_consensus import (
    DECISION_LIFETIME_S,
    HEALTHY,
    LARGE_ANSWER_MIN_BYTES,
    OVERLOADED,
    SLOW_FOR_LARGE_ANSWERS,
    SLOW_LATENCY_FACTOR,
    UNHEALTHY,
    UNREACHABLE_FROM_ZONE,
    AnswerSizeStatistics,
    EvidenceMessage,
    OutlierConsensus,
)
from calicofall.routing.outlier_detection import CONSENSUS_FRACTION
from calicofall.routing.request import Request
from calicofall.routing.router import Router
from calicofall.startup.peer_messages import name_digest

ADVERSE_OUTCOMES = frozenset({"timeout", "unconnected", "reset", "spoilt"})  # count as failures
LARGE_ANSWERS_SUFFIX = "\0large"  # appended to an endpoint's name to identify the evidence on large answers
LOG_INTERVAL_S = 10.0  # shortest time between two log lines on one endpoint
MIN_WAKE_INTERVAL_S = 0.02  # shortest time between two rounds
log = logging.getLogger("calicofall")


class OutlierReports:
    """What this proxy and its peers know of the health of endpoints.

    Args:
        loop: The event loop.
        proxy_number: This proxy's number.
        incarnation: The number of this proxy's incarnation.
        zone: The name of this proxy's zone.
        random_generator: The source of random numbers.
        router: The router, which ejects and reinstates endpoints.
        endpoint_names: Returns the names of the endpoints on the list.
        send: Sends a message to a proxy.
        alive_members: Returns the numbers of the proxies that are alive.
        now_ms: Returns the time on the router's clock.
        hot_keys: Finds keys that the whole fleet often requests; None if that is not configured.
    """

    def __init__(  # noqa: PLR0913 - passed once, by the server
        self,
        loop: asyncio.AbstractEventLoop,
        proxy_number: int,
        incarnation: int,
        zone: str,
        random_generator: Random,
        router: Router,
        endpoint_names: Callable[[], set[str]],
        send: Callable[[int, EvidenceMessage | KeyCountMessage], None],
        alive_members: Callable[[], list[int]],
        now_ms: Callable[[], float],
        hot_keys: HotKeyDetector | None = None,
    ) -> None:
        self.loop = loop
        self.router = router
        self.endpoint_names = endpoint_names
        self.send = send
        self.alive_members = alive_members
        self.now_ms = now_ms
        self.consensus = OutlierConsensus(proxy_number, incarnation, name_digest(zone), random_generator)
        self.answer_sizes = AnswerSizeStatistics()
        self.random_generator = random_generator
        self.hot_keys = hot_keys
        # By endpoint, when the decision expires (s, the loop's clock).
        self.slow_for_large: dict[str, float] = {}  # slow for large answers alone
        self.ejected_on_evidence: dict[str, float] = {}
        # Endpoints that operators have pinned: other proxies' evidence on them is ignored.
        self.pinned_endpoints: frozenset[str] = frozenset()
        self.names_by_digest: dict[int, str] = {}  # two for each endpoint: of all answers, of large ones
        self.logged_at: dict[str, float] = {}  # by endpoint, when a decision was last logged
        # Decisions that were applied, and those that were not because too many endpoints were ejected.
        self.reinstated_count = 0
        self.ejected_count = 0
        self.refused_ejection_count = 0
        self.timer: asyncio.TimerHandle | None = None

    def fair_latency(self, endpoint: str, method: str, latency_ms: float, answer_bytes: int) -> float:
        """Returns the latency (ms) that is reported to the router for an answer of `answer_bytes`.

        For a large answer of an endpoint that is slow for those alone, this is at most the baseline latency.
        Without this, the endpoint would be ejected for all requests.
        """
        baseline_ms = self.router.baseline_latency(method)
        if baseline_ms and answer_bytes >= LARGE_ANSWER_MIN_BYTES and endpoint in self.slow_for_large:
            return min(latency_ms, baseline_ms)
        return latency_ms

    def avoids(self, request: Request) -> bool:
        """Returns whether to avoid the chosen endpoint, which is slow for large answers such as this key has.

        A small fraction (CONSENSUS_FRACTION) is sent there all the same, so that its recovery is noticed.
        """
        endpoint = request.attempts[-1].endpoint
        return (
            not request.write
            and endpoint in self.slow_for_large
            and request.key is not None
            and self.answer_sizes.large_by_key.get(request.key, False)
            and self.random_generator.random() >= CONSENSUS_FRACTION
            and self.router.has_alternative(self.now_ms(), request)
        )

    def on_request(self, key: int | None) -> None:
        """Counts the key of a client's request."""
        if self.hot_keys is not None and key is not None:
            self.hot_keys.record_request(self.loop.time(), key)

    def on_result(
        self, endpoint: str, request: Request, outcome: str, latency_ms: float, answer_bytes: int
    ) -> None:
        """Records the result of an attempt as evidence; called after the router has been told."""
        now = self.loop.time()
        large_weight = 0.0  # weight of this attempt as evidence on large answers
        if outcome == "completed" and not request.write:
            self._add_large_answer(now, endpoint, request, latency_ms, answer_bytes)
            if answer_bytes >= LARGE_ANSWER_MIN_BYTES:
                return
        elif outcome == "timeout" and not request.write:
            large_weight = self._add_large_timeout(now, endpoint, request)
        if outcome == "completed":
            baseline_ms = self.router.baseline_latency(request.name)
            succeeded = not baseline_ms or latency_ms <= SLOW_LATENCY_FACTOR * baseline_ms
        elif outcome in ADVERSE_OUTCOMES:
            succeeded = False
        else:
            return
        if large_weight < 1.0:
            self.consensus.record_result(now, name_digest(endpoint), succeeded, 1.0 - large_weight)
        # Each failure of an ejected endpoint renews its ejection. Without this, the router would take its
        # time-outs for the latency of cache misses, and admit more and more requests to it.
        if not succeeded and self.ejected_on_evidence.get(endpoint, 0.0) > now:
            self.router.eject_on_evidence(self.now_ms(), endpoint)

    def _add_large_answer(
        self, now: float, endpoint: str, request: Request, latency_ms: float, answer_bytes: int
    ) -> None:
        succeeded = self.answer_sizes.record_answer(now, request.key, latency_ms, answer_bytes)
        if succeeded is not None:
            self.consensus.record_result(now, name_digest(endpoint + LARGE_ANSWERS_SUFFIX), succeeded)

    def _add_large_timeout(self, now: float, endpoint: str, request: Request) -> float:
        """Adds a time-out to the evidence on large answers, weighted by how probable a large answer was.

        Without this, an endpoint that is slow for large answers alone would be ejected altogether.
        """
        large_weight = self.answer_sizes.large_probability(now, request.key)
        if large_weight:
            self.consensus.record_result(
                now, name_digest(endpoint + LARGE_ANSWERS_SUFFIX), False, large_weight
            )
        return large_weight

    def wake(self) -> None:
        """Queries peers for evidence, applies new decisions, and schedules the next round."""
        now = self.loop.time()
        self._update_names(self.endpoint_names())
        next_at = self._ask_for_evidence(now)
        self._act_on_decisions(now)
        self.ejected_on_evidence = _not_expired(self.ejected_on_evidence, now)
        self.slow_for_large = _not_expired(self.slow_for_large, now)
        if self.hot_keys is not None:
            next_at = min(next_at, self._find_hot_keys(now, self.hot_keys))
        self.timer = self.loop.call_at(max(next_at, now + MIN_WAKE_INTERVAL_S), self.wake)

    def _update_names(self, listed_endpoints: set[str]) -> None:
        if 2 * len(listed_endpoints) == len(self.names_by_digest) and listed_endpoints == set(
            self.names_by_digest.values()
        ):
            return
        self.names_by_digest = {
            name_digest(name + suffix): name
            for name in listed_endpoints
            for suffix in ("", LARGE_ANSWERS_SUFFIX)
        }
        large_answer_digests = [name_digest(name + LARGE_ANSWERS_SUFFIX) for name in listed_endpoints]
        self.consensus.set_endpoints(set(self.names_by_digest), large_answer_digests)

    def _ask_for_evidence(self, now: float) -> float:
        degraded = {name_digest(name) for name in self.router.degraded_endpoints(self.now_ms())}
        doubted_digests = degraded & self.names_by_digest.keys()
        messages, next_at = self.consensus.wake(now, self.alive_members(), doubted_digests)
        for peer, message in messages:
            self.send(peer, message)
        return next_at

    def _act_on_decisions(self, now: float) -> None:
        for digest, decision in self.consensus.take_new_decisions():
            endpoint = self.names_by_digest[digest]
            act = self.act_on_decision if digest == name_digest(endpoint) else self.act_on_large_answers
            act(now, endpoint, decision.health, decision.unhealthy_votes, decision.votes)

    def _find_hot_keys(self, now: float, hot_keys: HotKeyDetector) -> float:
        messages, next_at = hot_keys.wake(now, self.alive_members())
        for peer, message in messages:
            self.send(peer, message)
        for key, rate_per_s in hot_keys.take_new_findings():
            log.info("popular key", extra={"key": f"{key:x}", "per_s": round(rate_per_s)})
        return next_at

    def pin(self, endpoints: Iterable[str]) -> None:
        """Sets the pinned endpoints, on which other proxies' evidence is ignored, and reinstates those."""
        self.pinned_endpoints = frozenset(endpoints)
        for endpoint in self.pinned_endpoints & self.ejected_on_evidence.keys():
            del self.ejected_on_evidence[endpoint]
            self.router.reinstate(self.now_ms(), endpoint)

    def act_on_decision(
        self, now: float, endpoint: str, health: str, unhealthy_votes: int, votes: int
    ) -> None:
        """Ejects or reinstates an endpoint by a decision on all its answers."""
        if endpoint in self.pinned_endpoints:
            return
        if health == HEALTHY and endpoint in self.router.degraded_endpoints(self.now_ms()):
            self.ejected_on_evidence.pop(endpoint, None)
            self.router.reinstate(self.now_ms(), endpoint)
            self.reinstated_count += 1
        elif health in (UNHEALTHY, UNREACHABLE_FROM_ZONE):
            # Without this limit, proxies with misleading evidence could eject most of the endpoints.
            if not self.may_eject(endpoint, self.ejected_on_evidence):
                return
            # It is unhealthy altogether, so it no longer counts among those slow for large answers alone.
            self.slow_for_large.pop(endpoint, None)
            self.ejected_on_evidence[endpoint] = now + DECISION_LIFETIME_S
            self.router.eject_on_evidence(self.now_ms(), endpoint)
            self.ejected_count += 1
        elif health != OVERLOADED:
            return
        self.log_decision(now, endpoint, health, unhealthy_votes, votes)

    def act_on_large_answers(
        self, now: float, endpoint: str, health: str, unhealthy_votes: int, votes: int
    ) -> None:
        """Marks an endpoint as slow for large answers alone, by a decision on those answers."""
        successes, failures = self.consensus.recent_results(now, name_digest(endpoint))
        # Without this, an endpoint that is unhealthy altogether would be counted here before the decision on
        # all its answers, and an endpoint that is slow for large answers alone would exceed the limit.
        healthy_otherwise = endpoint not in self.ejected_on_evidence and failures <= successes
        if (
            endpoint in self.pinned_endpoints
            or health not in (UNHEALTHY, UNREACHABLE_FROM_ZONE)
            or not healthy_otherwise
        ):
            return
        if self.may_eject(endpoint, self.slow_for_large):
            self.slow_for_large[endpoint] = now + DECISION_LIFETIME_S
            self.ejected_count += 1
            self.log_decision(now, endpoint, SLOW_FOR_LARGE_ANSWERS, unhealthy_votes, votes)

    def may_eject(self, endpoint: str, ejected: dict[str, float]) -> bool:
        """Returns whether the endpoint may be among those ejected, and counts it if not."""
        allowed = endpoint in ejected or self.consensus.may_eject(
            len(self.names_by_digest) // 2, len(ejected)
        )
        self.refused_ejection_count += not allowed
        return allowed

    def log_decision(self, now: float, endpoint: str, health: str, unhealthy_votes: int, votes: int) -> None:
        """Logs a decision, at most once every LOG_INTERVAL_S for each endpoint."""
        if now - self.logged_at.get(endpoint, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self.logged_at[endpoint] = now
            log.info(
                "witnesses",
                extra={"cache": endpoint, "verdict": health, "sick": unhealthy_votes, "of": votes},
            )

    def on_message(self, message: EvidenceMessage | KeyCountMessage) -> None:
        """Handles a peer's message, and responds if it is a query."""
        answer: EvidenceMessage | KeyCountMessage | None = None
        if isinstance(message, EvidenceMessage):
            answer = self.consensus.on_message(self.loop.time(), message)
        elif self.hot_keys is not None:
            answer = self.hot_keys.on_message(self.loop.time(), message)
        if answer is not None:
            self.send(message.sender, answer)

    def format_lines(self) -> list[str]:
        """Returns the metrics lines on queries, decisions and hot keys."""
        now = self.loop.time()
        return [
            f"witness.asked:{self.consensus.query_messages_sent}",
            f"witness.verdicts:{self.consensus.decisions_made}",
            f"witness.lifted:{self.reinstated_count}",
            f"witness.set_aside:{self.ejected_count}",
            f"witness.no_room:{self.refused_ejection_count}",
            *self._decision_lines(now),
            *self._hot_key_lines(now),
        ]

    def _decision_lines(self, now: float) -> list[str]:
        return [
            f"verdict.{self.display_name(digest)}:{decision.health} sick={decision.unhealthy_votes} "
            f"of={decision.votes} by={','.join(map(str, decision.unhealthy_voters)) or '-'} "
            f"ends_s={decision.expires_at - now:.1f}"
            for digest, decision in sorted(self.consensus.decisions.items())
            if digest in self.names_by_digest
        ]

    def _hot_key_lines(self, now: float) -> list[str]:
        if self.hot_keys is None:
            return []
        return [
            f"popular.asked:{self.hot_keys.query_messages_sent}",
            f"popular.found:{self.hot_keys.findings_reported}",
            *(
                f"popular.{key:x}:per_s={rate_per_s:.0f} ends_s={until - now:.1f}"
                for key, (until, rate_per_s) in self.hot_keys.hot_keys.items()
            ),
        ]

    def display_name(self, digest: int) -> str:
        """Returns the endpoint's name for a digest, with `/large` if it stands for large answers."""
        name = self.names_by_digest[digest]
        return name if digest == name_digest(name) else f"{name}/large"

    def close(self) -> None:
        """Cancels the next round."""
        if self.timer is not None:
            self.timer.cancel()


def _not_expired(expiry_times: dict[str, float], now: float) -> dict[str, float]:
    return {name: expires_at for name, expires_at in expiry_times.items() if expires_at > now}
