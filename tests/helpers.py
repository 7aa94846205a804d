"""Shared test helpers: deployment settings, requests, and a proxy on a fake loop and fake transports."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.proxy import resp
from calicofall.proxy.server import Proxy
from calicofall.routing.decisions import Decision, Fail, Reject
from calicofall.routing.policy import RoutingPolicy
from calicofall.routing.request import Request

request_numbers = count()


def deployment_settings(cache_aside: bool = False, proxies: int = 1, **changes: object) -> dict:
    """Returns the settings of a deployment in the router's form.

    Args:
        cache_aside: whether the origin is an endpoint of its own, as in the cache-aside mode.
        proxies: the number of proxies of the fleet.
        changes: top-level settings that replace the defaults.
    """
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
        "data": {"mode": "aside" if cache_aside else "through", "origin_kind": 1 if cache_aside else -1},
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


def make_request(
    method: str,
    key: int | None = 7,
    arrived_at: float = 0.0,
    expires_at: float = 1000.0,
    tenant: str | None = None,
) -> Request:
    """Returns a request with an id of its own; `arrived_at` and `expires_at` are times in ms."""
    return Request(
        f"{next(request_numbers):016x}", method, tenant, key, method != "read", arrived_at, expires_at
    )


def route_request(policy: RoutingPolicy, now: float, request: Request) -> Decision | None:
    """Returns the policy's decision at `now` (ms) and marks a rejected or failed request as finished."""
    decision = policy.decide(now, request)
    if isinstance(decision, Reject | Fail):
        request.finished = True
    return decision


class FakeEventLoop:
    """An event loop whose clock and scheduled calls are advanced by the test."""

    def __init__(self) -> None:
        self.clock, self.calls, self.scheduled_count = 1000.0, [], 0
        self.connect_requests: list[tuple] = []  # (stream, address) of each requested connection

    def time(self) -> float:
        return self.clock

    def call_at(self, when: float, callback: Callable, *arguments: object) -> "FakeEventLoop.Handle":
        self.scheduled_count += 1
        handle = FakeEventLoop.Handle(when, self.scheduled_count, callback, arguments)
        self.calls.append(handle)
        return handle

    def call_later(self, delay_s: float, callback: Callable, *arguments: object) -> "FakeEventLoop.Handle":
        return self.call_at(self.clock + delay_s, callback, *arguments)

    def call_soon(self, callback: Callable, *arguments: object) -> "FakeEventLoop.Handle":
        return self.call_at(self.clock, callback, *arguments)

    def create_future(self) -> "FakeEventLoop.Future":
        return FakeEventLoop.Future()

    def open(self, _loop: object, stream: object, address: tuple, _timeout_s: float) -> None:
        self.connect_requests.append((stream, address))

    def advance(self, duration_s: float = 0.0) -> None:
        """Advances the clock by `duration_s` and runs the calls that become due, in order of their times."""
        end_at = self.clock + duration_s
        self.calls = [handle for handle in self.calls if not handle.cancelled]
        while due := [handle for handle in self.calls if handle.when <= end_at and not handle.cancelled]:
            first = min(due, key=lambda handle: (handle.when, handle.number))
            self.calls.remove(first)
            self.clock = max(self.clock, first.when)
            first.callback(*first.arguments)
        self.clock = end_at

    @dataclass
    class Handle:
        when: float
        number: int
        callback: Callable
        arguments: tuple
        cancelled: bool = False

        def cancel(self) -> None:
            self.cancelled = True

    class Future:
        def __init__(self) -> None:
            self.result: object = self

        def done(self) -> bool:
            return self.result is not self

        def set_result(self, result: object) -> None:
            self.result = result


class FakeTransport:
    """A transport that stores what is written to it.

    It pauses the protocol's writing once more than `pause_after_bytes` bytes are stored; None means never.
    """

    def __init__(self, stream: object, pause_after_bytes: int | None = None) -> None:
        self.stream, self.pause_after_bytes, self.sent, self.open, self.paused = (
            stream,
            pause_after_bytes,
            b"",
            True,
            False,
        )
        self.eof_written = False  # whether EOF was written after the last byte
        stream.connection_made(self)

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def write(self, data: bytes) -> None:
        assert not self.eof_written
        self.sent += data
        if self.pause_after_bytes is not None and len(self.sent) > self.pause_after_bytes:
            self.stream.pause_writing()

    def write_eof(self) -> None:
        assert not self.eof_written
        self.eof_written = True

    def get_extra_info(self, _name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

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
        """Delivers data from the peer to the protocol."""
        while data:
            buffer = self.stream.get_buffer(-1)
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            self.stream.buffer_updated(size)
            data = data[size:]

    def take(self) -> bytes:
        """Returns what was written since the last call, and clears it."""
        data, self.sent = self.sent, b""
        return data

    def receive_eof(self) -> None:
        """Delivers the EOF that the peer sends after it has received ours."""
        assert self.eof_written and self.open
        self.stream.eof_received()


# The settings of the tests' proxies, in the form that a node file has them.
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

CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def endpoint(name: str, status: str = "SERVING", address: str | None = None) -> dict:
    """Returns an endpoint's entry of an endpoint list, as the discovery service sends it."""
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


class FakeDatagramTransport:
    """A datagram transport that stores what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, _address: tuple) -> None:
        self.sent.append(data)

    def is_closing(self) -> bool:
        return False


class ProxyHarness:
    """A proxy on a fake event loop and fake transports, which the test drives."""

    @staticmethod
    def node_file(caches: int = 3, sockets: int = 1024, **settings: object) -> dict:
        """Returns a node file's content with `caches` known endpoints and a limit of `sockets` sockets."""
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

    def __init__(
        self, caches: int = 3, sockets: int = 1024, connect_ahead: bool = False, **settings: object
    ) -> None:
        self.loop = FakeEventLoop()
        self.proxy = Proxy(self.node_file(caches, sockets, **settings), self.loop, self.loop.open)
        self.proxy.listener = type("Door", (), {"close": lambda self: None})()
        if not connect_ahead:  # most tests examine a single connection
            self.proxy.upstreams.preconnect_enabled = False
            self.proxy.upstreams.close()
            self.loop.connect_requests.clear()

    def with_high_limits(self) -> "ProxyHarness":
        """Raises the router's concurrency limits beyond what tests reach, and returns the harness."""
        for limit in (self.proxy.router.policy.fleet_limit, self.proxy.router.policy.origin_limit):
            limit.value, limit.unused_capacity = 1000.0, 2_000_000.0
        return self

    def client(self, pause_after_bytes: int | None = None) -> FakeTransport | None:
        """Connects a client; returns None if the proxy has no room for it."""
        return (
            FakeTransport(self.proxy.clients.add_client(), pause_after_bytes)
            if self.proxy.clients.ensure_capacity()
            else None
        )

    def connect_upstream(self, number: int = -1, pause_after_bytes: int | None = None) -> FakeTransport:
        """Completes the connection to a cache that is entry `number` of the loop's `connect_requests`."""
        return FakeTransport(self.loop.connect_requests[number][0], pause_after_bytes)

    def sigterm(self) -> None:
        """Does what the proxy does on SIGTERM."""
        self.loop.add_signal_handler = lambda *_: None
        self.proxy.terminate()

    def push_endpoint_list(self, *endpoints: dict, index: int = 2) -> None:
        """Delivers changed endpoints as list event `index`, as the discovery service would."""
        self.proxy.on_list_event(
            *parse_endpoint_list({"index": index, "snapshot": False, "endpoints": list(endpoints)})
        )


def encode_request(
    method: str = "read", key: int = 7, remaining_ms: str = "900", value: bytes = b"v"
) -> bytes:
    """Returns a client's command for a request that has `remaining_ms` until its deadline."""
    metadata = f"c={method},t=acme,d={remaining_ms}".encode()
    arguments = [
        b"%016x" % key,
        b"%016x" % next(request_numbers),
        metadata if method == "read" else metadata + b",k=5c0f",
    ]
    return resp.encode_command([b"C.GET", *arguments] if method == "read" else [b"C.SET", *arguments, value])


def encode_reply(value: bytes = b"fresh", cache_status: bytes | None = b"hit") -> bytes:
    """Returns a cache's reply; the cache status is null if `cache_status` is None."""
    return (
        b"*3\r\n"
        + resp.encode_bulk(value)
        + (resp.encode_bulk(cache_status) if cache_status else b"$-1\r\n")
        + b"$-1\r\n"
    )
