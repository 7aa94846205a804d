"""Hot keys: keys that the whole fleet requests often, found by proxies that each see few requests for them.

A proxy that has seen MIN_OWN_REQUESTS requests for a key in its counting windows queries PEERS_PER_QUERY
members for the number of requests that they have seen for it, and the time in which they counted. It
estimates the rate of the whole fleet from the mean of the answers and its own count, leaving out the highest
answer. A key is hot if this rate exceeds HOT_FRACTION of the capacity of one endpoint, and the counts used
add up to at least MIN_SEEN_REQUESTS. A finding is reported to operators and has no effect on routing: the
router spreads a key by its own requests as well as it would by a finding. The module performs no I/O.

Steps of a query: the key is counted often enough -> queried -> decided when all members have answered, or
after ANSWER_TIMEOUT_S. States of a key: unknown -> hot (by a query) -> unknown (after HOT_LIFETIME_S, unless
another query confirms it).

Invariants:
- A member counts once in a query. The finding of another proxy is never adopted.
- One member that lies cannot make a key hot, and one that does not answer changes the estimate by its share
  of the answers.
- At most MAX_COUNTED_KEYS keys are counted in each window.
- A round sends at most QUERIES_PER_ROUND * PEERS_PER_QUERY messages, and none while no key is requested
  twice.

Time: a hot key is found ANSWER_TIMEOUT_S after its second request here, and ROUND_INTERVAL_S later for every
QUERIES_PER_ROUND keys that are queried before it. Relative error of the estimate: 1 / sqrt(requests counted),
so at most 1 / sqrt(MIN_SEEN_REQUESTS).
"""

from random import Random
from typing import NamedTuple

COUNTING_WINDOW_S = 20.0  # requests of the present window and of the one before it are counted
MIN_OWN_REQUESTS = 2  # fewest requests here for which a key is queried
MIN_SEEN_REQUESTS = 8  # fewest requests, over the counts used, by which a key can be hot
HOT_FRACTION = 0.3  # of the capacity of one endpoint
PEERS_PER_QUERY = 8
MIN_ANSWERS = 3
ANSWER_TIMEOUT_S = 0.3
ROUND_INTERVAL_S = 0.5
REQUERY_AFTER_S = 5.0  # shortest time between two queries for one key
HOT_LIFETIME_S = 15.0
QUERIES_PER_ROUND = 2
MAX_COUNTED_KEYS = 2000


class KeyCountMessage(NamedTuple):
    """A query for counts of a key, or an answer; sent as an array of these fields, in this order.

    Both contain the sender's own count.

    Attributes:
        is_query: whether this is a query.
        sender: number of the proxy that sends the message.
        incarnation: the sender's incarnation.
        correlation_id: identifier of the query, which its answers repeat.
        key: the key.
        requests: number of requests that the sender has counted for the key.
        counted_ms: the time in which it counted them.
    """

    is_query: bool
    sender: int
    incarnation: int
    correlation_id: int
    key: int
    requests: int
    counted_ms: int


class KeyCount(NamedTuple):
    """The number of requests for a key at one proxy, and the time in which they were counted."""

    requests: int
    counted_ms: int

    @property
    def per_ms(self) -> float:
        """Requests per millisecond."""
        return self.requests / self.counted_ms


class HotKey(NamedTuple):
    """A finding that a key is hot: when it expires (s), and the request rate over the whole fleet."""

    expires_at: float
    requests_per_s: float


class KeyQuery:
    """A query that is not decided yet; it ends at `ends_at` (s)."""

    def __init__(self, key: int, ends_at: float, queried_peers: list[int]) -> None:
        self.key = key
        self.ends_at = ends_at
        self.queried_peers = queried_peers
        self.awaited = set(queried_peers)
        self.replies: dict[int, KeyCount] = {}

    def counts(self) -> list[KeyCount]:
        """Returns the answers in the order in which the members were queried.

        The sum of floats then does not depend on the order in which the answers arrived.
        """
        return [self.replies[member] for member in self.queried_peers if member in self.replies]


class HotKeyDetector:
    """Counts, queries and findings of one proxy; points in time are in seconds.

    `proxy_number` is this proxy's number; a warm endpoint can serve `endpoint_capacity_per_s` requests per
    second.
    """

    def __init__(  # noqa: PLR0913 -- proxy/server.py passes these by position
        self,
        proxy_number: int,
        incarnation: int,
        proxies: int,
        endpoint_capacity_per_s: float,
        now: float,
        random_generator: Random,
    ) -> None:
        self.proxy_number = proxy_number
        self.incarnation = incarnation
        self.proxies = proxies
        self.endpoint_capacity_per_s = endpoint_capacity_per_s
        self.random_generator = random_generator
        self.counts: list[dict[int, int]] = [{}, {}]  # requests by key, in the present window and before it
        self.windows_started_at = [now, now]
        self.last_queried_at: dict[int, float] = {}  # by key
        self.queries: dict[int, KeyQuery] = {}  # by identifier
        self.hot_keys: dict[int, HotKey] = {}
        self.new_findings: list[int] = []  # keys found hot since the last call of `take_new_findings`
        self.last_query_id = random_generator.getrandbits(40)
        self.next_round_at = now
        self.query_messages_sent = 0
        self.findings_reported = 0  # keys taken by `take_new_findings`

    # Counts

    def record_request(self, now: float, key: int) -> None:
        """Counts a request for a key."""
        if now >= self.windows_started_at[0] + COUNTING_WINDOW_S:
            self.counts = [{}, self.counts[0]]
            self.windows_started_at = [now, self.windows_started_at[0]]
        present = self.counts[0]
        if key in present or len(present) < MAX_COUNTED_KEYS:
            present[key] = present.get(key, 0) + 1

    def count(self, key: int) -> int:
        """Returns the number of requests for a key in both windows."""
        return self.counts[0].get(key, 0) + self.counts[1].get(key, 0)

    def _own_count(self, now: float, key: int) -> KeyCount:
        counted_ms = max(1, round(1000.0 * (now - self.windows_started_at[1])))
        if now > self.windows_started_at[0] + 2.0 * COUNTING_WINDOW_S:
            # Only a request starts a new window, so without any the counts are too old.
            return KeyCount(0, counted_ms)
        return KeyCount(self.count(key), counted_ms)

    # Messages

    def _message(self, now: float, is_query: bool, correlation_id: int, key: int) -> KeyCountMessage:
        """Returns a query or an answer, with this proxy's own count."""
        own_count = self._own_count(now, key)
        return KeyCountMessage(
            is_query,
            self.proxy_number,
            self.incarnation,
            correlation_id,
            key,
            own_count.requests,
            own_count.counted_ms,
        )

    def on_message(self, now: float, message: KeyCountMessage) -> KeyCountMessage | None:
        """Handles a message; returns the answer to its sender, if any."""
        if message.is_query:
            return self._message(now, False, message.correlation_id, message.key)
        query = self.queries.get(message.correlation_id)
        if query is not None and query.key == message.key and message.sender in query.awaited:
            query.awaited.discard(message.sender)
            query.replies[message.sender] = KeyCount(message.requests, message.counted_ms)
        return None

    # Queries

    def wake(self, now: float, reachable: list[int]) -> tuple[list[tuple[int, KeyCountMessage]], float]:
        """Returns the messages to send, each with its receiver, and the time of the next call (s).

        `reachable` are the members that are likely to answer.
        """
        for query_id, query in list(self.queries.items()):
            if now >= query.ends_at or not query.awaited:
                del self.queries[query_id]
                self._decide(now, query.key, query.counts())
        self.hot_keys = {key: finding for key, finding in self.hot_keys.items() if finding.expires_at > now}
        messages: list[tuple[int, KeyCountMessage]] = []
        if now >= self.next_round_at:
            self.next_round_at = now + ROUND_INTERVAL_S * self.random_generator.uniform(0.9, 1.0)
            earliest = now - REQUERY_AFTER_S
            self.last_queried_at = {key: at for key, at in self.last_queried_at.items() if at > earliest}
            if len(reachable) >= MIN_ANSWERS:
                for key in self._keys_to_query()[:QUERIES_PER_ROUND]:
                    messages += self._query(now, key, reachable)
        return messages, min([self.next_round_at, *(query.ends_at for query in self.queries.values())])

    def _query(self, now: float, key: int, reachable: list[int]) -> list[tuple[int, KeyCountMessage]]:
        peers = self.random_generator.sample(reachable, min(PEERS_PER_QUERY, len(reachable)))
        self.last_query_id += 1
        self.last_queried_at[key] = now
        self.queries[self.last_query_id] = KeyQuery(key, now + ANSWER_TIMEOUT_S, peers)
        self.query_messages_sent += len(peers)
        message = self._message(now, True, self.last_query_id, key)
        return [(peer, message) for peer in peers]

    def _keys_to_query(self) -> list[int]:
        """Returns the keys to query, those with the most requests first."""
        candidates = [
            key
            for key in self.counts[0]
            if key not in self.last_queried_at and self.count(key) >= MIN_OWN_REQUESTS
        ]
        return sorted(candidates, key=lambda key: (-self.count(key), key))

    def _decide(self, now: float, key: int, answers: list[KeyCount]) -> None:
        """Decides whether a key is hot, by the answers to a query."""
        if len(answers) < MIN_ANSWERS:
            return
        # Leaves out the highest answer: that member may lie, or only its clients may use the key.
        answers.remove(max(answers, key=lambda reply: reply.per_ms))
        answers.append(self._own_count(now, key))
        request_count = sum(reply.requests for reply in answers)
        rate_per_s = 1000.0 * self.proxies * sum(reply.per_ms for reply in answers) / len(answers)
        if request_count < MIN_SEEN_REQUESTS or rate_per_s <= HOT_FRACTION * self.endpoint_capacity_per_s:
            return
        if key not in self.hot_keys:
            self.new_findings.append(key)
        self.hot_keys[key] = HotKey(now + HOT_LIFETIME_S, rate_per_s)

    def take_new_findings(self) -> list[tuple[int, float]]:
        """Returns the keys found hot since the last call that still are, and their fleet rates (1/s)."""
        keys = self.new_findings
        self.new_findings = []
        self.findings_reported += len(keys)
        return [(key, self.hot_keys[key].requests_per_s) for key in keys if key in self.hot_keys]
