"""What the tests share: deployments, RPCs, carrying out a verdict, a proxy on fake transports and time."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.proxy import resp
from calicofall.proxy.server import Proxy
from calicofall.routing.decisions import Decision, Fail, Reject
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.request import Request

numbers = count()


def fleet(aside: bool = False, proxies: int = 1, **changes: object) -> dict:
    read = {
        "name": "read",
        "repeats": "retriable",
        "gain": 1.0,
        "group": "all",
        "soft_deadline": 500.0,
        "hard_deadline": 2000.0,
        "late_gain": 0.0,
        "window": 5000.0,
        "streaming": False,
    }
    save = read | {"name": "save", "repeats": "deduped", "gain": 3.0}
    order = read | {"name": "order", "repeats": "non-retriable", "gain": 8.0}
    return {
        "proxies": proxies,
        "me": 0,
        "methods": [read, save, order],
        "tenants": [],
        "kinds": ["box", "origin"],
        "discovery": "push",
        "over_share_gain": 0.1,
        "data": {"mode": "aside" if aside else "through", "origin_kind": 1 if aside else -1},
        "caps": {"most_transmissions": 4, "cancel": True, "retry_after": True, "max_retry_after": 2000.0},
        "rules": {
            "cold_share": 0.2,
            "cold": 20_000.0,
            "fall_multiple": 3.0,
            "fall": 3000.0,
            "drain_grace": 250.0,
            "ask_every": 10_000.0,
            "answer_slack": 20.0,
        },
    } | changes


def rpc_for(
    method: str, key: int | None = 7, arrived: float = 0.0, until: float = 1000.0, tenant: str | None = None
) -> Request:
    return Request(f"{next(numbers):016x}", method, tenant, key, method != "read", arrived, until)


def send(policy: RoutingPolicy, now: float, rpc: Request) -> Decision | None:
    verdict = policy.decide(now, rpc)
    if isinstance(verdict, Reject | Fail):
        rpc.finished = True
    return verdict


class Loop:
    """An event loop's clock and calls, moved on by hand."""

    def __init__(self) -> None:
        self.clock, self.calls, self.number = 1000.0, [], 0
        self.opened: list[tuple] = []  # connections asked for: (stream, place)

    def time(self) -> float:
        return self.clock

    def call_at(self, when: float, call: Callable, *values: object) -> "Loop.Handle":
        self.number += 1
        handle = Loop.Handle(when, self.number, call, values)
        self.calls.append(handle)
        return handle

    def call_later(self, wait: float, call: Callable, *values: object) -> "Loop.Handle":
        return self.call_at(self.clock + wait, call, *values)

    def call_soon(self, call: Callable, *values: object) -> "Loop.Handle":
        return self.call_at(self.clock, call, *values)

    def create_future(self) -> "Loop.Future":
        return Loop.Future()

    def open(self, _loop: object, stream: object, place: tuple, _patience: float) -> None:
        self.opened.append((stream, place))

    def run(self, span: float = 0.0) -> None:
        """Moves the clock on by `span` seconds, with all that comes due."""
        end = self.clock + span
        self.calls = [h for h in self.calls if not h.off]
        while due := [h for h in self.calls if h.when <= end and not h.off]:
            first = min(due, key=lambda h: (h.when, h.number))
            self.calls.remove(first)
            self.clock = max(self.clock, first.when)
            first.call(*first.values)
        self.clock = end

    @dataclass
    class Handle:
        when: float
        number: int
        call: Callable
        values: tuple
        off: bool = False

        def cancel(self) -> None:
            self.off = True

    class Future:
        def __init__(self) -> None:
            self.result: object = self

        def done(self) -> bool:
            return self.result is not self

        def set_result(self, result: object) -> None:
            self.result = result


class Wire:
    """A transport that keeps what it is given; a full one takes `room` bytes and holds the rest back."""

    def __init__(self, stream: object, room: int | None = None) -> None:
        self.stream, self.room, self.sent, self.open, self.paused = stream, room, b"", True, False
        self.ended = False  # shut for writing: the peer has been told of the end behind the last byte
        stream.connection_made(self)

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def write(self, data: bytes) -> None:
        assert not self.ended
        self.sent += data
        if self.room is not None and len(self.sent) > self.room:
            self.stream.pause_writing()

    def write_eof(self) -> None:
        assert not self.ended
        self.ended = True

    def get_extra_info(self, _name: str) -> None:
        return None

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def abort(self) -> None:
        if self.open:
            self.open = False
            self.stream.connection_lost(None)

    close = abort

    def feed(self, data: bytes) -> None:
        while data:
            room = self.stream.get_buffer(-1)
            part = min(len(room), len(data))
            room[:part] = data[:part]
            self.stream.buffer_updated(part)
            data = data[part:]

    def take(self) -> bytes:
        data, self.sent = self.sent, b""
        return data

    def end(self) -> None:
        """The peer sees the end of what is sent to it, and ends, too."""
        assert self.ended and self.open
        self.stream.eof_received()


SETTINGS = {
    "balancers": 2,
    "me": 0,
    "kinds": ["box"],
    "discovery": "push",
    "overageGain": 0.1,
    "methods": [
        {
            "name": name,
            "effect": effect,
            "gain": 1.0,
            "group": "all",
            "softDeadlineNs": 500_000_000,
            "hardDeadlineNs": 2_000_000_000,
            "tardyGain": 0.0,
            "windowNs": 5_000_000_000,
            "streaming": False,
        }
        for name, effect in (("read", "pure"), ("save", "token"), ("order", "side_effect"))
    ],
    "realms": [{"name": "acme", "quotaPerS": 500.0, "share": 1.0}],
    "domain": {"mode": "through"},
    "caps": {
        "mostTransmissions": 4,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfterNs": 2_000_000_000,
        "streamsPerConn": 8,
        "dialTimeoutNs": 200_000_000,
        "connIdleNs": 30_000_000_000,
    },
    "rules": {
        "startCapacity": 0.2,
        "coldNs": 20_000_000_000,
        "fallMultiple": 3.0,
        "fallNs": 3_000_000_000,
        "drainGraceNs": 250_000_000,
        "askEveryNs": 10_000_000_000,
        "answerSlackNs": 20_000_000,
    },
}

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def endpoint(name: str, status: str = "SERVING", address: str | None = None) -> dict:
    return {
        "name": name,
        "address": address or f"10.1.0.{name[1:]}:6379",
        "zone": "a",
        "type": "box",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }


class Air:
    """A datagram transport."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, _place: tuple) -> None:
        self.sent.append(data)

    def is_closing(self) -> bool:
        return False


class Desk:
    """A proxy on a loop and transports that are moved by hand."""

    @staticmethod
    def node(caches: int = 3, sockets: int = 1024, **settings: object) -> dict:
        known = {"index": 1, "snapshot": True, "endpoints": [endpoint(f"c{i}") for i in range(1, caches + 1)]}
        return {
            "name": "n0",
            "listen": "10.0.0.4:6379",
            "discovery": "10.2.0.1:8500",
            "known": known,
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets},
            "settings": SETTINGS | settings,
        }

    def __init__(self, caches: int = 3, sockets: int = 1024, ahead: bool = False, **settings: object) -> None:
        self.loop = Loop()
        self.proxy = Proxy(self.node(caches, sockets, **settings), self.loop, self.loop.open)
        self.proxy.listener = type("Door", (), {"close": lambda self: None})()
        if not ahead:  # most tests look at one connection
            self.proxy.upstreams.preconnect_enabled = False
            self.proxy.upstreams.close()
            self.loop.opened.clear()

    def spacious(self) -> "Desk":
        """The module's limits are far off."""
        for limit in (self.proxy.router.policy.fleet, self.proxy.router.policy.origin):
            limit.value, limit.spare = 1000.0, 2_000_000.0
        return self

    def client(self, room: int | None = None) -> Wire | None:
        return Wire(self.proxy.clients.add_client(), room) if self.proxy.clients.ensure_capacity() else None

    def line(self, number: int = -1, room: int | None = None) -> Wire:
        """A connection to a cache that was asked for comes up."""
        return Wire(self.loop.opened[number][0], room)

    def sigterm(self) -> None:
        self.loop.add_signal_handler = lambda *_: None
        self.proxy.terminate()

    def list(self, *endpoints: dict, index: int = 2) -> None:
        self.proxy.on_list_event(
            *parse_endpoint_list({"index": index, "snapshot": False, "endpoints": list(endpoints)})
        )


def ask(method: str = "read", key: int = 7, patience: str = "900", value: bytes = b"v") -> bytes:
    pairs = f"c={method},t=acme,d={patience}".encode()
    parts = [b"%016x" % key, b"%016x" % next(numbers), pairs if method == "read" else pairs + b",k=5c0f"]
    return resp.encode_command([b"C.GET", *parts] if method == "read" else [b"C.SET", *parts, value])


def reply(value: bytes = b"fresh", note: bytes | None = b"hit") -> bytes:
    return b"*3\r\n" + resp.encode_bulk(value) + (resp.encode_bulk(note) if note else b"$-1\r\n") + b"$-1\r\n"
