"""Whether an endpoint is an outlier to the whole fleet: evidence is shared, decisions aren't.

A proxy that suspects an endpoint asks other members for their evidence on it, counts votes, and decides for
itself. The decision is a hint to the router: a wrong one costs quality of service, never correctness. The
module does no I/O.

Evidence on an endpoint is how many requests lately succeeded and failed there; both halve in HALF_LIFE_S.
Failures are: no connection, reset, invalid answer, timeout, or an answer that took over SLOW_FACTOR times the
usual time. Large answers, and rejections for want of capacity, tell nothing about an endpoint's health.
Large answers are evidence on an endpoint id of their own (see large_answers.py): an endpoint that is
unhealthy by that one alone is slow for large answers alone. An answer that didn't come counts for both ids,
by how likely it would have been large.

Steps of a query: an endpoint is suspected (the router avoids it, or MIN_FAILURES_TO_SUSPECT requests failed
here and more than succeeded) or was asked about by MIN_ASKING_PEERS others -> queried: PEERS_PER_QUERY
members are asked -> decided: when all have answered, or after ANSWER_TIMEOUT_S. Each that has seen
MIN_REQUESTS_TO_VOTE has a vote, this proxy among them: unhealthy if more of its requests failed than
succeeded. A decision expires after HOLD s, unless another query confirms it:

- unhealthy: over 2/3 of at least MIN_VOTES votes, most votes of our zone and most of the others, as far as
  there are any
- overloaded: the same, but by the voters' own counts it is sent over OVERLOAD_FACTOR times what the mean
  endpoint is sent, and over MIN_RESPONSIVE_FRACTION of the voters had their last answer succeed. Each proxy
  goes on by itself then: load that all take elsewhere at once would overload the next endpoint
- unreachable from this zone: unhealthy to over 2/3 of our zone's votes, healthy to over 2/3 of at least
  MIN_VOTES votes of others
- healthy: to over 2/3 of at least MIN_VOTES other voters, of which those that vote healthy had a success
  after our last failure; and we have seen little ourselves, or more successes than failures
- undecided: anything else; the router goes on by itself

Invariants:
- A peer's votes in one query count once, and only for the query that it answers.
- Another proxy's decision is never taken over; one proxy that lies is one vote of MIN_VOTES or more.
- Of the listed endpoints at most MAX_EJECTED_FRACTION, or one, may be ejected on peers' evidence.
- A round sends QUERIES_PER_ROUND * PEERS_PER_QUERY messages at most, and none while nothing is suspected.

Time: who suspects an endpoint has a decision after ANSWER_TIMEOUT_S; MIN_ASKING_PEERS that ask spread the
suspicion in ROUND_INTERVAL_S * ln(N) / ln(1 + QUERIES_PER_ROUND * PEERS_PER_QUERY / MIN_ASKING_PEERS) on
average. Known harm: an endpoint that fails at times only may be held to be healthy for HOLD s; one with hot
keys that fails most requests but not all is held to be overloaded, and each proxy finds that out alone.
"""

from collections.abc import Iterable
from enum import StrEnum
from math import exp
from random import Random
from typing import Any, NamedTuple, Self

from calicofall.fleet.large_answers import LARGE_ANSWER_BYTES, SLOW_FACTOR, LargeAnswerStatistics

HALF_LIFE_S = 2.5
DECAY_PER_HALF_LIFE = 0.6931  # ln 2
MIN_FAILURES_TO_SUSPECT = 1.5
MIN_REQUESTS_TO_VOTE = 0.2  # one request within 5.8 s
SUFFICIENT_OWN_REQUESTS = 4.0  # with so many of its own, a proxy doesn't trust peers against them
DISCARDING_FAILURES = 2  # so many failures in a row void the successes before them
PEERS_PER_QUERY = 8
MIN_VOTES = 3
MIN_ZONE_VOTES = 2  # of our zone, to tell that the endpoint is unreachable from there
MIN_ASKING_PEERS = 2
ANSWER_TIMEOUT_S = 0.3
ROUND_INTERVAL_S = 0.5
DECISION_LIFETIME_S = 5.0  # s
QUERIES_PER_ROUND = 2
REQUERY_AFTER_S = 2.0
MAX_EJECTED_FRACTION = 0.1
NEVER_S = 3600.0  # stands for an event that hasn't happened, and is the longest age in a message
UNITS_PER_REQUEST = 16  # messages count requests in sixteenths
OVERLOAD_FACTOR = 1.5
MIN_RESPONSIVE_FRACTION = 1 / 8


class EndpointHealth(StrEnum):
    """What a query has found; the values are those that operators read."""

    UNHEALTHY = "sick"
    UNREACHABLE_FROM_ZONE = "way"
    HEALTHY = "fine"
    OVERLOADED = "crowded"
    UNDECIDED = "unsure"


# The names by which proxy/outlier_reports.py imports these.
UNHEALTHY = EndpointHealth.UNHEALTHY
UNREACHABLE_FROM_ZONE = EndpointHealth.UNREACHABLE_FROM_ZONE
HEALTHY = EndpointHealth.HEALTHY
OVERLOADED = EndpointHealth.OVERLOADED
UNDECIDED = EndpointHealth.UNDECIDED
SLOW_FOR_LARGE_ANSWERS = "slow for large answers"
LARGE_ANSWER_MIN_BYTES = LARGE_ANSWER_BYTES
SLOW_LATENCY_FACTOR = SLOW_FACTOR
AnswerSizeStatistics = LargeAnswerStatistics


class EvidenceMessage(NamedTuple):
    """A query for evidence, or an answer; both hold the sender's. Datagrams hold the fields in this order.

    `mark` is the query's number. Requests that succeeded (`well`), failed (`badly`), or ended at all at this
    endpoint and at the mean one, are in units of 1 / UNITS_PER_REQUEST. `age` is how long ago the last
    request ended (ms), if it succeeded, and otherwise NEVER_S.
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
    """The result of a query (`what`): how many of the votes were for unhealthy, and whose; expiry (s)."""

    health: EndpointHealth
    unhealthy_votes: int
    votes: int
    unhealthy_voters: tuple[int, ...]
    expires_at: float


class PeerEvidence(NamedTuple):
    """A peer's answer: its zone and requests, and when its last one succeeded, by our clock (s)."""

    zone: int
    successes: float
    failures: float
    last_success_at: float
    endpoint_requests: float
    mean_endpoint_requests: float


class Vote(NamedTuple):
    """What the evidence of one proxy says."""

    zone: int
    is_unhealthy: bool


class Tally(NamedTuple):
    """Votes counted."""

    unhealthy: int
    total: int

    @property
    def most_unhealthy(self) -> bool:
        """Whether over 2/3 are for unhealthy."""
        return 3 * self.unhealthy > 2 * self.total

    @property
    def most_healthy(self) -> bool:
        """Whether over 2/3 are for healthy."""
        return 3 * (self.total - self.unhealthy) > 2 * self.total

    @property
    def majority_unhealthy_or_none(self) -> bool:
        """Whether over half are for unhealthy, or there are no votes."""
        return 2 * self.unhealthy > self.total or not self.total

    @classmethod
    def of(cls, votes: Iterable[Vote]) -> Self:
        """Counts votes."""
        unhealthy = [vote.is_unhealthy for vote in votes]
        return cls(sum(unhealthy), len(unhealthy))


class Evidence:
    """Requests at an endpoint lately, each decaying, and moments in seconds."""

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
        """Brings the counts up to date; returns successes and failures."""
        factor = exp(-DECAY_PER_HALF_LIFE * max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.requests *= factor
        self.updated_at = now
        return self.successes, self.failures

    def record_success(self, now: float) -> None:
        """A request succeeded; the counts are up to date."""
        self.successes += 1.0
        self.last_success_at = now
        self.consecutive_failures = 0.0

    def record_failure(self, now: float, weight: float) -> None:
        """A request failed, counted with a weight; the counts are up to date."""
        self.failures += weight
        self.last_failure_at = now
        self.consecutive_failures += weight
        if self.consecutive_failures >= DISCARDING_FAILURES:
            # Without this an endpoint that has just begun to fail would be vouched for by earlier successes.
            self.successes = 0.0

    def ended_in_success_at(self) -> float:
        """When the last request ended (s), if it succeeded."""
        return self.last_success_at if self.last_success_at > self.last_failure_at else -NEVER_S


class EvidenceQuery:
    """A query that isn't decided yet; it ends at a moment in seconds."""

    def __init__(self, endpoint: int, ends_at: float, asked: list[int]) -> None:
        self.endpoint = endpoint
        self.ends_at = ends_at
        self.awaited = set(asked)
        self.replies: dict[int, PeerEvidence] = {}


class OutlierConsensus:
    """Evidence, queries and decisions of one proxy. Endpoints are numbers, moments in seconds.

    `own_id` is this proxy's number.
    """

    def __init__(self, own_id: int, incarnation: int, zone: int, rng: Random) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.zone = zone
        self.random_generator = rng
        self.listed: frozenset[int] = frozenset()
        self.large_answer_ids: frozenset[int] = frozenset()  # of these, those for large answers
        self.evidence: dict[int, Evidence] = {}
        self.totals = (Evidence(), Evidence())  # of all endpoints; of all ids for large answers
        self.queries: dict[int, EvidenceQuery] = {}  # by number
        self.last_queried_at: dict[int, float] = {}  # by endpoint
        self.peer_queries: dict[int, dict[int, float]] = {}  # by endpoint, who asked us about it, and when
        self.decisions: dict[int, EjectionDecision] = {}
        self.new_decisions: list[tuple[int, EjectionDecision]] = []
        self.last_query_id = rng.getrandbits(40)
        self.next_round_at = 0.0
        self.query_messages_sent = 0  # messages sent for queries
        self.decisions_made = 0  # decisions

    def set_endpoints(self, endpoints: set[int], large_answer_ids: Iterable[int] = ()) -> None:
        """Sets the endpoints, and which ids are for large answers; what is known of others is dropped."""
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

    def record_result(self, now: float, endpoint: int, well: bool, weight: float = 1.0) -> None:
        """A request of ours has ended, and counts for this endpoint id with this weight."""
        evidence = self.evidence.get(endpoint)
        if evidence is None:
            evidence = self.evidence[endpoint] = Evidence()
        evidence.decay(now)
        evidence.requests += weight
        total = self.totals[endpoint in self.large_answer_ids]
        total.decay(now)
        total.requests += weight
        if well:
            evidence.record_success(now)
        else:
            evidence.record_failure(now, weight)

    def recent_results(self, now: float, endpoint: int) -> tuple[float, float]:
        """Successes and failures at an endpoint lately."""
        evidence = self.evidence.get(endpoint)
        return evidence.decay(now) if evidence is not None else (0.0, 0.0)

    def recent_load(self, now: float, endpoint: int) -> tuple[float, float]:
        """Requests that ended at an endpoint lately, and at the mean endpoint."""
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
        """Takes a message; returns the answer to its sender, if any."""
        if message.sender == self.own_id:
            return None
        if message.is_query:
            if message.endpoint in self.listed:
                self.peer_queries.setdefault(message.endpoint, {})[message.sender] = now
            return self._make_message(now, False, message.correlation_id, message.endpoint)
        query = self.queries.get(message.correlation_id)
        # Each member that was asked counts once: neither duplicates nor answers to a former incarnation do.
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
        """A query or an answer, with our evidence on the endpoint."""
        successes, failures = self.recent_results(now, endpoint)
        evidence = self.evidence.get(endpoint)
        last_success_at = evidence.ended_in_success_at() if evidence is not None else -NEVER_S
        requests, mean_requests = self.recent_load(now, endpoint)
        return EvidenceMessage(
            is_query,
            self.own_id,
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
        """Returns the queries to send, with whom to send each to, and when to be called again (s).

        `reachable`: the members that are likely to answer; `avoided`: the endpoints that the router avoids.
        """
        for query_id, query in list(self.queries.items()):
            if now >= query.ends_at or not query.awaited:
                del self.queries[query_id]
                self._decide(now, query)
        self.decisions = {
            endpoint: decision for endpoint, decision in self.decisions.items() if decision.expires_at > now
        }
        out: list[tuple[int, EvidenceMessage]] = []
        if now >= self.next_round_at:
            self.next_round_at = now + ROUND_INTERVAL_S * self.random_generator.uniform(0.9, 1.0)
            for endpoint in self._endpoints_to_query(now, avoided)[:QUERIES_PER_ROUND]:
                out += self._query(now, endpoint, reachable)
        return out, min([self.next_round_at, *(query.ends_at for query in self.queries.values())])

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
        """Endpoints to query, those that are suspected here first."""
        own = []
        others = []
        for endpoint in self.listed:
            if self._is_queried(now, endpoint):
                continue
            successes, failures = self.recent_results(now, endpoint)
            asking_peers = self._asking_peers(now, endpoint)
            if endpoint in avoided or (failures >= MIN_FAILURES_TO_SUSPECT and failures > successes):
                own.append(endpoint)
            elif asking_peers >= MIN_ASKING_PEERS:
                others.append(endpoint)
        self.random_generator.shuffle(own)
        self.random_generator.shuffle(others)
        return own + others

    def _is_queried(self, now: float, endpoint: int) -> bool:
        """Whether a query is out, or was sent too short a time ago."""
        if now - self.last_queried_at.get(endpoint, -REQUERY_AFTER_S) < REQUERY_AFTER_S:
            return True
        return any(query.endpoint == endpoint for query in self.queries.values())

    def _asking_peers(self, now: float, endpoint: int) -> int:
        """How many others have asked about an endpoint lately."""
        asking = self.peer_queries.get(endpoint)
        if not asking:
            return 0
        recent = {peer: asked_at for peer, asked_at in asking.items() if asked_at > now - DECISION_LIFETIME_S}
        self.peer_queries[endpoint] = recent
        return len(recent)

    # Decisions

    def _decide(self, now: float, query: EvidenceQuery) -> None:
        """Ends a query with a decision."""
        own = self.recent_results(now, query.endpoint)
        votes = self._peer_votes(query)
        vouching = self._vouching_votes(query, votes)
        if sum(own) >= MIN_REQUESTS_TO_VOTE:
            votes[self.own_id] = Vote(self.zone, own[1] > own[0])
        health = self._health(now, query, votes)
        # With enough evidence of its own, a proxy believes in health only if it has seen it, too.
        trusts_peers = sum(own) < SUFFICIENT_OWN_REQUESTS or own[0] > own[1]
        if health is UNDECIDED and trusts_peers and vouching.total >= MIN_VOTES and vouching.most_healthy:
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

    def _vouching_votes(self, query: EvidenceQuery, votes: dict[int, Vote]) -> Tally:
        """Peers' votes, without those for healthy that rest on what was before our last failure.

        Without this an endpoint that has just begun to fail would be held to be healthy.
        """
        evidence = self.evidence.get(query.endpoint)
        since = evidence.last_failure_at if evidence is not None else -NEVER_S
        return Tally.of(
            vote
            for peer, vote in votes.items()
            if vote.is_unhealthy or query.replies[peer].last_success_at > since
        )

    def _health(self, now: float, query: EvidenceQuery, votes: dict[int, Vote]) -> EndpointHealth:
        """What the votes say, but for whether the endpoint is healthy."""
        everywhere = Tally.of(votes.values())
        near = Tally.of(vote for vote in votes.values() if vote.zone == self.zone)
        far = Tally.of(vote for vote in votes.values() if vote.zone != self.zone)
        both_sides = near.majority_unhealthy_or_none and far.majority_unhealthy_or_none
        if everywhere.total >= MIN_VOTES and everywhere.most_unhealthy and both_sides:
            return OVERLOADED if self._is_overloaded(now, query, votes) else UNHEALTHY
        enough_votes = near.total >= MIN_ZONE_VOTES and far.total >= MIN_VOTES
        if enough_votes and near.most_unhealthy and far.most_healthy:
            return UNREACHABLE_FROM_ZONE
        return UNDECIDED

    def _is_overloaded(self, now: float, query: EvidenceQuery, votes: dict[int, Vote]) -> bool:
        """Whether an endpoint fails because it is sent too much, and not because it is unhealthy."""
        replies = [query.replies[voter] for voter in votes if voter != self.own_id]
        own_requests, own_mean = self.recent_load(now, query.endpoint)
        excess = [own_requests - OVERLOAD_FACTOR * own_mean]
        excess += [
            reply.endpoint_requests - OVERLOAD_FACTOR * reply.mean_endpoint_requests for reply in replies
        ]
        # The highest and the lowest don't count, so that one proxy that lies decides nothing.
        is_sent_too_much = sum(sorted(excess)[1:-1]) > 0.0
        responsive = sum(reply.last_success_at > now - NEVER_S / 2 for reply in replies)
        return is_sent_too_much and responsive > MIN_RESPONSIVE_FRACTION * len(votes)

    def take_new_decisions(self) -> list[tuple[int, EjectionDecision]]:
        """The decisions made since the last call, with their endpoints; none that are undecided."""
        decisions = self.new_decisions
        self.new_decisions = []
        return decisions

    @staticmethod
    def may_eject(listed: int, ejected: int) -> bool:
        """Whether one more endpoint may be ejected on peers' evidence, of so many listed and ejected."""
        return ejected < max(1, int(MAX_EJECTED_FRACTION * listed))
