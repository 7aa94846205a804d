"""Evidence on endpoints, exchanged with other proxies, and the decisions that follow, put into effect.

Tells the outlier consensus how attempts ended here, drives its questions, and ejects or reinstates endpoints
by what it decides. An endpoint that is slow for large answers alone stays, and gets fewer of them.

Invariants: what an endpoint is judged to be is decided by `fleet.outlier_consensus`; where a request goes is
decided by the router; only a bounded part of the endpoints is ejected on other proxies' evidence.
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

ADVERSE_OUTCOMES = frozenset({"timeout", "unconnected", "reset", "spoilt"})  # speak against an endpoint
LARGE_ANSWERS_SUFFIX = "\0large"  # behind an endpoint's name: the evidence on large answers
LOG_INTERVAL_S = 10.0  # between two lines on one endpoint
MIN_WAKE_INTERVAL_S = 0.02
log = logging.getLogger("calicofall")


class OutlierReports:
    """What this proxy and its peers know of the health of endpoints.

    Args:
        loop: The event loop.
        me: This proxy's number.
        incarnation: Which start of this proxy this is.
        zone: This proxy's zone, by name.
        random: The source of random numbers.
        router: Ejects and reinstates endpoints.
        endpoint_names: Gives the names of the endpoints on the list.
        send: Sends a message to a proxy.
        live_members: Gives the proxies that are there.
        now_ms: The router's clock.
        hot_keys: Finds keys that the whole fleet asks for often; None where that is not set.
    """

    def __init__(  # noqa: PLR0913 - wiring: each is made elsewhere and handed over once, by the server
        self,
        loop: asyncio.AbstractEventLoop,
        me: int,
        incarnation: int,
        zone: str,
        random: Random,
        router: Router,
        endpoint_names: Callable[[], set[str]],
        send: Callable[[int, EvidenceMessage | KeyCountMessage], None],
        live_members: Callable[[], list[int]],
        now_ms: Callable[[], float],
        hot_keys: HotKeyDetector | None = None,
    ) -> None:
        self.loop = loop
        self.router = router
        self.endpoint_names = endpoint_names
        self.send = send
        self.live_members = live_members
        self.now = now_ms
        self.consensus = OutlierConsensus(me, incarnation, name_digest(zone), random)
        self.answer_sizes = AnswerSizeStatistics()
        self.random = random
        self.hot_keys = hot_keys
        # By endpoint, until when on the loop's clock.
        self.slow_for_large: dict[str, float] = {}  # slow for large answers alone
        self.ejected_on_evidence: dict[str, float] = {}
        # Endpoints on which other proxies' evidence counts for nothing, as an operator has said.
        self.pinned_endpoints: frozenset[str] = frozenset()
        self.names_by_digest: dict[int, str] = {}  # two digests for each: of all answers, of large ones
        self.logged_at: dict[str, float] = {}  # when a line was last written on an endpoint
        # Decisions acted on, and those that weren't because too many endpoints were ejected.
        self.reinstated_count = 0
        self.ejected_count = 0
        self.no_room_count = 0
        self.timer: asyncio.TimerHandle | None = None

    def fair_latency(self, name: str, method: str, latency_ms: float, size: int) -> float:
        """The latency in ms that the router is told for an answer of `size` bytes.

        A large answer of an endpoint that is slow for those alone counts as no slower than usual: without
        this the endpoint would be ejected for all requests.
        """
        usual_ms = self.router.baseline_latency(method)
        if usual_ms and size >= LARGE_ANSWER_MIN_BYTES and name in self.slow_for_large:
            return min(latency_ms, usual_ms)
        return latency_ms

    def avoids(self, request: Request) -> bool:
        """Whether a key with large answers goes to another endpoint, since this one is slow for them alone.

        A small part goes there all the same, so that its recovery is seen.
        """
        name = request.attempts[-1].endpoint
        return (
            not request.write
            and name in self.slow_for_large
            and request.key is not None
            and self.answer_sizes.large_by_key.get(request.key, False)
            and self.random.random() >= CONSENSUS_FRACTION
            and self.router.has_alternative(self.now(), request)
        )

    def on_request(self, key: int | None) -> None:
        """Counts the key of a request that has come."""
        if self.hot_keys is not None and key is not None:
            self.hot_keys.record_request(self.loop.time(), key)

    def on_result(self, name: str, request: Request, outcome: str, latency_ms: float, size: int) -> None:
        """Takes how an attempt ended at an endpoint, as evidence; the router knows it by now."""
        now = self.loop.time()
        large_part = 0.0  # of this attempt that counts as evidence on large answers
        if outcome == "completed" and not request.write:
            self._add_large_answer(now, name, request, latency_ms, size)
            if size >= LARGE_ANSWER_MIN_BYTES:
                return
        elif outcome == "timeout" and not request.write:
            large_part = self._add_large_timeout(now, name, request)
        if outcome == "completed":
            usual_ms = self.router.baseline_latency(request.name)
            well = not usual_ms or latency_ms <= SLOW_LATENCY_FACTOR * usual_ms
        elif outcome in ADVERSE_OUTCOMES:
            well = False
        else:
            return
        if large_part < 1.0:
            self.consensus.record_result(now, name_digest(name), well, 1.0 - large_part)
        # An ejected endpoint is held down by each bad result. Without this, the router would take its
        # time-outs for the latency of cache misses, and admit more and more requests to it.
        if not well and self.ejected_on_evidence.get(name, 0.0) > now:
            self.router.eject_on_evidence(self.now(), name)

    def _add_large_answer(
        self, now: float, name: str, request: Request, latency_ms: float, size: int
    ) -> None:
        fine = self.answer_sizes.record_answer(now, request.key, latency_ms, size)
        if fine is not None:
            self.consensus.record_result(now, name_digest(name + LARGE_ANSWERS_SUFFIX), fine)

    def _add_large_timeout(self, now: float, name: str, request: Request) -> float:
        """Adds a time-out to the evidence on large answers, by the part that such answers have in it.

        Without this, an endpoint would be blamed as a whole for the large answers for which alone it is slow.
        """
        large_part = self.answer_sizes.large_probability(now, request.key)
        if large_part:
            self.consensus.record_result(now, name_digest(name + LARGE_ANSWERS_SUFFIX), False, large_part)
        return large_part

    def wake(self) -> None:
        """Asks peers for evidence, acts on what has been decided, and schedules the next round."""
        now = self.loop.time()
        self._update_names(self.endpoint_names())
        next_at = self._ask_for_evidence(now)
        self._act_on_decisions(now)
        self.ejected_on_evidence = _not_expired(self.ejected_on_evidence, now)
        self.slow_for_large = _not_expired(self.slow_for_large, now)
        if self.hot_keys is not None:
            next_at = min(next_at, self._find_hot_keys(now, self.hot_keys))
        self.timer = self.loop.call_at(max(next_at, now + MIN_WAKE_INTERVAL_S), self.wake)

    def _update_names(self, listed: set[str]) -> None:
        if 2 * len(listed) == len(self.names_by_digest) and listed == set(self.names_by_digest.values()):
            return
        self.names_by_digest = {
            name_digest(name + suffix): name for name in listed for suffix in ("", LARGE_ANSWERS_SUFFIX)
        }
        large_answers = [name_digest(name + LARGE_ANSWERS_SUFFIX) for name in listed]
        self.consensus.set_endpoints(set(self.names_by_digest), large_answers)

    def _ask_for_evidence(self, now: float) -> float:
        degraded = {name_digest(name) for name in self.router.degraded_endpoints(self.now())}
        doubted = degraded & self.names_by_digest.keys()
        messages, next_at = self.consensus.wake(now, self.live_members(), doubted)
        for peer, message in messages:
            self.send(peer, message)
        return next_at

    def _act_on_decisions(self, now: float) -> None:
        for digest, decision in self.consensus.take_new_decisions():
            name = self.names_by_digest[digest]
            act = self.act_on_decision if digest == name_digest(name) else self.act_on_large_answers
            act(now, name, decision.health, decision.unhealthy_votes, decision.votes)

    def _find_hot_keys(self, now: float, hot_keys: HotKeyDetector) -> float:
        messages, next_at = hot_keys.wake(now, self.live_members())
        for peer, message in messages:
            self.send(peer, message)
        for key, rate_per_s in hot_keys.take_new_findings():
            log.info("popular key", extra={"key": f"{key:x}", "per_s": round(rate_per_s)})
        return next_at

    def pin(self, pinned: Iterable[str]) -> None:
        """Takes the endpoints on which, by an operator's word, other proxies' evidence counts for nothing."""
        self.pinned_endpoints = frozenset(pinned)
        for name in self.pinned_endpoints & self.ejected_on_evidence.keys():
            del self.ejected_on_evidence[name]
            self.router.reinstate(self.now(), name)

    def act_on_decision(self, now: float, name: str, what: str, sick: int, votes: int) -> None:
        """Ejects or reinstates an endpoint by a decision on all its answers."""
        if name in self.pinned_endpoints:
            return
        if what == HEALTHY and name in self.router.degraded_endpoints(self.now()):
            self.ejected_on_evidence.pop(name, None)
            self.router.reinstate(self.now(), name)
            self.reinstated_count += 1
        elif what in (UNHEALTHY, UNREACHABLE_FROM_ZONE):
            # Bounded: without this, proxies that are all misled would eject most of the endpoints.
            if not self.has_room(name, self.ejected_on_evidence):
                return
            # It is slow for more than large answers, so it no longer takes a place among those.
            self.slow_for_large.pop(name, None)
            self.ejected_on_evidence[name] = now + DECISION_LIFETIME_S
            self.router.eject_on_evidence(self.now(), name)
            self.ejected_count += 1
        elif what != OVERLOADED:
            return
        self.log_decision(now, name, what, sick, votes)

    def act_on_large_answers(self, now: float, name: str, what: str, sick: int, votes: int) -> None:
        """Notes an endpoint as slow for large answers alone, by a decision on those."""
        well, badly = self.consensus.recent_results(now, name_digest(name))
        # Without this, an endpoint that is sick altogether would take a place here before the decision on
        # all its answers, and one that is slow for large answers alone would find none.
        healthy_otherwise = name not in self.ejected_on_evidence and badly <= well
        if (
            name in self.pinned_endpoints
            or what not in (UNHEALTHY, UNREACHABLE_FROM_ZONE)
            or not healthy_otherwise
        ):
            return
        if self.has_room(name, self.slow_for_large):
            self.slow_for_large[name] = now + DECISION_LIFETIME_S
            self.ejected_count += 1
            self.log_decision(now, name, SLOW_FOR_LARGE_ANSWERS, sick, votes)

    def has_room(self, name: str, table: dict[str, float]) -> bool:
        """Whether this endpoint may be in the table, too; counts where it may not."""
        free = name in table or self.consensus.may_eject(len(self.names_by_digest) // 2, len(table))
        self.no_room_count += not free
        return free

    def log_decision(self, now: float, name: str, what: str, sick: int, votes: int) -> None:
        """Logs a decision, at most once an interval for each endpoint."""
        if now - self.logged_at.get(name, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self.logged_at[name] = now
            log.info("witnesses", extra={"cache": name, "verdict": what, "sick": sick, "of": votes})

    def on_message(self, message: EvidenceMessage | KeyCountMessage) -> None:
        """Takes a peer's message, and answers a question."""
        answer: EvidenceMessage | KeyCountMessage | None = None
        if isinstance(message, EvidenceMessage):
            answer = self.consensus.on_message(self.loop.time(), message)
        elif self.hot_keys is not None:
            answer = self.hot_keys.on_message(self.loop.time(), message)
        if answer is not None:
            self.send(message.sender, answer)

    def format_lines(self) -> list[str]:
        """The metrics that operators read."""
        now = self.loop.time()
        return [
            f"witness.asked:{self.consensus.query_messages_sent}",
            f"witness.verdicts:{self.consensus.decisions_made}",
            f"witness.lifted:{self.reinstated_count}",
            f"witness.set_aside:{self.ejected_count}",
            f"witness.no_room:{self.no_room_count}",
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
        """What operators read for a digest: the endpoint's name, with `/large` for its large answers."""
        name = self.names_by_digest[digest]
        return name if digest == name_digest(name) else f"{name}/large"

    def close(self) -> None:
        """Ends the rounds."""
        if self.timer is not None:
            self.timer.cancel()


def _not_expired(table: dict[str, float], now: float) -> dict[str, float]:
    return {name: until for name, until in table.items() if until > now}
