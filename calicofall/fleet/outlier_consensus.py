"""Outlier consensus: proxies exchange evidence on whether an endpoint is an outlier, and each decides alone.

A proxy that suspects an endpoint queries other members for their evidence on it, counts votes, and makes its
own decision. The decision is a hint to the router: a wrong one costs quality of service, never correctness.
The module performs no I/O.

Evidence on an endpoint is the number of requests that recently succeeded and failed there; both counts halve
in HALF_LIFE_S. Failures are: no connection, a reset, an invalid answer, a timeout, or an answer that took
longer than SLOW_FACTOR times the baseline latency. Large answers and rejections for lack of capacity are no
evidence on an endpoint's health. Large answers are evidence on a separate endpoint id (see large_answers.py):
an endpoint that is unhealthy by this id only is slow for large answers only. A missing answer counts for both
ids, weighted with the probability that it would have been large.

Steps of a query: an endpoint is suspected (the router avoids it, or at least MIN_FAILURES_TO_SUSPECT requests
failed here, and more than succeeded), or MIN_ASKING_PEERS other members have queried this proxy about it ->
queried: PEERS_PER_QUERY members are asked -> decided when all of them have answered, or after
ANSWER_TIMEOUT_S. Each member with MIN_REQUESTS_TO_VOTE requests there has a vote, including this proxy; the
vote is unhealthy if more of its requests failed than succeeded. A decision expires after DECISION_LIFETIME_S,
unless another query confirms it:

- unhealthy: by more than 2/3 of at least MIN_VOTES votes, and by a majority of the votes of this proxy's zone
  and of those of the other zones, as far as there are any
- overloaded: the same, but by the voters' own counts the endpoint receives more than OVERLOAD_FACTOR times
  the requests of the mean endpoint, and the last answer was a success for more than MIN_RESPONSIVE_FRACTION
  of the voters. Each proxy then acts on its own evidence: load that all of them moved at once would overload
  the next endpoint
- unreachable from this zone: unhealthy by more than 2/3 of at least MIN_ZONE_VOTES votes of this proxy's
  zone, and healthy by more than 2/3 of at least MIN_VOTES votes of other zones
- healthy: by more than 2/3 of the votes of at least MIN_VOTES other members, where a vote for healthy counts
  only with a success after this proxy's last failure; and this proxy has few requests of its own there, or
  more successes than failures
- undecided: in any other case; the router acts on its own evidence

Invariants:
- A member's vote counts once in a query, and only in the query that it answers.
- Another proxy's decision is never adopted. A proxy that lies has one vote of MIN_VOTES or more.
- At most MAX_EJECTED_FRACTION of the listed endpoints, or one, may be ejected on peers' evidence.
- A round sends at most QUERIES_PER_ROUND * PEERS_PER_QUERY messages, and none while no endpoint is suspected.

Time: a proxy that suspects an endpoint has a decision after ANSWER_TIMEOUT_S. As each proxy starts a query
once MIN_ASKING_PEERS have asked it, a suspicion spreads in ROUND_INTERVAL_S * ln(N) /
ln(1 + QUERIES_PER_ROUND * PEERS_PER_QUERY / MIN_ASKING_PEERS) on average.

Known limitations: an endpoint that fails only at times may count as healthy for DECISION_LIFETIME_S. An
unhealthy endpoint with hot keys that fails most requests but not all counts as overloaded: it is not ejected
on peers' evidence, and each proxy has to detect it by its own.
"""

from collections.abc import Iterable
from enum import StrEnum
from math import exp
from random import Random
from typing import Any, NamedTuple, Self

from calicofall.fleet.large_answers import LARGE_ANSWER_BYTES, SLOW_FACTOR, LargeAnswerStatistics

HALF_LIFE_S = 2.5
DECAY_PER_HALF_LIFE = 0.6931  # ln 2
MIN_FAILURES_TO_SUSPECT = 1.5  # the decayed count of two failures one HALF_LIFE_S apart
MIN_REQUESTS_TO_VOTE = 0.2  # one request within the last 5.8 s
# If a proxy has this many recent requests of its own at an endpoint, and not more successes than failures,
# the votes of peers for healthy do not override them.
SUFFICIENT_OWN_REQUESTS = 4.0
DISCARDING_FAILURES = 2  # consecutive failures that discard the successes before them
PEERS_PER_QUERY = 8
MIN_VOTES = 3
MIN_ZONE_VOTES = 2  # votes of this proxy's zone by which an endpoint can be unreachable from there
MIN_ASKING_PEERS = 2
ANSWER_TIMEOUT_S = 0.3
ROUND_INTERVAL_S = 0.5
DECISION_LIFETIME_S = 5.0
QUERIES_PER_ROUND = 2
REQUERY_AFTER_S = 2.0  # shortest time between two queries on one endpoint
MAX_EJECTED_FRACTION = 0.1
NEVER_S = 3600.0  # age of an event that has not happened, and the highest age in a message
UNITS_PER_REQUEST = 16  # messages count requests in sixteenths
OVERLOAD_FACTOR = 1.5
MIN_RESPONSIVE_FRACTION = 1 / 8


class EndpointHealth(StrEnum):
    """The result of a query; the values are those that operators read."""

    UNHEALTHY = "sick"
    UNREACHABLE_FROM_ZONE = "way"
    HEALTHY = "fine"
    OVERLOADED = "crowded"
    UNDECIDED = "unsure"


# Names under which proxy/outlier_reports.py and testbed/outlier_simulation.py import these.
UNHEALTHY = EndpointHealth.UNHEALTHY
UNREACHABLE_FROM_ZONE = EndpointHealth.UNREACHABLE_FROM_ZONE
HEALTHY = EndpointHealth.HEALTHY
OVERLOADED = EndpointHealth.OVERLOADED
UNDECIDED = EndpointHealth.UNDECIDED
# The decision that proxy/outlier_reports.py logs on an endpoint that is unhealthy for large answers only.
SLOW_FOR_LARGE_ANSWERS = "slow for large answers"
LARGE_ANSWER_MIN_BYTES = LARGE_ANSWER_BYTES
SLOW_LATENCY_FACTOR = SLOW_FACTOR
AnswerSizeStatistics = LargeAnswerStatistics


class EvidenceMessage(NamedTuple):
    """A query for evidence, or an answer; sent as an array of these fields, in this order.

    Both contain the sender's evidence. Numbers of requests are in units of 1 / UNITS_PER_REQUEST.

    Attributes:
        is_query: whether this is a query.
        sender: number of the proxy that sends the message.
        incarnation: the sender's incarnation.
        correlation_id: identifier of the query, which its answers repeat.
        endpoint: id of the endpoint.
        zone: digest of the sender's zone.
        successes: requests that recently succeeded at the endpoint.
        failures: requests that recently failed there.
        last_success_age_ms: time since the last request ended there, if it succeeded; otherwise the
            milliseconds of NEVER_S.
        endpoint_requests: requests that recently ended there.
        mean_endpoint_requests: requests that recently ended at the mean endpoint.
    """

    is_query: bool
    sender: int
    incarnation: int
    correlation_id: int
    endpoint: int
    zone: int
    successes: int
    failures: int
    last_success_age_ms: int
    endpoint_requests: int = 0
    mean_endpoint_requests: int = 0


class EjectionDecision(NamedTuple):
    """The result of a query, the votes that it rests on, and when it expires (s)."""

    health: EndpointHealth
    unhealthy_votes: int
    votes: int
    unhealthy_voters: tuple[int, ...]
    expires_at: float


class PeerEvidence(NamedTuple):
    """A peer's answer: its zone and requests, and when the last one succeeded, by this proxy's clock (s)."""

    zone: int
    successes: float
    failures: float
    last_success_at: float
    endpoint_requests: float
    mean_endpoint_requests: float


class Vote(NamedTuple):
    """The vote that follows from the evidence of one proxy."""

    zone: int
    is_unhealthy: bool


class Tally(NamedTuple):
    """The number of votes for unhealthy, and of all votes."""

    unhealthy: int
    total: int

    @property
    def most_unhealthy(self) -> bool:
        """Whether more than 2/3 are for unhealthy."""
        return 3 * self.unhealthy > 2 * self.total

    @property
    def most_healthy(self) -> bool:
        """Whether more than 2/3 are for healthy."""
        return 3 * (self.total - self.unhealthy) > 2 * self.total

    @property
    def majority_unhealthy_or_none(self) -> bool:
        """Whether more than half are for unhealthy, or there are no votes."""
        return 2 * self.unhealthy > self.total or not self.total

    @classmethod
    def of(cls, votes: Iterable[Vote]) -> Self:
        """Counts votes."""
        unhealthy = [vote.is_unhealthy for vote in votes]
        return cls(sum(unhealthy), len(unhealthy))


class Evidence:
    """Requests that recently ended at an endpoint, as decaying counts; points in time are in seconds."""

    __slots__ = (
        "successes",
        "failures",
        "requests",
        "updated_at",
        "last_success_at",
        "last_failure_at",
        "consecutive_failures",
    )

    def __init__(self) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.requests = 0.0
        self.updated_at = 0.0
        self.last_success_at = -NEVER_S
        self.last_failure_at = -NEVER_S
        self.consecutive_failures = 0.0

    def decay(self, now: float) -> tuple[float, float]:
        """Decays the counts to `now`; returns successes and failures."""
        factor = exp(-DECAY_PER_HALF_LIFE * max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.requests *= factor
        self.updated_at = now
        return self.successes, self.failures

    def record_success(self, now: float) -> None:
        """Counts a success; `decay` has to be called before."""
        self.successes += 1.0
        self.last_success_at = now
        self.consecutive_failures = 0.0

    def record_failure(self, now: float, weight: float) -> None:
        """Counts a failure with a weight; `decay` has to be called before."""
        self.failures += weight
        self.last_failure_at = now
        self.consecutive_failures += weight
        if self.consecutive_failures >= DISCARDING_FAILURES:
            # Without this, an endpoint that has just begun to fail would count as healthy by earlier
            # successes.
            self.successes = 0.0

    def ended_in_success_at(self) -> float:
        """Returns when the last request ended (s), if it succeeded; otherwise -NEVER_S."""
        return self.last_success_at if self.last_success_at > self.last_failure_at else -NEVER_S


class EvidenceQuery:
    """A query that is not decided yet; it ends at `ends_at` (s)."""

    def __init__(self, endpoint: int, ends_at: float, queried_peers: list[int]) -> None:
        self.endpoint = endpoint
        self.ends_at = ends_at
        self.awaited = set(queried_peers)
        self.replies: dict[int, PeerEvidence] = {}


class OutlierConsensus:
    """Evidence, queries and decisions of one proxy.

    Endpoints are numbers, points in time are in seconds. `proxy_number` is this proxy's number.
    """

    def __init__(self, proxy_number: int, incarnation: int, zone: int, random_generator: Random) -> None:
        self.proxy_number = proxy_number
        self.incarnation = incarnation
        self.zone = zone
        self.random_generator = random_generator
        self.listed: frozenset[int] = frozenset()
        self.large_answer_ids: frozenset[int] = frozenset()  # those of `listed` that are for large answers
        self.evidence: dict[int, Evidence] = {}
        # Requests at all ids that are not for large answers, and at all ids that are.
        self.totals = (Evidence(), Evidence())
        self.queries: dict[int, EvidenceQuery] = {}  # by identifier
        self.last_queried_at: dict[int, float] = {}  # by endpoint
        self.peer_queries: dict[int, dict[int, float]] = {}  # by endpoint and member, when it last queried
        self.decisions: dict[int, EjectionDecision] = {}
        self.new_decisions: list[tuple[int, EjectionDecision]] = []
        self.last_query_id = random_generator.getrandbits(40)
        self.next_round_at = 0.0
        self.query_messages_sent = 0
        self.decisions_made = 0

    def set_endpoints(self, endpoints: set[int], large_answer_ids: Iterable[int] = ()) -> None:
        """Sets the endpoint ids, and which of them are for large answers; drops the data of all others."""
        self.listed = frozenset(endpoints)
        self.large_answer_ids = frozenset(large_answer_ids)
        tables: tuple[dict[int, Any], ...] = (
            self.evidence,
            self.last_queried_at,
            self.peer_queries,
            self.decisions,
        )
        for table in tables:
            for endpoint in table.keys() - endpoints:
                del table[endpoint]

    # Evidence

    def record_result(self, now: float, endpoint: int, succeeded: bool, weight: float = 1.0) -> None:
        """Counts a request of this proxy that has ended as evidence on an endpoint id.

        The weight is below 1 only for a missing answer, which counts in part for each of two ids.
        """
        evidence = self.evidence.get(endpoint)
        if evidence is None:
            evidence = self.evidence[endpoint] = Evidence()
        evidence.decay(now)
        evidence.requests += weight
        total = self.totals[endpoint in self.large_answer_ids]
        total.decay(now)
        total.requests += weight
        if succeeded:
            evidence.record_success(now)
        else:
            evidence.record_failure(now, weight)

    def recent_results(self, now: float, endpoint: int) -> tuple[float, float]:
        """Returns how many requests recently succeeded and failed at an endpoint."""
        evidence = self.evidence.get(endpoint)
        return evidence.decay(now) if evidence is not None else (0.0, 0.0)

    def recent_load(self, now: float, endpoint: int) -> tuple[float, float]:
        """Returns how many requests recently ended at an endpoint, and at the mean endpoint."""
        is_large = endpoint in self.large_answer_ids
        self.recent_results(now, endpoint)
        total = self.totals[is_large]
        total.decay(now)
        large_count = len(self.large_answer_ids)
        count = large_count if is_large else len(self.listed) - large_count
        requests = self.evidence[endpoint].requests if endpoint in self.evidence else 0.0
        return requests, total.requests / max(1, count)

    # Messages

    def on_message(self, now: float, message: EvidenceMessage) -> EvidenceMessage | None:
        """Handles a message; returns the answer to its sender, if any."""
        if message.sender == self.proxy_number:
            return None
        if message.is_query:
            if message.endpoint in self.listed:
                self.peer_queries.setdefault(message.endpoint, {})[message.sender] = now
            return self._make_message(now, False, message.correlation_id, message.endpoint)
        query = self.queries.get(message.correlation_id)
        # Each queried member counts once: duplicates and answers to a former incarnation's queries do not
        # count.
        if query is not None and message.endpoint == query.endpoint and message.sender in query.awaited:
            query.awaited.discard(message.sender)
            query.replies[message.sender] = PeerEvidence(
                message.zone,
                message.successes / UNITS_PER_REQUEST,
                message.failures / UNITS_PER_REQUEST,
                now - message.last_success_age_ms / 1000.0,
                message.endpoint_requests / UNITS_PER_REQUEST,
                message.mean_endpoint_requests / UNITS_PER_REQUEST,
            )
        return None

    def _make_message(
        self, now: float, is_query: bool, correlation_id: int, endpoint: int
    ) -> EvidenceMessage:
        """Returns a query or an answer, with this proxy's evidence on the endpoint."""
        successes, failures = self.recent_results(now, endpoint)
        evidence = self.evidence.get(endpoint)
        last_success_at = evidence.ended_in_success_at() if evidence is not None else -NEVER_S
        requests, mean_requests = self.recent_load(now, endpoint)
        return EvidenceMessage(
            is_query,
            self.proxy_number,
            self.incarnation,
            correlation_id,
            endpoint,
            self.zone,
            round(successes * UNITS_PER_REQUEST),
            round(failures * UNITS_PER_REQUEST),
            round(1000.0 * min(NEVER_S, max(0.0, now - last_success_at))),
            round(requests * UNITS_PER_REQUEST),
            round(mean_requests * UNITS_PER_REQUEST),
        )

    # Queries

    def wake(
        self, now: float, reachable: list[int], avoided: set[int]
    ) -> tuple[list[tuple[int, EvidenceMessage]], float]:
        """Returns the messages to send, each with its receiver, and the time of the next call (s).

        `reachable` are the members that are likely to answer, `avoided` the endpoints that the router avoids.
        """
        for query_id, query in list(self.queries.items()):
            if now >= query.ends_at or not query.awaited:
                del self.queries[query_id]
                self._decide(now, query)
        self.decisions = {
            endpoint: decision for endpoint, decision in self.decisions.items() if decision.expires_at > now
        }
        messages: list[tuple[int, EvidenceMessage]] = []
        if now >= self.next_round_at:
            self.next_round_at = now + ROUND_INTERVAL_S * self.random_generator.uniform(0.9, 1.0)
            for endpoint in self._endpoints_to_query(now, avoided)[:QUERIES_PER_ROUND]:
                messages += self._query(now, endpoint, reachable)
        return messages, min([self.next_round_at, *(query.ends_at for query in self.queries.values())])

    def _query(self, now: float, endpoint: int, reachable: list[int]) -> list[tuple[int, EvidenceMessage]]:
        peers = self.random_generator.sample(reachable, min(PEERS_PER_QUERY, len(reachable)))
        if not peers:
            return []
        self.last_query_id += 1
        self.last_queried_at[endpoint] = now
        self.queries[self.last_query_id] = EvidenceQuery(endpoint, now + ANSWER_TIMEOUT_S, peers)
        self.query_messages_sent += len(peers)
        message = self._make_message(now, True, self.last_query_id, endpoint)
        return [(peer, message) for peer in peers]

    def _endpoints_to_query(self, now: float, avoided: set[int]) -> list[int]:
        """Returns the endpoints to query, those that this proxy suspects first."""
        suspected = []
        asked_about = []
        for endpoint in self.listed:
            if self._is_queried(now, endpoint):
                continue
            successes, failures = self.recent_results(now, endpoint)
            asking_peers = self._asking_peers(now, endpoint)
            if endpoint in avoided or (failures >= MIN_FAILURES_TO_SUSPECT and failures > successes):
                suspected.append(endpoint)
            elif asking_peers >= MIN_ASKING_PEERS:
                asked_about.append(endpoint)
        self.random_generator.shuffle(suspected)
        self.random_generator.shuffle(asked_about)
        return suspected + asked_about

    def _is_queried(self, now: float, endpoint: int) -> bool:
        """Returns whether a query on an endpoint is pending, or the last one is too recent."""
        if now - self.last_queried_at.get(endpoint, -REQUERY_AFTER_S) < REQUERY_AFTER_S:
            return True
        return any(query.endpoint == endpoint for query in self.queries.values())

    def _asking_peers(self, now: float, endpoint: int) -> int:
        """Returns how many other members queried this proxy on an endpoint within DECISION_LIFETIME_S."""
        asked_at_by_peer = self.peer_queries.get(endpoint)
        if not asked_at_by_peer:
            return 0
        recent = {peer: at for peer, at in asked_at_by_peer.items() if at > now - DECISION_LIFETIME_S}
        self.peer_queries[endpoint] = recent
        return len(recent)

    # Decisions

    def _decide(self, now: float, query: EvidenceQuery) -> None:
        """Ends a query with a decision."""
        own_results = self.recent_results(now, query.endpoint)
        votes = self._peer_votes(query)
        current = self._current_votes(query, votes)
        if sum(own_results) >= MIN_REQUESTS_TO_VOTE:
            votes[self.proxy_number] = Vote(self.zone, own_results[1] > own_results[0])
        health = self._health(now, query, votes)
        # With enough evidence of its own, a proxy decides for healthy only if that evidence agrees.
        trusts_peers = sum(own_results) < SUFFICIENT_OWN_REQUESTS or own_results[0] > own_results[1]
        if health is UNDECIDED and trusts_peers and current.total >= MIN_VOTES and current.most_healthy:
            health = HEALTHY
        unhealthy = sorted(voter for voter, vote in votes.items() if vote.is_unhealthy)
        decision = EjectionDecision(
            health, len(unhealthy), len(votes), tuple(unhealthy), now + DECISION_LIFETIME_S
        )
        self.decisions[query.endpoint] = decision
        self.decisions_made += 1
        if health is not UNDECIDED:
            self.new_decisions.append((query.endpoint, decision))

    @staticmethod
    def _peer_votes(query: EvidenceQuery) -> dict[int, Vote]:
        return {
            peer: Vote(reply.zone, reply.failures > reply.successes)
            for peer, reply in query.replies.items()
            if reply.successes + reply.failures >= MIN_REQUESTS_TO_VOTE
        }

    def _current_votes(self, query: EvidenceQuery, votes: dict[int, Vote]) -> Tally:
        """Counts the peers' votes, without outdated ones for healthy.

        A vote for healthy is outdated if the peer's last success is before this proxy's last failure. If such
        votes counted, an endpoint that has just begun to fail would count as healthy.
        """
        evidence = self.evidence.get(query.endpoint)
        since = evidence.last_failure_at if evidence is not None else -NEVER_S
        return Tally.of(
            vote
            for peer, vote in votes.items()
            if vote.is_unhealthy or query.replies[peer].last_success_at > since
        )

    def _health(self, now: float, query: EvidenceQuery, votes: dict[int, Vote]) -> EndpointHealth:
        """Returns the result of the votes, except for healthy, which `_decide` checks."""
        all_votes = Tally.of(votes.values())
        own_zone = Tally.of(vote for vote in votes.values() if vote.zone == self.zone)
        other_zones = Tally.of(vote for vote in votes.values() if vote.zone != self.zone)
        zones_agree = own_zone.majority_unhealthy_or_none and other_zones.majority_unhealthy_or_none
        if all_votes.total >= MIN_VOTES and all_votes.most_unhealthy and zones_agree:
            return OVERLOADED if self._is_overloaded(now, query, votes) else UNHEALTHY
        enough_votes = own_zone.total >= MIN_ZONE_VOTES and other_zones.total >= MIN_VOTES
        if enough_votes and own_zone.most_unhealthy and other_zones.most_healthy:
            return UNREACHABLE_FROM_ZONE
        return UNDECIDED

    def _is_overloaded(self, now: float, query: EvidenceQuery, votes: dict[int, Vote]) -> bool:
        """Returns whether an endpoint fails because of too many requests, and not because it is unhealthy.

        Each voter counts by how many its requests there exceed OVERLOAD_FACTOR times those at the mean
        endpoint; an overload shows in a positive sum over the voters.
        """
        replies = [query.replies[voter] for voter in votes if voter != self.proxy_number]
        own_requests, own_mean = self.recent_load(now, query.endpoint)
        excess = [own_requests - OVERLOAD_FACTOR * own_mean]
        excess += [
            reply.endpoint_requests - OVERLOAD_FACTOR * reply.mean_endpoint_requests for reply in replies
        ]
        # The highest and the lowest value do not count, so that one proxy that lies decides nothing.
        exceeds_mean_load = sum(sorted(excess)[1:-1]) > 0.0
        # An age below half of NEVER_S means that the voter's last request there succeeded.
        responsive = sum(reply.last_success_at > now - NEVER_S / 2 for reply in replies)
        return exceeds_mean_load and responsive > MIN_RESPONSIVE_FRACTION * len(votes)

    def take_new_decisions(self) -> list[tuple[int, EjectionDecision]]:
        """Returns the decisions since the last call, each after its endpoint, without undecided ones."""
        decisions = self.new_decisions
        self.new_decisions = []
        return decisions

    @staticmethod
    def may_eject(listed: int, ejected: int) -> bool:
        """Returns whether one more endpoint may be ejected on peers' evidence."""
        return ejected < max(1, int(MAX_EJECTED_FRACTION * listed))
