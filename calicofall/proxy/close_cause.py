"""Why connections ended, as metrics and logs name it."""

from enum import StrEnum


class CloseCause(StrEnum):
    """The first cause of a connection's end."""

    OTHER = "other"
    PEER_CLOSED = "peer_closed"
    PEER_RESET = "peer_reset"
    REPLACED = "replaced"  # idle, and closed for another connection
    SHUTDOWN = "shutdown"
    # Of clients' connections
    SILENT = "silent"  # no first byte in time
    INCOMPLETE_COMMAND = "incomplete_command"  # not complete in time
    INVALID_COMMAND = "invalid_command"
    STALLED_READER = "stalled_reader"  # accepted no output in time
    EXCESS_IDLE = "excess_idle"
    TRUNCATED_VALUE = "truncated_value"
    QUIT = "quit"
    # Of connections to endpoints
    NOT_ESTABLISHED = "not_established"
    GIVEN_UP = "given_up"  # with the command that was out on it
    MALFORMED_REPLY = "malformed_reply"
    UNEXPECTED_INPUT = "unexpected_input"
    ENDPOINT_LEFT = "endpoint_left"  # it drains, is gone or has moved
    EXPIRED_IDLE = "expired_idle"


BOTH_SIDES = frozenset(
    {
        CloseCause.OTHER,
        CloseCause.PEER_CLOSED,
        CloseCause.PEER_RESET,
        CloseCause.REPLACED,
        CloseCause.SHUTDOWN,
    }
)
UPSTREAM_CAUSES = BOTH_SIDES | {
    CloseCause.NOT_ESTABLISHED,
    CloseCause.GIVEN_UP,
    CloseCause.MALFORMED_REPLY,
    CloseCause.UNEXPECTED_INPUT,
    CloseCause.ENDPOINT_LEFT,
    CloseCause.EXPIRED_IDLE,
}
CLIENT_CAUSES = BOTH_SIDES | (frozenset(CloseCause) - UPSTREAM_CAUSES)
