"""A small test for each failure found, the module alone."""

import pytest
from helpers import fleet, rpc_for, send

from calicofall.policy import Policy


def test_a_miss_goes_to_the_origin_at_once() -> None:
    """Waiting for another RPC's fetch lost RPCs whose client gave up first, and cost more than it saved."""
    policy = Policy(fleet(aside=True), 1, 0.0)
    policy.listed(0.0, "full", 1, [("c1", "z", "box", 0, "ready", None, 0.0),
                                   ("o", "z", "origin", 0, "ready", None, 0.0)])
    rpc = rpc_for("read", until=60.0)
    send(policy, 0.0, rpc)
    rpc.sent[0].outcome = "missed"
    assert policy.after(10.0, rpc, 0, 10.0, "fetching", None) == ("send", "o", 50.0)


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


def test_repeats_do_not_fill_a_tenants_share() -> None:
    """Clients' repeats made every tenant look busy, and doubled what the greedy one might send."""
    policy = Policy(fleet(tenants=[{"name": n, "quota": 10.0, "share": 0.5} for n in ("a", "b")]), 1, 0.0)
    for now in range(0, 2000, 20):
        rpc = rpc_for("read", now, now, now + 900.0, "a")
        rpc.repeat = True
        policy.where(now, rpc)
        policy.wait(now)
    assert policy.scale == 1.0


@pytest.mark.parametrize("changes", [
    {"tenants": [{"name": "a", "quota": 0.0}]}, {"proxies": None}, {"tenants": None}, {"caps": {}}, {},
    {"rules": {}}, {"data": {}}, {"unheard_of": {"x": 1}}, {"data": {"mode": "aside", "origin_kind": 1}}])
@pytest.mark.parametrize("caches", [0, 1, 3])
def test_odd_deployments_leave_a_working_module(changes: dict, caches: int) -> None:
    """An empty fleet, no origin, all caches cold or draining, settings absent: a stated answer each."""
    policy = Policy(fleet(**changes), 1, 0.0)
    policy.listed(0.0, "full", 1, [(f"c{i}", "z", "box", 0, "ready", None, 0.0) for i in range(caches)])
    known = {send(policy, now, rpc_for("read", now, now, now + 90.0, "a"))[0] for now in range(0, 900, 30)}
    assert known <= {"send", "wait", "exhausted"} and (caches == 0 or "send" in known)
    policy.listed(950.0, "full", 2, [(f"c{i}", "z", "box", 0, "ready", None, 949.0) for i in range(caches)])
    policy.wait(950.0)
    assert send(policy, 960.0, rpc_for("order", 1, 960.0, 2000.0, "a"))[0] in {"send", "wait", "exhausted"}
    policy.listed(970.0, "full", 3, [])
    assert send(policy, 970.0, rpc_for("order", 1, 0.0, 1000.0, "a"))[0] == "exhausted"


def test_cold_caches_stay_within_this_proxys_part() -> None:
    """Where all caches are cold, weights low alike cap nothing: the list of a rolling deploy at its end."""
    policy, sends = Policy(fleet(proxies=2), 1, 0.0), {f"c{i}": [] for i in range(6)}
    for now in range(0, 12_000, 10):
        if now in (0, 6000):
            policy.listed(now, "full", 1, [(c, "z", "box", 0, "ready", None, float(now)) for c in sends])
        rpc = rpc_for("read", now % 301, now, now + 900.0)
        if (now >= 6000 or now % 100 == 0) and send(policy, now, rpc)[0] == "send":
            rpc.sent[0].outcome, rpc.over = "completed", True
            sends[rpc.sent[0].cache].append(now)
            policy.after(now + 1.0, rpc, 0, 30.0, "hit", None)
        policy.wait(now)
    warm = max(sum(at < 6000 for at in times) for times in sends.values()) / 6000.0
    for times in sends.values():
        for start in (at for at in times if at >= 6000):
            share = 0.2 + 0.8 * (start + 3000.0 - 6000.0) / 20_000.0
            sent = sum(start <= at < start + 3000.0 for at in times)
            assert sent <= 3.0 * share * 3000.0 * warm + 1


def test_a_spill_prefers_a_neighbour_that_holds_the_key() -> None:
    """Spills to a neighbour that lacked the key, while another held it, cost the origin a fetch each."""
    policy = Policy(fleet(), 1, 0.0)
    policy.listed(0.0, "full", 1, [(f"c{i}", "z", "box", 0, "ready", None, 0.0) for i in range(5)])
    owner, _, third = policy._ranking(7)
    policy.holders[0].add((7, third.name))
    assert [send(policy, 0.0, rpc_for("read"))[1] for _ in range(3)] == [owner.name, owner.name, third.name]
