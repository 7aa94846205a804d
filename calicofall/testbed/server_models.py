"""Models of the discovery service, the cache nodes and the origin, written from the published protocol.

A model decides what its server does and when. Times (s) come in, and results go out with the time at which
they are due: the emulated servers and the simulations carry them out.

Invariants:
    No socket and no clock is touched here.
"""

from bisect import bisect_right, insort
from collections import OrderedDict, deque
from heapq import heapify, heapreplace
from typing import Any, NamedTuple

BURST_S = 0.5  # the discovery service begins up to the watches of this time at once


class DiscoveryModel:
    """A discovery service with a limited rate of new watches and a limited number of open ones.

    Args:
        watches_per_s: Watches that can begin in a second.
        max_open: Watches that can be open at a time.
        retry_after_s: Retry-After of a refusal (s); None: refusals have none.
        queue: Watches beyond the rate that are queued; more are refused.
    """

    def __init__(
        self, watches_per_s: float, max_open: int, retry_after_s: int | None = None, queue: int = 0
    ) -> None:
        self.watches_per_s = watches_per_s
        self.max_open = max_open
        self.retry_after_s = retry_after_s
        self.queue = queue
        self.entries: dict[str, dict[str, Any]] = {}
        self.index = 0
        self.changes: list[tuple[int, dict[str, Any]]] = []  # version of the list, entry
        self.tokens = max(1.0, watches_per_s * BURST_S)
        self.tokens_at = 0.0  # when the tokens were last counted (s)
        self.open = 0
        self.event_delay_s = 0.0  # of all list events

    def put(self, entry: dict[str, Any]) -> int:
        """Publish an entry that has changed, and return the new version of the list."""
        self.index += 1
        self.changes.append((self.index, entry))
        if entry["status"] == "DELETED":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        return self.index

    def request_watch(self, now: float) -> float | None:
        """Return when a watch that is requested now begins (s); None: it is refused."""
        burst = max(1.0, self.watches_per_s * BURST_S)
        self.tokens = min(burst, self.tokens + (now - self.tokens_at) * self.watches_per_s)
        self.tokens_at = now
        if self.open >= self.max_open or self.tokens < 1.0 - self.queue:
            return None
        self.tokens -= 1.0
        self.open += 1
        return now if self.tokens >= 0.0 else now - self.tokens / self.watches_per_s

    def ended(self) -> None:
        """Count a watch that has ended."""
        self.open -= 1

    def since(self, index: int | None) -> dict[str, Any]:
        """Return the first event of a watch from a version on: the changes since, or the complete list."""
        first = self.changes[0][0] - 1 if self.changes else self.index
        if index is None or not first <= index <= self.index:
            return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
        changed = {entry["name"]: entry for at, entry in self.changes if at > index}
        return {"index": self.index, "snapshot": False, "endpoints": list(changed.values())}

    def restart(self, index: int) -> None:
        """Restart with versions counted from `index`: the entries stay, the changes before are forgotten."""
        self.index = index
        self.changes = []
        self.open = 0


class OriginModel:
    """An origin that serves `limit` fetches at a time, each for `fetch_s` seconds; more wait.

    Fetches may be requested for moments to come, in any order: one that a slow cache node requests for later
    delays no fetch that begins before it.
    """

    def __init__(self, limit: int, fetch_s: float) -> None:
        self.limit = limit
        self.fetch_s = fetch_s
        self.begins: list[float] = []  # s, sorted
        self.ends: list[float] = []  # s, sorted
        self.fetches: list[tuple[float, float]] = []  # when requested and when done (s)

    def fetch(self, at: float) -> float:
        """Return when a fetch that is requested at a moment is done (s)."""
        begin = at
        while True:
            finished = bisect_right(self.ends, begin)
            if bisect_right(self.begins, begin) - finished < self.limit:
                break
            begin = self.ends[finished]
        insort(self.begins, begin)
        insort(self.ends, begin + self.fetch_s)
        self.fetches.append((at, begin + self.fetch_s))
        return begin + self.fetch_s


class ModelAnswer(NamedTuple):
    """The result of a command at a cache node: a value at a time, or BUSY where it was not executed."""

    at: float  # s
    executed: bool
    cache_status: str | None = None  # of a read: hit, miss or pending


class CacheModel:
    """A cache node with request slots, a queue, a connection limit, memory and a warm-up.

    After a start with an empty cache it has a fraction of its speed, which grows to all of it over the
    warm-up. If it is sent too many requests while it warms up, it collapses and is down for a time.

    Args:
        origin: The origin that misses and writes go to.
        slots: Requests that are executed at a time.
        queue: Requests that wait; more are rejected.
        connections: Connections that can be open.
        handshake: Time that a new connection occupies a slot (s).
        hit: Time that a request occupies a slot (s).
        keys: Keys that fit into memory.
        cold_share: Fraction of the speed at the start of the warm-up.
        cold: Duration of the warm-up (s).
        fall: The node collapses when it is sent more than so many times its current capacity.
        fall_span: For so long (s); the node is then down for as long.
    """

    def __init__(  # noqa: PLR0913 - each of a node's parameters is set by scenarios on its own
        self,
        origin: OriginModel,
        slots: int,
        queue: int,
        connections: int,
        handshake: float,
        hit: float,
        keys: int,
        cold_share: float,
        cold: float,
        fall: float,
        fall_span: float,
    ) -> None:
        self.origin = origin
        self.slots = slots
        self.queue = queue
        self.connections = connections
        self.handshake_s = handshake
        self.hit_s = hit
        self.max_keys = keys
        self.cold_share = cold_share
        self.warm_up_s = cold
        self.collapse_factor = fall
        self.collapse_s = fall_span
        self.slot_free_at = [0.0] * slots  # heap: when each slot is free (s)
        self.stored_keys: OrderedDict[str, None] = OrderedDict()  # least recently used first
        self.fetch_done_at: dict[str, float] = {}  # by key (s)
        self.ends: deque[float] = deque()  # of requests in flight (s), sorted
        self.open = 0
        self.began: float | None = None  # last start with an empty cache (s)
        self.down_until = 0.0
        self.command_times: deque[float] = deque()  # when commands came over the last `collapse_s` (s)
        self.collapses: list[float] = []
        self.slowdown = 1.0  # factor on the time that a request or handshake occupies a slot
        # Factor on the time of large answers. The additional time passes in transfer, without a slot in use.
        self.large_answer_slowdown = 1.0

    def start(self, now: float) -> None:
        """Start with an empty cache."""
        self.began = now
        self.stored_keys.clear()
        self.fetch_done_at.clear()
        self.slot_free_at = [now] * self.slots
        heapify(self.slot_free_at)

    def speed(self, now: float) -> float:
        """Return the share of the warm speed that the node has now."""
        if self.began is None:
            return 1.0
        age = (now - self.began) / self.warm_up_s
        return min(1.0, self.cold_share + (1.0 - self.cold_share) * max(0.0, age))

    def capacity(self, now: float) -> float:
        """Return how many requests a second the node can serve now."""
        return self.slots / self.hit_s * self.speed(now)

    def _work(self, now: float, span: float) -> float:
        """Occupy the slot that is free first, and return when its work is done."""
        done = max(now, self.slot_free_at[0]) + span * self.slowdown / self.speed(now)
        heapreplace(self.slot_free_at, done)
        return done

    def handshake(self, now: float) -> float | None:
        """Return when a new connection is established (s); None: the table is full or the node is down."""
        if self.open >= self.connections or now < self.down_until:
            return None
        self.open += 1
        return self._work(now, self.handshake_s)

    def ended(self) -> None:
        """Count a connection that was closed."""
        self.open -= 1

    def command(self, now: float, key: str, write: bool, large: bool = False) -> ModelAnswer:
        """Execute or reject a command that has arrived completely; `large`: whether its answer is large."""
        self._collapse_if_overloaded(now)
        while self.ends and self.ends[0] <= now:
            self.ends.popleft()
        if now < self.down_until or len(self.ends) >= self.slots + self.queue:
            return ModelAnswer(now, False)
        done, cache_status = self._execute(now, key, write)
        if large and not write:
            done += (self.large_answer_slowdown - 1.0) * self.hit_s
        self.ends.append(done)
        if len(self.ends) > 1 and self.ends[-2] > done:
            self.ends = deque(sorted(self.ends))
        return ModelAnswer(done, True, cache_status)

    def _execute(self, now: float, key: str, write: bool) -> tuple[float, str | None]:
        """Return when a command is done, and whether a read was a hit."""
        done = self._work(now, self.hit_s)
        if write:
            written = self.origin.fetch(done)
            self.stored_keys.pop(key, None)
            return written, None
        if self.fetch_done_at.get(key, 0.0) > now:
            return max(done, self.fetch_done_at[key]), "pending"
        if key not in self.stored_keys:
            fetched = self.origin.fetch(done)
            self.fetch_done_at[key] = fetched
            self.store(key)
            return fetched, "miss"
        self.stored_keys.move_to_end(key)
        return done, "hit"

    def report(self, now: float) -> bytes:
        """Return the load report sent with an answer: requests in flight, requests a second it can serve."""
        return b"pending=%d,served_ps=%d" % (sum(end > now for end in self.ends), self.capacity(now))

    def store(self, key: str) -> None:
        """Store a key, and evict the least recently used one where memory is full."""
        self.stored_keys[key] = None
        if len(self.stored_keys) > self.max_keys:
            self.stored_keys.popitem(last=False)

    def _collapse_if_overloaded(self, now: float) -> None:
        """Count a command, and collapse if too many came while the node warms up."""
        self.command_times.append(now)
        while self.command_times and self.command_times[0] < now - self.collapse_s:
            self.command_times.popleft()
        cold = self.began is not None and now - self.began < self.warm_up_s
        overloaded = len(self.command_times) > self.collapse_factor * self.capacity(now) * self.collapse_s
        if cold and overloaded and now >= self.down_until:
            self.down_until = now + self.collapse_s
            self.collapses.append(now)
            self.start(self.down_until)
