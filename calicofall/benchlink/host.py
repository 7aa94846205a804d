"""Holds the timers and the RPCs in hand of each instance, asks the module, and decides nothing itself."""

from collections.abc import Callable
from typing import Any, BinaryIO

from calicofall.benchlink.codec import (
    LISTS,
    NOTES,
    NS,
    OUTCOMES,
    Malformed,
    deployment,
    encode,
    entry,
    ns,
    parse,
)
from calicofall.policy import Policy
from calicofall.rpc import Rpc

REVIEW = 0  # the token of the module's own timer; RPCs that wait have tokens from 1 on


class Proxy:
    """One instance: its module, its RPCs, its timers."""

    def __init__(self, number: int, nonce: int, settings: dict, now: float, out: list[bytes]) -> None:
        self.number, self.out = number, out
        self.policy = Policy(deployment(settings), nonce, now)
        self.hand: dict[str, Rpc] = {}
        self.waiting: dict[int, Rpc] = {}
        self.tokens = REVIEW
        self.review_at = float("inf")

    def put(self, name: str, *values: Any) -> None:
        self.out.append(encode([name, self.number, *values]))

    def act(self, now: float, rpc: Rpc, verdict: tuple | None) -> None:
        if verdict is None:
            return
        what = verdict[0]
        if what == "send":
            self.put("PassOn", rpc.id, verdict[1], ns(verdict[2]))
        elif what == "wait":
            self.tokens += 1
            self.waiting[self.tokens] = rpc
            self.put("Remind", ns(verdict[1]), self.tokens)
        else:
            rpc.over = True
            if what == "exhausted":
                self.put("NotNow", rpc.id, ns(verdict[1]))
            else:
                self.put("Surrender", rpc.id)
            self.drop(rpc)

    def drop(self, rpc: Rpc) -> None:
        if rpc.over and all(tx.outcome for tx in rpc.sent):
            self.hand.pop(rpc.id, None)

    def knock(self, now: float, corr: str, method: str, until: int, bits: int, tenant: str | None,
              _size: Any, _work: Any, key: int | None) -> None:
        rpc = Rpc(corr, method, tenant, key, bool(bits & 4), now, until / NS, bool(bits & 2))
        self.hand[corr] = rpc
        self.act(now, rpc, self.policy.where(now, rpc))

    def reply(self, now: float, corr: str, go: int, _node: str, rc: int, took: int, complete: bool,
              info: int | None, stats: Any) -> None:
        rpc = self.hand.get(corr)
        if rpc is None or go >= len(rpc.sent) or rpc.sent[go].outcome:
            return
        rpc.sent[go].outcome = OUTCOMES.get(rc, "error")
        rpc.over = rpc.over or complete
        verdict = self.policy.after(now, rpc, go, took / NS, NOTES.get(info or 0), stats)
        if not rpc.over:
            self.act(now, rpc, verdict)
        self.drop(rpc)

    def ackfirst(self, now: float, corr: str, _go: int, _node: str, _took: int) -> None:
        if corr in self.hand:
            self.hand[corr].bound = True

    def lapsed(self, now: float, corr: str) -> None:
        rpc = self.hand.get(corr)
        if rpc is None or rpc.over:
            return
        rpc.over = True
        for number in self.policy.left(now, rpc):
            self.put("Recall", corr, number)
        self.drop(rpc)

    def registry(self, now: float, kind: int, serial: int | None, lines: list | None) -> None:
        self.policy.listed(now, LISTS.get(kind, "delta"), serial, [entry(line) for line in lines or []])

    def timeoutfired(self, now: float, ctx: int) -> None:
        if ctx == REVIEW:
            self.review_at = float("inf")
            return
        rpc = self.waiting.pop(ctx, None)
        if rpc is not None and not rpc.over:
            self.act(now, rpc, self.policy.where(now, rpc))

    def probedone(self, now: float, node: str, took: int, rc: int, _stats: Any) -> None:
        self.policy.probed(now, node, rc == 0, took / NS)

    def mail(self, now: float, _peer: int, _payload: str) -> None:
        """Peers share nothing here."""

    def settle(self, now: float) -> None:
        """After a batch: the module's errands, and its own timer."""
        wait, errands = self.policy.wait(now)
        for errand, *values in errands:
            if errand == "log":
                self.put("Print", *values)
            elif errand == "follow":
                self.put("Watch", True)
            elif errand == "close":
                self.put("LetGo", *values)
            elif errand == "list":
                self.put("GetList")
            elif errand == "probe":
                self.put("Ping", *values)
        if now + wait < self.review_at - 1:
            self.review_at = now + wait
            self.put("Remind", ns(wait), REVIEW)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    proxies: dict[int, Proxy] = {}
    touched: dict[int, Proxy] = {}
    out: list[bytes] = []
    now = 0.0
    calls: dict[str, Callable] = {
        "Knock": Proxy.knock, "Reply": Proxy.reply, "AckFirst": Proxy.ackfirst, "Lapsed": Proxy.lapsed,
        "Registry": Proxy.registry, "TimeoutFired": Proxy.timeoutfired, "ProbeDone": Proxy.probedone,
        "Mail": Proxy.mail}
    for count, line in enumerate(source, 1):
        if not line.strip():
            continue
        name, *values = parse(line, count)
        if name == "Flush":
            for number, proxy in touched.items():
                guard(out, number, proxy.settle, now)
            touched.clear()
            sink.write(b"\n".join([*out, b'["Done"]\n']))
            sink.flush()
            out.clear()
            continue
        try:
            if name == "BeginBatch":
                now = values[0] / NS
                continue
            number = values[0]
            if name == "Begin":
                guard(out, number, lambda v=values, t=now: proxies.__setitem__(
                    v[0], Proxy(v[0], v[1], v[2], t, out)))
                if number in proxies:
                    touched[number] = proxies[number]
                continue
            if name == "Down":
                proxies.pop(number, None)
                touched.pop(number, None)
                continue
            call = calls.get(name)
            if call is None:
                raise Malformed(f"line {count}: unknown event {name}")
            proxy = proxies[number]
        except (IndexError, KeyError, TypeError) as fault:
            raise Malformed(f"line {count}: {name}: {fault!r}") from None
        needed = call.__code__.co_argcount - 2
        given = values[1:needed + 1] + [None] * (needed + 1 - len(values))
        touched[number] = proxy
        guard(out, number, call, proxy, now, *given)


def guard(out: list[bytes], number: int, call: Callable, *values: Any) -> None:
    """An exception in one instance's decisions goes to the bench in the wire's own message for it."""
    try:
        call(*values)
    except Exception as fault:
        frame = fault.__traceback__
        while frame and frame.tb_next:
            frame = frame.tb_next
        place = f"{frame.tb_frame.f_code.co_name}:{frame.tb_lineno}" if frame else ""
        out.append(encode(["Exception", number, f"{type(fault).__name__}: {fault} at {place}"]))
