"""The decision module as a small blocking library: pick, report, tick.

Owns the RPCs in hand, the waits, and what is known of clients that left. Must never decide anything, know a
socket, or let a caller see the module's verdicts: a call returns the cache that an RPC goes to now, or None.
An RPC that has had its final answer carries it in `rpc.answer`; one with neither is held.
"""

from heapq import heappop, heappush

from calicofall.policy import Policy
from calicofall.rpc import Rpc
from calicofall.start import snapshot

FETCH = "fetch"  # the usual time of a fetch, among those of methods
SLACK = 0.01  # ms; a wait that ends within it has ended


class Router:
    def __init__(self, deployment: dict, seed: int, now: float) -> None:
        self.policy = Policy(deployment, seed, now)
        self.listed, self.heard, self.avoided = self.policy.listed, self.policy.heard, self.policy.avoided
        self.hand: dict[str, Rpc] = {}
        self.waits: list[tuple[float, int, Rpc]] = []
        self.count = 0
        self.lines: list[str] = []  # what the module has to say, for the log
        self.chores: list[tuple] = []  # ("close", cache), ("follow",) and the like, for the caller

    def pick(self, now: float, rpc: Rpc) -> str | None:
        """Takes an RPC in hand, or looks again at one whose wait has ended: the cache to send it to now."""
        self.hand[rpc.id] = rpc
        return self._carry(now, rpc, self.policy.where(now, rpc))

    def report(self, now: float, rpc: Rpc, number: int, outcome: str, took: float, note: str | None = None,
               load: object = None, over: bool = False) -> str | None:
        """What became of a transmission: the cache to send the RPC to next."""
        rpc.sent[number].outcome = outcome
        if outcome == "completed" and not rpc.over:
            rpc.answer = "completed"
        rpc.over = rpc.over or over or outcome == "completed"
        verdict = self.policy.after(now, rpc, number, took, note, load)
        cache = None if rpc.over else self._carry(now, rpc, verdict)
        self._drop(rpc)
        return cache

    def begun(self, now: float, rpc: Rpc, number: int) -> None:
        """The answer of a transmission has begun to be passed on: the RPC is bound to it."""
        rpc.bound, rpc.sent[number].outcome = True, "begun"
        self.policy.after(now, rpc, number, 0.0, None, None)
        rpc.sent[number].outcome = None  # still to come

    def left(self, now: float, rpc: Rpc) -> list[int]:
        """The client has left: the numbers of the transmissions to call off."""
        if rpc.over:
            return []
        rpc.over = True
        off = self.policy.left(now, rpc)
        self._drop(rpc)
        return off

    def woken(self, now: float) -> Rpc | None:
        """The first RPC whose wait has ended: to be picked for again."""
        while self.waits and self.waits[0][0] <= now + SLACK:
            rpc = heappop(self.waits)[2]
            if not rpc.over:
                return rpc
        return None

    def shared(self, parts: int) -> None:
        """How many processes this proxy has now, each with one such part."""
        self.policy.parts = parts

    def learned(self, now: float) -> dict[str, dict[str, float]]:
        """What this life has found out: limits, usual times (ms), parts of set-aside caches."""
        policy = self.policy
        usual = {name: value for name, value in policy.typical.items() if name and value}
        return {"limits": {"fleet": policy.fleet.value, "origin": policy.origin.value},
                "usual": usual | {FETCH: policy.fetch_usual},
                "parts": {c.name: c.trickle(now) for c in policy.caches.values() if c.trickle(now) < 1.0}}

    def relearn(self, now: float, learned: dict[str, dict[str, float]]) -> None:
        """Begins from what a former life found out, as start/snapshot.py lets it count."""
        if not learned:
            return
        policy, held = self.policy, snapshot.usable(learned, set(self.policy.caches))
        for name, limit in (("fleet", policy.fleet), ("origin", policy.origin)):
            limit.value = max(limit.value, held["limits"].get(name, 0.0))
        policy.fetch_usual = held["usual"].get(FETCH, policy.fetch_usual)
        usual = held["usual"].items()
        policy.typical.update({name: value for name, value in usual if name in policy.typical})
        for name, part in held["parts"].items():
            cache = policy.caches[name]
            cache.part, cache.part_at, cache.aside = part, now, part <= 0.25

    def settled(self) -> bool:
        """Whether the limits rest on usual times that were measured."""
        return any(self.policy.typical.values())

    def tick(self, now: float) -> float:
        """After what happened at one time: gathers lines and chores; ms until the next tick."""
        wait, errands = self.policy.wait(now)
        for errand in errands:
            if errand[0] == "log":
                self.lines.append(errand[1])
            else:
                self.chores.append(errand)
        return min(wait, max(0.0, self.waits[0][0] - now)) if self.waits else wait

    def _carry(self, now: float, rpc: Rpc, verdict: tuple | None) -> str | None:
        if verdict is None:
            return None
        what = verdict[0]
        if what == "send":
            rpc.time_out = verdict[2]
            if len(verdict) > 3:
                self._hold(now, rpc, verdict[3])
            return verdict[1]
        if what == "wait":
            self._hold(now, rpc, verdict[1])
            return None
        rpc.over, rpc.answer = True, what
        rpc.come_back = verdict[1] if what == "exhausted" else 0.0
        self._drop(rpc)
        return None

    def _hold(self, now: float, rpc: Rpc, wait: float) -> None:
        self.count += 1
        heappush(self.waits, (now + wait, self.count, rpc))

    def _drop(self, rpc: Rpc) -> None:
        if rpc.over and all(tx.outcome for tx in rpc.sent):
            self.hand.pop(rpc.id, None)
