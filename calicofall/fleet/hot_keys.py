"""Hot keys: keys that the whole fleet asks for, found by proxies that each see few requests for them.

A proxy that was asked for a key MIN_OWN_REQUESTS times within COUNTING_WINDOW_S asks PEERS_PER_QUERY members
how often they were asked for it, and in how long. It takes the whole fleet for the mean of those that answer
and itself, without the highest of the others. A key is hot if the fleet asks for it more often than
HOT_FRACTION of what one endpoint can serve, where at least MIN_SEEN_REQUESTS were counted. A finding is for
operators: the router spreads a key by its own requests as well as it would by a finding. The module does no
I/O.

Steps of a query: counted often enough -> queried -> judged: when all have answered, or after
ANSWER_TIMEOUT_S. States of a key: unknown -> hot (by a query) -> unknown (HOT_LIFETIME_S later, unless
another query confirms it).

Invariants:
- A member counts once in a query; the finding of another proxy is never taken over.
- One member that lies can't make a key hot, and one that is silent moves the estimate by its part of those
  that answer.
- At most MAX_COUNTED_KEYS keys are counted in each window.
- A round sends QUERIES_PER_ROUND * PEERS_PER_QUERY messages at most, and none while no key comes twice.

Time: a hot key is known ANSWER_TIMEOUT_S after its second request here, ROUND_INTERVAL_S later for each two
keys that are queried before it. Relative error of the estimate: 1 / sqrt(requests counted), so at most
1 / sqrt(MIN_SEEN_REQUESTS).
"""

from random import Random
from typing import NamedTuple

COUNTING_WINDOW_S = 20.0  # the present window and the one before it are counted
MIN_OWN_REQUESTS = 2
MIN_SEEN_REQUESTS = 8
HOT_FRACTION = 0.3
PEERS_PER_QUERY = 8
MIN_ANSWERS = 3
ANSWER_TIMEOUT_S = 0.3
ROUND_INTERVAL_S = 0.5
REQUERY_AFTER_S = 5.0
HOT_LIFETIME_S = 15.0
QUERIES_PER_ROUND = 2
MAX_COUNTED_KEYS = 2000


class KeyCountMessage(NamedTuple):
    """A query for counts of a key, or an answer; both hold the sender's.

    Datagrams hold the fields in this order.
    `mark` is the query's number; the sender had so many `requests` for the key in `counted_ms`.
    """

    is_query: bool
    sender: int
    incarnation: int
    correlation_id: int
    key: int
    requests: int
    counted_ms: int


class KeyCount(NamedTuple):
    """How often a proxy was asked for a key, in how long."""

    requests: int
    counted_ms: int

    @property
    def per_ms(self) -> float:
        """Requests in a millisecond."""
        return self.requests / self.counted_ms


class HotKey(NamedTuple):
    """A finding: when it expires (s), and the requests over the whole fleet."""

    expires_at: float
    requests_per_s: float


class KeyQuery:
    """A query that isn't judged yet; it ends at a moment in seconds."""

    def __init__(self, key: int, ends_at: float, asked: list[int]) -> None:
        self.key = key
        self.ends_at = ends_at
        self.queried_peers = asked
        self.awaited = set(asked)
        self.replies: dict[int, KeyCount] = {}

    def counts(self) -> list[KeyCount]:
        """The answers in the order in which members were asked, so that a late one doesn't change the sum."""
        return [self.replies[member] for member in self.queried_peers if member in self.replies]


class HotKeyDetector:
    """Counts, queries and findings of one proxy; moments in seconds.

    `own_id` is this proxy's number; one warm endpoint can serve `endpoint_capacity_per_s` requests a
    second.
    """

    def __init__(  # noqa: PLR0913 -- proxy/server.py passes these by position
        self,
        own_id: int,
        incarnation: int,
        proxies: int,
        endpoint_capacity_per_s: float,
        now: float,
        rng: Random,
    ) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.proxies = proxies
        self.endpoint_capacity_per_s = endpoint_capacity_per_s
        self.rng = rng
        self.counts: list[dict[int, int]] = [{}, {}]  # requests by key, in the present window and before it
        self.windows_begun_at = [now, now]
        self.last_queried_at: dict[int, float] = {}  # by key
        self.queries: dict[int, KeyQuery] = {}  # by number
        self.hot_keys: dict[int, HotKey] = {}
        self.new_findings: list[int] = []  # keys that were found hot since the last call of `news`
        self.last_query_id = rng.getrandbits(40)
        self.next_round_at = now
        self.query_messages_sent = 0  # messages sent for queries
        self.findings_reported = 0  # findings that `news` has returned

    # Counts

    def record_request(self, now: float, key: int) -> None:
        """A request for a key has come."""
        if now >= self.windows_begun_at[0] + COUNTING_WINDOW_S:
            self.counts = [{}, self.counts[0]]
            self.windows_begun_at = [now, self.windows_begun_at[0]]
        present = self.counts[0]
        if key in present or len(present) < MAX_COUNTED_KEYS:
            present[key] = present.get(key, 0) + 1

    def count(self, key: int) -> int:
        """How often a key was asked for in both windows."""
        return self.counts[0].get(key, 0) + self.counts[1].get(key, 0)

    def _own_count(self, now: float, key: int) -> KeyCount:
        counted_ms = max(1, round(1000.0 * (now - self.windows_begun_at[1])))
        if now > self.windows_begun_at[0] + 2.0 * COUNTING_WINDOW_S:
            return KeyCount(0, counted_ms)  # windows end by requests: without any, the counts are too old
        return KeyCount(self.count(key), counted_ms)

    # Messages

    def _message(self, now: float, is_query: bool, correlation_id: int, key: int) -> KeyCountMessage:
        """A query or an answer, with our own count."""
        own = self._own_count(now, key)
        return KeyCountMessage(
            is_query, self.own_id, self.incarnation, correlation_id, key, own.requests, own.counted_ms
        )

    def on_message(self, now: float, message: KeyCountMessage) -> KeyCountMessage | None:
        """Takes a message; returns the answer to its sender, if any."""
        if message.is_query:
            return self._message(now, False, message.correlation_id, message.key)
        query = self.queries.get(message.correlation_id)
        if query is not None and query.key == message.key and message.sender in query.awaited:
            query.awaited.discard(message.sender)
            query.replies[message.sender] = KeyCount(message.requests, message.counted_ms)
        return None

    # Queries

    def wake(self, now: float, reachable: list[int]) -> tuple[list[tuple[int, KeyCountMessage]], float]:
        """Returns the queries to send, with whom to send each to, and when to be called again (s).

        `reachable`: the members that are likely to answer.
        """
        for query_id, query in list(self.queries.items()):
            if now >= query.ends_at or not query.awaited:
                del self.queries[query_id]
                self._decide(now, query.key, query.counts())
        self.hot_keys = {key: found for key, found in self.hot_keys.items() if found.expires_at > now}
        out: list[tuple[int, KeyCountMessage]] = []
        if now >= self.next_round_at:
            self.next_round_at = now + ROUND_INTERVAL_S * self.rng.uniform(0.9, 1.0)
            earliest = now - REQUERY_AFTER_S
            self.last_queried_at = {key: at for key, at in self.last_queried_at.items() if at > earliest}
            if len(reachable) >= MIN_ANSWERS:
                for key in self._keys_to_query()[:QUERIES_PER_ROUND]:
                    out += self._query(now, key, reachable)
        return out, min([self.next_round_at, *(query.ends_at for query in self.queries.values())])

    def _query(self, now: float, key: int, reachable: list[int]) -> list[tuple[int, KeyCountMessage]]:
        peers = self.rng.sample(reachable, min(PEERS_PER_QUERY, len(reachable)))
        self.last_query_id += 1
        self.last_queried_at[key] = now
        self.queries[self.last_query_id] = KeyQuery(key, now + ANSWER_TIMEOUT_S, peers)
        self.query_messages_sent += len(peers)
        message = self._message(now, True, self.last_query_id, key)
        return [(peer, message) for peer in peers]

    def _keys_to_query(self) -> list[int]:
        """Keys to ask about, those with most requests first."""
        often = [
            key
            for key in self.counts[0]
            if key not in self.last_queried_at and self.count(key) >= MIN_OWN_REQUESTS
        ]
        return sorted(often, key=lambda key: (-self.count(key), key))

    def _decide(self, now: float, key: int, answers: list[KeyCount]) -> None:
        """Judges a key by the counts of those that have answered."""
        if len(answers) < MIN_ANSWERS:
            return
        # Without the highest: that member may lie, or its clients alone want the key.
        answers.remove(max(answers, key=lambda reply: reply.per_ms))
        answers.append(self._own_count(now, key))
        seen = sum(reply.requests for reply in answers)
        rate_per_s = 1000.0 * self.proxies * sum(reply.per_ms for reply in answers) / len(answers)
        if seen < MIN_SEEN_REQUESTS or rate_per_s <= HOT_FRACTION * self.endpoint_capacity_per_s:
            return
        if key not in self.hot_keys:
            self.new_findings.append(key)
        self.hot_keys[key] = HotKey(now + HOT_LIFETIME_S, rate_per_s)

    def take_new_findings(self) -> list[tuple[int, float]]:
        """The keys found hot since the last call and still so, with requests a second over the fleet."""
        found = self.new_findings
        self.new_findings = []
        self.findings_reported += len(found)
        return [(key, self.hot_keys[key].requests_per_s) for key in found if key in self.hot_keys]
