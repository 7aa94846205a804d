"""Versions at one proxy: applied live and whole, by a lease that is looked at as late as can be."""

from typing import Any

import pytest
from helpers import SETTINGS, FakeTransport, ProxyHarness, encode_reply, encode_request, endpoint

from calicofall.fleet import settings_document
from calicofall.fleet.configuration_agreement import AgreementMessage
from calicofall.startup import peer_messages

OWN = {name: value for name, value in SETTINGS.items() if name not in settings_document.PER_PROXY_SETTINGS}


def paper(version: int, proxies: int = 2, **changes: dict) -> dict[str, Any]:
    """A document; `changes` by method."""
    methods = [
        method
        | {"keeps": ["place", "repeats"] if method["name"] == "read" else []}
        | changes.get(method["name"], {})
        for method in OWN["methods"]
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
            "settings": OWN
            | {"methods": methods, "kinds": ["box"], "balancers": proxies, "failureDomains": ["a", "b"]},
        }
    )


class Agreed(ProxyHarness):
    """A proxy of three whose two peers answer by hand."""

    def __init__(self, **changes: dict) -> None:
        self.first = paper(1, 3, **changes)
        super().__init__()
        self.said: list[tuple[int, AgreementMessage]] = []
        self.versions = self.proxy.configuration_sync
        self.versions.send = lambda peer, word: self.said.append((peer, word))
        self.versions.start()
        self.loop.connect_requests.clear()
        self.versions.watch.stop()  # the source's words come by hand
        self.known = self.held = self.effect = 1

    def node_file(self, *values: int, **settings: object) -> dict:
        peers = [f"10.0.0.{number}:7946" for number in range(1, 4)]
        return ProxyHarness.node_file(*values, **settings) | {
            "document": self.first,
            "settings": OWN | {"balancers": 3, "me": 0, "zone": "a"},
            "start": {"fleet": "shop", "speak": peers[0], "peers": peers, "watchesPerS": 100.0},
        }

    def go_on(self, span: float, answers: bool = True) -> "Agreed":
        """Time goes on, and peers answer what they are asked."""
        for _ in range(round(span / 0.1)):
            self.loop.advance(0.1)
            said, self.said = self.said, []
            for peer, word in said:
                if answers and word.is_request:
                    self.versions.on_message(
                        AgreementMessage(
                            False,
                            peer,
                            40 + peer,
                            word.correlation_id,
                            self.known,
                            self.held,
                            self.effect,
                            True,
                        )
                    )
        return self

    def publish(self, version: int, **changes: dict) -> None:
        import orjson

        self.versions.on_document(orjson.dumps(paper(version, 3, **changes)))

    def ask(self, method: str, key: int = 7) -> tuple[Any, bytes]:
        client = self.client()
        client.feed(encode_request(method, key))
        self.loop.advance()
        return client, client.take()


def test_a_new_incarnation_does_what_promises_allow_and_the_rest_once_its_version_is_proved() -> None:
    harness = Agreed().with_high_limits()
    client, said = harness.ask("read")
    assert not said and harness.loop.connect_requests  # a method that keeps its place and repeats goes on
    assert harness.ask("order")[1].startswith(b"-BUSY")
    harness.go_on(4.0)
    opened = len(harness.loop.connect_requests)
    assert (
        harness.versions.lease_status.leased
        and not harness.ask("order", 8)[1]
        and len(harness.loop.connect_requests) > opened
    )
    assert "settings.leased:1" in harness.proxy.handle_call("versions")


def test_a_lease_ends_by_time_alone() -> None:
    harness = Agreed().with_high_limits()
    harness.go_on(4.0)
    assert not harness.ask("order")[1]
    harness.go_on(2.2, answers=False)
    assert harness.ask("order", 8)[1].startswith(b"-BUSY") and not harness.versions.lease_status.leased


def test_a_send_that_waited_past_the_lease_does_not_leave() -> None:
    """A process stopped in the middle of a send: the connection comes up after the lease is over."""
    harness = Agreed().with_high_limits()
    harness.go_on(4.0)
    client, _ = harness.ask("order")
    harness.loop.calls.clear()  # stopped: nothing runs, and the clock goes on
    harness.loop.clock += 3.0
    upstream = harness.connect_upstream()
    assert not upstream.sent  # its last byte has not left, and none will
    harness.loop.advance()
    assert client.take().startswith(b"-BUSY")


def test_what_a_version_forbids_is_not_done_from_when_it_is_heard() -> None:
    harness = Agreed().with_high_limits()
    harness.go_on(4.0)
    harness.push_endpoint_list(*(endpoint(f"c{i}") | {"zone": "a" if i == 1 else "b"} for i in range(1, 4)))
    harness.publish(2, order={"failureDomainsOnly": ["a"]})
    assert harness.versions.lease_status.versions == (1, 2)
    for key in range(12):
        harness.ask("order", key)
    places = {place for _, place in harness.loop.connect_requests}
    assert places <= {("10.1.0.1", 6379)}
    harness.known = harness.held = 2
    harness.go_on(1.0)
    assert harness.versions.lease_status == ((2,), True)


def test_an_rpc_taken_under_one_version_ends_under_what_both_allow() -> None:
    """Its cache failed; the next is one that the new version allows, and the old one's repeats hold."""
    harness = Agreed(order={"failureDomainsOnly": ["a"]}).with_high_limits()
    harness.go_on(4.0)
    harness.push_endpoint_list(*(endpoint(f"c{i}") | {"zone": "a" if i < 3 else "b"} for i in range(1, 4)))
    client, _ = harness.ask("order")
    save, _ = harness.ask("save", 9)
    harness.publish(2, order={"failureDomainsOnly": ["a", "b"]}, save={"effect": "pure"})
    requests = [call.request for call in harness.proxy.active_requests.values()]
    methods = harness.proxy.router.policy.settings.methods
    assert {methods[request.method]["repeats"] for request in requests} == {"non-retriable", "deduped"}
    assert [methods[request.method].get("zones_open") for request in requests if request.name == "order"] == [
        ["a"]
    ]
    for stream, _ in list(harness.loop.connect_requests):
        stream.abort()  # refused: proven not run, so each is sent once more
    harness.loop.advance(0.01)
    assert {place for stream, place in harness.loop.connect_requests if not stream.closed} <= {
        ("10.1.0.1", 6379),
        ("10.1.0.2", 6379),
        ("10.1.0.3", 6379),
    }
    order = next(request for request in requests if request.name == "order")
    assert {tx.endpoint for tx in order.attempts} <= {"c1", "c2"}


def test_figures_and_names_stay_the_clients_through_versions_and_nothing_is_left_over() -> None:
    harness = Agreed().with_high_limits()
    harness.go_on(4.0)
    policy = harness.proxy.router.policy
    for version in range(2, 8):
        client, _ = harness.ask("read", version)
        harness.publish(version, read={"windowNs": 1_000_000_000 + version})
        harness.known = harness.held = version
        for stream, _ in harness.loop.connect_requests:
            if not stream.closed:
                transport = stream.transport or FakeTransport(stream)
                if stream.pending:
                    transport.feed(encode_reply(b"fresh"))
        assert client.take() == b"$5\r\nfresh\r\n"
        harness.go_on(1.0)
    assert "proxy.answered.read:6|c" in harness.proxy.handle_call("counters")
    assert set(policy.settings.methods) == {"read", "save", "order"} == set(policy.latency.windows) - {None}


@pytest.mark.parametrize(
    "line,word", [(b"{", b"line 1"), (b"[]", b"document"), (b'{"version": 2}', b"after")]
)
def test_a_document_that_is_wrong_changes_nothing_and_is_one_line(
    line: bytes, word: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    harness = Agreed()
    harness.go_on(4.0)
    with caplog.at_level("WARNING", "calicofall"):
        harness.versions.on_document(line)
    assert [r.message for r in caplog.records] == ["settings refused"]
    assert word.decode() in caplog.records[0].reason and harness.versions.lease_status == ((1,), True)


def test_a_document_that_may_not_follow_is_refused_and_shown() -> None:
    harness = Agreed(order={"failureDomainsOnly": ["a"]})
    harness.go_on(4.0)
    harness.publish(2, order={"failureDomainsOnly": ["b"]})
    assert harness.versions.lease_status == ((1,), True)
    assert "settings.refused:2 methods.order" in harness.proxy.handle_call("versions")


def test_words_of_versions_pass_the_datagrams_codec_and_mangled_ones_do_not() -> None:
    word = AgreementMessage(True, 1, 7, 9, 3, 3, 2, True)
    data = peer_messages.encode_message("shop", word)
    assert peer_messages.decode_message(data, "shop", 3) == word
    for wrong in (word._replace(highest_known=-1), word._replace(grants_leases=1), word._replace(sender=5)):
        with pytest.raises(peer_messages.InvalidMessageError, match="form"):
            peer_messages.decode_message(peer_messages.encode_message("shop", wrong), "shop", 3)
