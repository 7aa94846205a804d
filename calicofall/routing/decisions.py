"""Decisions of the routing policy on a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the request to an endpoint now."""

    endpoint: str
    timeout_ms: float  # of the attempt
    decide_again_after_ms: float | None = None  # the client is answered then, while the attempt continues


@dataclass(frozen=True, slots=True)
class Wait:
    """Decide on the request again after a delay."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the request: its client may safely repeat it."""

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request, which may have taken effect."""


Decision = Forward | Wait | Reject | Fail
