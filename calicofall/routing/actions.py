"""Actions that the router requests from its caller: log lines, polls, closed connections and gossip."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Request the endpoint list."""


@dataclass(frozen=True, slots=True)
class CloseConnections:
    """Close the connections to a rarely used endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a hint to a peer, identified by its number among the proxies."""

    peer: int
    message: bytes


Action = LogLine | PollEndpointList | CloseConnections | SendGossip


def stored_action(action: Action) -> tuple[Any, ...]:
    """Returns the form of an action in records and states: its stored name and its values."""
    match action:
        case LogLine(text):
            return "log", text
        case PollEndpointList():
            return ("follow",)
        case CloseConnections(endpoint):
            return "close", endpoint
        case SendGossip(peer, message):
            return "tell", peer, message


def action_from_stored(stored: tuple[Any, ...]) -> Action:
    """Returns the action of a stored form.

    Raises:
        ValueError: The stored form is that of no action.
    """
    match stored:
        case ("log", text):
            return LogLine(text)
        case ("follow",):
            return PollEndpointList()
        case ("close", endpoint):
            return CloseConnections(endpoint)
        case ("tell", peer, message):
            return SendGossip(peer, message)
    raise ValueError(f"expected a stored action (log, follow, close or tell), found {stored!r}")


class Outbox:
    """The actions since the caller last took them, in order."""

    def __init__(self) -> None:
        """Creates an empty outbox."""
        self.actions: list[Action] = []

    def log(self, text: str) -> None:
        """Adds a log line."""
        self.actions.append(LogLine(text))

    def add(self, action: Action) -> None:
        """Adds an action."""
        self.actions.append(action)

    def drain(self) -> list[Action]:
        """Removes and returns all actions."""
        actions = self.actions
        self.actions = []
        return actions
