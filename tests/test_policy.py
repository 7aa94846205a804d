"""A small test for each failure found, the module alone."""

from helpers import fleet, rpc_for, send

from calicofall.policy import Policy


def test_a_join_never_outlives_the_client() -> None:
    """An RPC that waited for another's fetch was left without an answer when its client gave up first."""
    policy = Policy(fleet(aside=True), 1, 0.0)
    policy.listed(0.0, "full", 1, [("c1", "z", "box", 0, "ready", None, 0.0),
                                   ("o", "z", "origin", 0, "ready", None, 0.0)])
    rpc = rpc_for("read", until=60.0)
    send(policy, 0.0, rpc)
    rpc.sent[0].outcome = "missed"
    verdict = policy.after(10.0, rpc, 0, 10.0, "fetching", None)
    assert verdict and (verdict[0] != "wait" or 10.0 + verdict[1] < rpc.until)


def test_a_read_waits_for_a_slow_fetch() -> None:
    """Time-outs shorter than a fetch called it off: nothing was stored, and all missed again."""
    policy = Policy(fleet(), 1, 0.0)
    policy.listed(0.0, "full", 1, [("c1", "z", "box", 0, "ready", None, 0.0)])
    verdict = send(policy, 0.0, rpc_for("read", until=900.0))
    assert verdict == ("send", "c1", 900.0)


def test_no_spill_that_fetches_from_a_busy_origin() -> None:
    """Spilled keys were fetched once more each, which kept the origin behind the caches in its jam."""
    policy = Policy(fleet(), 1, 0.0)
    policy.listed(0.0, "full", 1, [(f"c{i}", "z", "box", 0, "ready", None, 0.0) for i in range(5)])
    owners = {send(policy, 0.0, rpc_for("read"))[1] for _ in range(2)}
    assert len(owners) == 1
    policy.origin.held = policy.origin.value * 0.6
    owners |= {send(policy, 0.0, rpc_for("read"))[1] for _ in range(3)}
    assert len(owners) == 1
    policy.origin.held = 0
    assert send(policy, 0.0, rpc_for("read"))[1] not in owners


def test_a_silent_cache_is_set_aside_before_time_outs_tell() -> None:
    """Caches cut off kept what they got for the client's whole patience, and shrank the limit for all."""
    policy = Policy(fleet(), 1, 0.0)
    policy.listed(0.0, "full", 1, [(f"c{i}", "z", "box", 0, "ready", None, 0.0) for i in range(8)])
    for now in range(0, 3000, 10):
        rpc = rpc_for("read", now % 97, now, now + 2000.0)
        verdict = send(policy, now, rpc)
        if verdict[0] == "send" and verdict[1] != "c3":
            rpc.sent[0].outcome, rpc.over = "completed", True
            policy.after(now + 5.0, rpc, 0, 50.0, "hit", None)
        policy.wait(now)
    assert policy.caches["c3"].aside_since is not None
    assert all(c.aside_since is None for c in policy.caches.values() if c.name != "c3")
    assert policy.fleet.held < 10
