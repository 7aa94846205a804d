"""Requests of the command line to other processes: to a proxy's management address and the settings source.

Invariants:
    - An address that cannot be reached, or that sends an unexpected answer, ends the command with one line
      and exit code 2.
"""

import socket
from typing import Any

import click
import orjson

from calicofall.config.addresses import parse_address

TIMEOUT_S = 5.0  # for connecting, and for each read
READ_BYTES = 65_536
SHOWN_BYTES = 60  # of an unexpected answer
PUBLISHED_STATUS = (b"200", b"201", b"204")
CONFLICT_STATUS = b"409"  # another document was published first


class CommandError(click.ClickException):
    """Ends a command with one line on standard error and exit code 2."""

    exit_code = 2


def _exchange(address: str, data: bytes) -> bytes:
    """Sends one request to an address and returns the whole answer."""
    try:
        with socket.create_connection(parse_address(address), timeout=TIMEOUT_S) as connection:
            connection.sendall(data)
            answer = b""
            while chunk := connection.recv(READ_BYTES):
                answer += chunk
            return answer
    except ValueError as error:
        raise CommandError(str(error)) from error
    except OSError as error:
        raise CommandError(f"{address}: {error.strerror or error}") from error


def post_document(source: str, path: str, document: dict[str, Any]) -> bool:
    """Posts a document to the source of settings.

    Returns:
        False if another document was published first.

    Raises:
        CommandError: if the source cannot be reached or rejects the document.
    """
    body = orjson.dumps(document)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {source}\r\nContent-Type: application/json\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    answer = _exchange(source, head.encode() + body)
    status = answer.split(b" ")[1:2]
    if status == [CONFLICT_STATUS]:
        return False
    if not status or status[0] not in PUBLISHED_STATUS:
        raise CommandError(
            f"{source}: expected HTTP status 200, 201 or 204, "
            f"found {answer[:SHOWN_BYTES].decode(errors='replace')!r}"
        )
    return True


def query_proxy(address: str, call: str) -> dict[str, str]:
    """Queries a proxy at its management address.

    Args:
        address: the management address.
        call: name of the call, such as "versions".

    Returns:
        The values of the answer's lines, by name.

    Raises:
        CommandError: if the proxy cannot be reached or does not support the call.
    """
    lines = _exchange(address, f"{call}\n".encode()).decode(errors="replace").splitlines()
    if not lines or not lines[0].startswith("+OK"):
        raise CommandError(
            f"{address}: expected +OK for the call {call}, found {lines[0] if lines else 'an empty answer'}"
        )
    figures = {}
    for line in lines[1:-1]:
        name, _, value = line.partition(":")
        figures[name] = value
    return figures
