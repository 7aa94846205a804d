"""Settings versions at one proxy: applied without a restart, under a lease checked before each send."""

import json
from typing import Any

import pytest
from helpers import (
    CHUNKED_RESPONSE_HEAD,
    SETTINGS,
    FakeTransport,
    ProxyHarness,
    encode_reply,
    encode_request,
    endpoint,
)

from calicofall.fleet import settings_document
from calicofall.fleet.configuration_agreement import AgreementMessage
from calicofall.startup import peer_messages

COMMON_SETTINGS = {
    name: value for name, value in SETTINGS.items() if name not in settings_document.PER_PROXY_SETTINGS
}


def make_document(version: int, proxies: int = 2, **changes: dict) -> dict[str, Any]:
    """Returns a settings document; `changes` holds changed fields by method."""
    methods = [
        method
        | {"keeps": ["place", "repeats"] if method["name"] == "read" else []}
        | changes.get(method["name"], {})
        for method in COMMON_SETTINGS["methods"]
    ]
    members = list(range(proxies))
    return settings_document.seal_document(
        {
            "version": version,
            "after": version - 1,
            "note": "",
            "fleet": "shop",
            "members": members,
            "keepers": members,
            "lease": {"s": 2.0, "drift": 0.01},
            "settings": COMMON_SETTINGS
            | {"methods": methods, "kinds": ["box"], "balancers": proxies, "failureDomains": ["a", "b"]},
        }
    )


class SettingsSyncHarness(ProxyHarness):
    """A proxy of three; the test answers for the two peers."""

    def __init__(self, **changes: dict) -> None:
        self.first = make_document(1, 3, **changes)
        super().__init__()
        self.sent_messages: list[tuple[int, AgreementMessage]] = []
        self.configuration_sync = self.proxy.configuration_sync
        self.configuration_sync.send = lambda peer, message: self.sent_messages.append((peer, message))
        self.configuration_sync.start()
        self.loop.connect_requests.clear()
        self.configuration_sync.watch.stop()  # the test delivers the documents
        self.peer_known_version = self.peer_held_version = self.peer_effective_version = 1

    def node_file(self, *values: int, **settings: object) -> dict:
        peers = [f"10.0.0.{number}:7946" for number in range(1, 4)]
        return ProxyHarness.node_file(*values, **settings) | {
            "document": self.first,
            "settings": COMMON_SETTINGS | {"balancers": 3, "me": 0, "zone": "a"},
            "start": {"fleet": "shop", "speak": peers[0], "peers": peers, "watchesPerS": 100.0},
        }

    def advance(self, duration_s: float, peers_answer: bool = True) -> "SettingsSyncHarness":
        """Advances the clock in steps of 0.1 s; after each, peers answer the requests sent to them."""
        for _ in range(round(duration_s / 0.1)):
            self.loop.advance(0.1)
            sent_messages, self.sent_messages = self.sent_messages, []
            for peer, message in sent_messages:
                if peers_answer and message.is_request:
                    self.configuration_sync.on_message(
                        AgreementMessage(
                            False,
                            peer,
                            40 + peer,
                            message.correlation_id,
                            self.peer_known_version,
                            self.peer_held_version,
                            self.peer_effective_version,
                            True,
                        )
                    )
        return self

    def publish(self, version: int, **changes: dict) -> None:
        import orjson

        self.configuration_sync.on_document(orjson.dumps(make_document(version, 3, **changes)))

    def send_request(self, method: str, key: int = 7) -> tuple[Any, bytes]:
        client = self.client()
        client.feed(encode_request(method, key))
        self.loop.advance()
        return client, client.take()


def test_sighup_moves_the_settings_watch_and_later_versions_come_from_there() -> None:
    """Guards against a watch that stays at an agent that is gone: the next version took all leases."""
    harness = SettingsSyncHarness().advance(4.0)
    harness.configuration_sync.watch.stopped = False
    harness.configuration_sync.watch.start()
    old_watch = harness.connect_upstream()
    harness.proxy.on_sighup(lambda: harness.proxy.node | {"discovery": "10.2.0.9:8500"})
    assert not old_watch.open
    requests = [
        (FakeTransport(connection), address) for connection, address in harness.loop.connect_requests[-2:]
    ]
    assert {address for _, address in requests} == {("10.2.0.9", 8500)}
    (new_watch,) = [transport for transport, _ in requests if b"/api/settings" in transport.sent]
    assert b"since=1 " in new_watch.sent  # versions are the fleet's
    line = json.dumps(make_document(2, 3)).encode() + b"\n"
    new_watch.feed(CHUNKED_RESPONSE_HEAD + b"%x\r\n%b\r\n" % (len(line), line))
    assert sorted(harness.configuration_sync.documents) == [1, 2]
    harness.proxy.on_sighup(lambda: harness.proxy.node | {"discovery": "10.2.0.9:8500"})
    assert new_watch.open  # an unchanged address keeps its watch


def test_new_incarnation_serves_only_promised_methods_until_its_version_is_confirmed() -> None:
    harness = SettingsSyncHarness().with_high_limits()
    client, received = harness.send_request("read")
    assert not received and harness.loop.connect_requests  # a method that promises place and repeats
    assert harness.send_request("order")[1].startswith(b"-BUSY")
    harness.advance(4.0)
    connect_count = len(harness.loop.connect_requests)
    assert (
        harness.configuration_sync.lease_status.leased
        and not harness.send_request("order", 8)[1]
        and len(harness.loop.connect_requests) > connect_count
    )
    assert "settings.leased:1" in harness.proxy.handle_call("versions")


def test_lease_ends_by_time_without_any_message() -> None:
    harness = SettingsSyncHarness().with_high_limits()
    harness.advance(4.0)
    assert not harness.send_request("order")[1]
    harness.advance(2.2, peers_answer=False)
    assert (
        harness.send_request("order", 8)[1].startswith(b"-BUSY")
        and not harness.configuration_sync.lease_status.leased
    )


def test_request_that_waits_for_a_connection_past_the_lease_is_not_sent() -> None:
    """A process is stopped in the middle of a send; its connection opens after the lease has ended."""
    harness = SettingsSyncHarness().with_high_limits()
    harness.advance(4.0)
    client, _ = harness.send_request("order")
    harness.loop.calls.clear()  # the process is stopped: no callback runs while the clock advances
    harness.loop.clock += 3.0
    upstream = harness.connect_upstream()
    assert not upstream.sent
    harness.loop.advance()
    assert client.take().startswith(b"-BUSY")


def test_restriction_of_a_new_version_applies_as_soon_as_it_arrives() -> None:
    harness = SettingsSyncHarness().with_high_limits()
    harness.advance(4.0)
    harness.push_endpoint_list(*(endpoint(f"c{i}") | {"zone": "a" if i == 1 else "b"} for i in range(1, 4)))
    harness.publish(2, order={"failureDomainsOnly": ["a"]})
    assert harness.configuration_sync.lease_status.versions == (1, 2)
    for key in range(12):
        harness.send_request("order", key)
    addresses = {address for _, address in harness.loop.connect_requests}
    assert addresses <= {("10.1.0.1", 6379)}
    harness.peer_known_version = harness.peer_held_version = 2
    harness.advance(1.0)
    assert harness.configuration_sync.lease_status == ((2,), True)


def test_request_accepted_under_one_version_is_retried_within_what_both_allow() -> None:
    """After a failed attempt, the next endpoint has to be one that the new version allows.

    The rule of the older version on repeats holds.
    """
    harness = SettingsSyncHarness(order={"failureDomainsOnly": ["a"]}).with_high_limits()
    harness.advance(4.0)
    harness.push_endpoint_list(*(endpoint(f"c{i}") | {"zone": "a" if i < 3 else "b"} for i in range(1, 4)))
    client, _ = harness.send_request("order")
    save, _ = harness.send_request("save", 9)
    harness.publish(2, order={"failureDomainsOnly": ["a", "b"]}, save={"effect": "pure"})
    requests = [call.request for call in harness.proxy.active_requests.values()]
    methods = harness.proxy.router.policy.settings.methods
    assert {methods[request.method]["repeats"] for request in requests} == {"non-retriable", "deduped"}
    assert [methods[request.method].get("zones_open") for request in requests if request.name == "order"] == [
        ["a"]
    ]
    for connection, _ in list(harness.loop.connect_requests):
        connection.abort()  # the connection is refused, so the request has not run and is sent again
    harness.loop.advance(0.01)
    assert {address for connection, address in harness.loop.connect_requests if not connection.closed} <= {
        ("10.1.0.1", 6379),
        ("10.1.0.2", 6379),
        ("10.1.0.3", 6379),
    }
    order = next(request for request in requests if request.name == "order")
    assert {attempt.endpoint for attempt in order.attempts} <= {"c1", "c2"}


def test_metrics_keep_their_method_names_through_versions_and_no_state_is_left_over() -> None:
    harness = SettingsSyncHarness().with_high_limits()
    harness.advance(4.0)
    policy = harness.proxy.router.policy
    for version in range(2, 8):
        client, _ = harness.send_request("read", version)
        harness.publish(version, read={"windowNs": 1_000_000_000 + version})
        harness.peer_known_version = harness.peer_held_version = version
        for connection, _ in harness.loop.connect_requests:
            if not connection.closed:
                transport = connection.transport or FakeTransport(connection)
                if connection.command:
                    transport.feed(encode_reply(b"fresh"))
        assert client.take() == b"$5\r\nfresh\r\n"
        harness.advance(1.0)
    assert "proxy.answered.read:6|c" in harness.proxy.handle_call("counters")
    assert set(policy.settings.methods) == {"read", "save", "order"} == set(policy.latency.windows) - {None}


@pytest.mark.parametrize(
    "line,word", [(b"{", b"line 1"), (b"[]", b"document"), (b'{"version": 2}', b"after")]
)
def test_invalid_document_changes_nothing_and_is_logged_in_one_line(
    line: bytes, word: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    harness = SettingsSyncHarness()
    harness.advance(4.0)
    with caplog.at_level("WARNING", "calicofall"):
        harness.configuration_sync.on_document(line)
    assert [record.message for record in caplog.records] == ["settings refused"]
    assert word.decode() in caplog.records[0].reason and harness.configuration_sync.lease_status == (
        (1,),
        True,
    )


def test_document_that_cannot_follow_is_refused_and_shown_in_the_metrics() -> None:
    harness = SettingsSyncHarness(order={"failureDomainsOnly": ["a"]})
    harness.advance(4.0)
    harness.publish(2, order={"failureDomainsOnly": ["b"]})
    assert harness.configuration_sync.lease_status == ((1,), True)
    assert "settings.refused:2 methods.order" in harness.proxy.handle_call("versions")


def test_agreement_message_survives_encoding_and_an_invalid_one_is_rejected() -> None:
    message = AgreementMessage(True, 1, 7, 9, 3, 3, 2, True)
    data = peer_messages.encode_message("shop", message)
    assert peer_messages.decode_message(data, "shop", 3) == message
    for invalid in (
        message._replace(highest_known=-1),
        message._replace(grants_leases=1),
        message._replace(sender=5),
    ):
        with pytest.raises(peer_messages.InvalidMessageError, match="form"):
            peer_messages.decode_message(peer_messages.encode_message("shop", invalid), "shop", 3)
