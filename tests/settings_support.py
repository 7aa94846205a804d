"""Settings documents and a server with fixed answers, for the tests of settings and of canaries."""

import json
import socket
from threading import Thread
from typing import Any

from helpers import SETTINGS

from calicofall.fleet import settings_document

# The tests' settings in the form of a settings document.
COMMON_SETTINGS: dict[str, Any] = {
    name: value for name, value in SETTINGS.items() if name not in settings_document.PER_PROXY_SETTINGS
} | {
    "kinds": ["box", "disk"],
    "failureDomains": ["a", "b", "c"],
}


def settings_with(**methods: dict[str, Any]) -> dict[str, Any]:
    """Returns the tests' settings with the changes that `methods` maps each method's name to."""
    return COMMON_SETTINGS | {
        "methods": [method | methods.get(method["name"], {}) for method in COMMON_SETTINGS["methods"]]
    }


def document_text(changes: dict[str, Any] | None = None, *, sealed: bool = True) -> str:
    """Returns the text of a settings document, version 2 after version 1.

    Args:
        changes: fields that replace the defaults.
        sealed: whether the document carries its digest.
    """
    data = {
        "version": 2,
        "after": 1,
        "note": "n",
        "fleet": "east",
        "members": [0, 1, 2],
        "keepers": [0, 1, 2],
        "lease": {"s": 2.0, "drift": 0.02, "pauseS": 0.3},
        "settings": COMMON_SETTINGS,
    } | (changes or {})
    return json.dumps(settings_document.seal_document(data) if sealed else data, indent=1)


def serve_answers(*answers: bytes) -> tuple[str, list[bytes]]:
    """Listens on a port and sends each answer on a connection of its own, one connection after the other.

    Returns:
        The address, and a list to which the data received on each connection is appended.
    """
    received: list[bytes] = []
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        for answer in answers:
            connection, _ = listener.accept()
            received.append(connection.recv(65_536))
            connection.sendall(answer)
            connection.close()
        listener.close()

    Thread(target=serve, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}", received
