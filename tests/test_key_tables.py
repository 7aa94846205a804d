"""Ever new keys do not let a process's memory grow without a bound."""

import asyncio
from collections.abc import Iterator
from itertools import count
from pathlib import Path

import pytest
from helpers import ProxyHarness, encode_request
from process_harness import Deployment, ProxyProcess, encode_command, request, run_deployment

from calicofall.proxy.process_limits import divide_limits
from calicofall.routing.cached_keys import KeyRequestCounts, RecentlyCachedKeys
from calicofall.routing.placement import MAX_RANKINGS
from calicofall.routing.retry_policy import MAX_FAILING_GROUPS

MEMORY_MB = 32
FLOOD_S = 12.0
USUAL_CLIENTS = 10


def test_tables_note_no_further_keys_than_their_maximum() -> None:
    counts, cached = KeyRequestCounts(0.0), RecentlyCachedKeys(0.0)
    for key in range(100):
        counts.add(key, max_keys=10)
        cached.add("c1", key, max_keys=10)
    counts.add(3, max_keys=10)
    assert counts.count(3) == 2
    assert counts.count(50) == 0
    assert cached.holds("c1", 9)
    assert not cached.holds("c1", 50)
    counts.rotate_if_due(1e9)
    counts.add(50, max_keys=10)
    assert counts.count(50) == 1


@pytest.mark.parametrize("memory_mb", [32, 48, 192])
def test_keys_of_a_proxy_are_bounded_by_its_memory(memory_mb: int) -> None:
    harness = ProxyHarness()
    harness.proxy.node["limits"]["memory_mb"] = memory_mb
    max_keys = divide_limits(harness.proxy.node, 1).max_keys
    assert 500 * max_keys <= 0.2 * ((memory_mb - 24) << 20)
    policy = harness.proxy.router.policy
    harness.proxy.apply_settings(harness.proxy.node["settings"])
    assert policy.settings.max_keys == max_keys


def test_rankings_and_failing_groups_are_bounded() -> None:
    harness = ProxyHarness().with_high_limits()
    policy = harness.proxy.router.policy
    for key in range(3 * MAX_RANKINGS):
        policy.placement.rank(key)
    assert len(policy.placement.rankings) <= MAX_RANKINGS
    client = harness.client()
    client.feed(encode_request(key=1))
    (active_request,) = harness.proxy.active_requests.values()
    request_in_hand = active_request.request
    for key in range(2 * MAX_FAILING_GROUPS):
        request_in_hand.key = key
        request_in_hand.attempts = request_in_hand.attempts[:1] * 2
        request_in_hand.attempts[0].outcome = "error"
        policy.retries.on_result(0.0, request_in_hand, 1)
    assert len(policy.retries.failing_groups) <= MAX_FAILING_GROUPS


def cheap_reads(keys: Iterator[int], patience_ms: int) -> bytes:
    fields = b"c=read,t=acme,d=%d" % patience_ms
    return b"".join(
        encode_command([b"C.GET", b"%016x" % next(keys), b"f%015x" % next(keys), fields]) for _ in range(50)
    )


async def discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(1 << 16):
        pass


async def flood(proxy: ProxyProcess, patience_ms: int) -> None:
    keys = count(1)
    reader, writer = await proxy.connect()
    task = asyncio.ensure_future(discard(reader))
    while not writer.is_closing():
        writer.write(cheap_reads(keys, patience_ms))
        await writer.drain()
    await task


async def ask(proxy: ProxyProcess, answers: list[bytes]) -> None:
    reader, writer = await proxy.connect()
    while True:
        writer.write(request(patience_ms=1000))
        answers.append(await reader.readline())
        if answers[-1].startswith(b"$"):
            await reader.readline()
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("patience_ms", [1, 500])
def test_flood_of_new_keys_keeps_the_process_within_its_memory(tmp_path: Path, patience_ms: int) -> None:
    """Real processes: one client sends whole, cheap reads at full speed beside usual clients."""

    async def body(deployment: Deployment) -> None:
        proxy = await deployment.start(limits={"memory_mb": MEMORY_MB, "sockets": 1024})
        answers: list[bytes] = []
        tasks = [asyncio.ensure_future(flood(proxy, patience_ms))]
        tasks += [asyncio.ensure_future(ask(proxy, answers)) for _ in range(USUAL_CLIENTS)]
        await asyncio.sleep(FLOOD_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert proxy.is_running
        served = sum(answer.startswith(b"$") for answer in answers)
        assert served >= 0.9 * len(answers) > 0
        assert proxy.peak_memory_mb() <= MEMORY_MB

    run_deployment(tmp_path, 4, body)
