"""The id of a client that left one process of a proxy is not run again by the other."""

import asyncio
import signal
from pathlib import Path

import pytest
from process_harness import Deployment, ProxyProcess, request, run_deployment

from calicofall.proxy import departure_file
from calicofall.proxy.departure_file import DepartureFile

NODE_WORK_S = 1.5


async def wait_until_both_serve(proxy: ProxyProcess) -> None:
    async with asyncio.timeout(20.0):
        while proxy.log_path.read_text().count("event=serving") < 2:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("method", ["order", "save"])
def test_id_that_comes_again_at_the_other_process_of_an_upgrade_is_not_run_twice(
    tmp_path: Path, method: str
) -> None:
    async def body(deployment: Deployment) -> None:
        async def answer(_command: list[bytes], _writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(NODE_WORK_S)

        for node in deployment.nodes:
            node.answer = answer
        former = await deployment.start()
        _, writer = await former.connect()
        command = request(method)
        writer.write(command)
        async with asyncio.timeout(5.0):
            while not any(node.commands for node in deployment.nodes):
                await asyncio.sleep(0.01)
        successor = ProxyProcess(tmp_path, deployment.agent.port)
        successor.node, successor.port = former.node, former.port
        try:
            await successor.start()
            await wait_until_both_serve(former)
            writer.close()
            await asyncio.sleep(0.1)
            former.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            reader, writer = await successor.connect()
            writer.write(command)
            async with asyncio.timeout(3.0):
                line = await reader.readline()
            assert line.startswith(b"-ERR")
            assert sum(len(node.commands) for node in deployment.nodes) == 1
        finally:
            await successor.end()

    run_deployment(tmp_path, 2, body)


def test_ids_are_read_by_another_process_once_and_the_file_stays_small(tmp_path: Path) -> None:
    path = str(tmp_path / "departures")
    writing, reading = DepartureFile(path), DepartureFile(path)
    writing.append(b"ab", 1.5)
    assert reading.read_new() == [(b"ab", 1.5)]
    assert reading.read_new() == []
    for number in range(5000):
        writing.append(b"%016x" % number, float(number))
    assert Path(path).stat().st_size <= departure_file.MAX_FILE_BYTES + departure_file.RECORD.size
    assert reading.read_new()[-1] == (b"%016x" % 4999, 4999.0)
    reading.close(is_last=False)
    writing.close(is_last=True)
    assert not Path(path).exists()


def test_file_that_cannot_be_written_or_was_left_half_written_costs_no_other_id(tmp_path: Path) -> None:
    shared = DepartureFile(str(tmp_path / "missing" / "departures"))
    shared.append(b"ab", 1.0)
    assert shared.read_new() == []
    half_written = tmp_path / "half"
    half_written.write_bytes(departure_file.RECORD.pack(b"ab", 1.0) + b"half a record")
    shared = DepartureFile(str(half_written))
    shared.append(b"cd", 2.0)
    assert DepartureFile(str(half_written)).read_new() == [(b"ab", 1.0), (b"cd", 2.0)]
