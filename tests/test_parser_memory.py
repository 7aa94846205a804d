"""What the parser of clients' commands keeps of input that is no command."""

import pytest

from calicofall.proxy import resp
from calicofall.proxy.buffers import RingBuffer
from calicofall.proxy.command_parser import (
    MAX_COMMAND_PARTS,
    MAX_FIELD_BYTES,
    SHORT_VALUE_BYTES,
    CommandParser,
)

NO_COMMANDS = {
    "nested arrays": b"*32\r\n*32\r\n",
    "a nested array behind a name": b"*2\r\n$4\r\nPING\r\n*1\r\n",
    "a value outside of an array": b"$3000000\r\n",
    "a long name": b"*5\r\n$2000000\r\n",
    "a long field in front of the value": b"*5\r\n" + b"$1\r\nx\r\n" * 3 + b"$2049\r\n",
    "a long part of a command with too many": b"*6\r\n" + b"$1\r\nx\r\n" * 4 + b"$60000\r\n",
}


def feed(parser: CommandParser, data: bytes) -> list[object]:
    values = []
    parser.ring.write(data)
    while (value := parser.read()) is not resp.INCOMPLETE:
        values.append(value)
    return values


@pytest.mark.parametrize("name", NO_COMMANDS)
def test_input_that_is_no_command_is_an_error_at_once(name: str) -> None:
    parser = CommandParser(RingBuffer(), commands_only=True)
    assert feed(parser, resp.encode_command([b"PING"])) == [[b"PING"]]
    with pytest.raises(resp.ProtocolError):
        feed(parser, NO_COMMANDS[name])
    assert parser.kept_bytes() <= 1024


@pytest.mark.parametrize("size", [0, SHORT_VALUE_BYTES, SHORT_VALUE_BYTES + 1, 1_000_000])
def test_long_value_waits_for_a_decision(size: int) -> None:
    parser = CommandParser(RingBuffer(), commands_only=True)
    parts = [b"C.SET", b"1", b"2", b"x" * MAX_FIELD_BYTES, b"v" * size]
    values = feed(parser, resp.encode_command(parts))
    assert parser.long_value_awaits_decision == (size > SHORT_VALUE_BYTES)
    if parser.long_value_awaits_decision:
        assert not values
        parser.accept_long_value()
        values.append(parser.read())
    assert values == [parts]


def test_many_numbers_are_counted_and_not_kept() -> None:
    parser = CommandParser(RingBuffer(), commands_only=True)
    assert not feed(parser, b"*32\r\n" + b":1\r\n" * 31)
    assert len(parser.parts_received()) == MAX_COMMAND_PARTS + 1


def test_command_with_too_many_parts_keeps_one_more_than_it_may_have() -> None:
    parser = CommandParser(RingBuffer(), commands_only=True)
    values = feed(parser, resp.encode_command([b"C.SET", *[b"x" * 200] * 31]))
    assert values == [[b"C.SET", *[b"x" * 200] * 5]]
    assert feed(parser, resp.encode_command([b"PING"])) == [[b"PING"]]
