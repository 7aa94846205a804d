"""Settings documents and addresses that answer, for the tests of settings and of canaries."""

import json
import socket
from threading import Thread
from typing import Any

from helpers import SETTINGS

from calicofall.fleet import settings_document

# The tests' settings, as a document holds them.
COMMON_SETTINGS: dict[str, Any] = {
    name: value for name, value in SETTINGS.items() if name not in settings_document.PER_PROXY_SETTINGS
} | {
    "kinds": ["box", "disk"],
    "failureDomains": ["a", "b", "c"],
}


def settings_with(**methods: dict[str, Any]) -> dict[str, Any]:
    """The tests' settings with changes by method."""
    return COMMON_SETTINGS | {
        "methods": [method | methods.get(method["name"], {}) for method in COMMON_SETTINGS["methods"]]
    }


def document_text(changes: dict[str, Any] | None = None, *, sealed: bool = True) -> str:
    """The text of a document, version 2 after 1, with changes by field."""
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
    """Answers one connection after the other.

    Returns:
        The address, and what it is sent: one item a connection, as they come.
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
