"""A client's request and the attempts made for it."""

from dataclasses import dataclass, field
from enum import StrEnum

SETTINGS_VERSION_SEPARATOR = "\0"  # between a method's name and the settings version of its alias

# A property that requests have in common: name and value of the field.
RequestGroup = tuple[str, object]


class AttemptOutcome(StrEnum):
    """The outcome of an attempt, as records and the simulator's messages spell it."""

    COMPLETED = "completed"
    MISSED = "missed"  # the cache did not hold the key
    ERROR = "error"  # the answer was an error
    CORRUPT = "spoilt"  # the answer could not be parsed
    RESET = "reset"  # the connection was reset during the attempt
    UNCONNECTED = "unconnected"  # no connection was established
    FULL = "full"  # the endpoint refused the request for lack of capacity
    TIMEOUT = "timeout"
    EXPIRED = "moot"  # the endpoint did not run the request, as its deadline had passed
    WITHHELD = "held"  # not sent because of the proxy's quota of requests in flight
    CANCELLED = "cancelled"
    RESPONSE_STARTED = "begun"  # the answer is being streamed to the client


class RetrySafety(StrEnum):
    """Whether a request may be repeated, as the settings spell it."""

    IDEMPOTENT = "retriable"
    IDEMPOTENCY_KEY = "deduped"  # the endpoints of a group drop duplicates for some time
    NON_IDEMPOTENT = "non-retriable"


OUTCOME_BY_NAME = {outcome.value: outcome for outcome in AttemptOutcome}

# Outcomes that prove that an attempt never ran; with any other outcome, or none yet, it may have run.
OUTCOMES_NEVER_RUN = frozenset(
    {
        AttemptOutcome.FULL,
        AttemptOutcome.UNCONNECTED,
        AttemptOutcome.EXPIRED,
        AttemptOutcome.WITHHELD,
        AttemptOutcome.MISSED,
    }
)


@dataclass(slots=True)
class Attempt:
    """A request as forwarded to one endpoint."""

    endpoint: str
    sent_at: float
    origin_probability: float = 0.0  # load on the origin limit: probability of a request to the origin
    outcome: AttemptOutcome | None = None
    response_started: bool = False  # whether the answer is being streamed to the client
    rate_slots: tuple[float, ...] = ()  # at the origin, taken for this attempt (times in s)

    def may_have_run(self) -> bool:
        """Returns whether the attempt may have run."""
        return self.outcome not in OUTCOMES_NEVER_RUN


@dataclass(slots=True)
class Request:
    """A client's request; times are in ms."""

    id: str
    method: str
    tenant: str | None
    key: int | None
    write: bool
    arrived_at: float
    expires_at: float  # when the client gives up this request
    client_retry: bool = False  # the client repeats an earlier request
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # answered, or its client has disconnected
    streaming: bool = False  # the answer is being streamed: no deadline, no further attempt
    cache_missed: bool = False  # a cache did not hold the key: the origin is next
    cache_miss_retries: int = 0  # attempts after cache misses, which the retry budget does not limit
    estimated_work_ms: float = 0.0  # estimated time that a cache works on it; 0 if the client sent no hint
    within_quota: bool | None = None  # whether it is within its tenant's quota; None until checked
    answer: str | None = None  # the final answer: completed, exhausted or errored
    retry_after_ms: float = 0.0  # when the client may retry, if the answer is exhausted
    timeout_ms: float = 0.0  # time-out of the last attempt

    @property
    def name(self) -> str:
        """The name of its method as clients spell it, without the settings version of an alias."""
        return self.method.partition(SETTINGS_VERSION_SEPARATOR)[0]

    def groups(self) -> list[RequestGroup]:
        """Returns the groups of requests that it belongs to; the last one is that of all requests."""
        groups: tuple[RequestGroup, ...] = (
            ("key", self.key),
            ("tenant", self.tenant),
            ("method", self.method),
            ("all", ""),
        )
        return [group for group in groups if group[1] is not None]

    def first_possibly_run(self) -> Attempt | None:
        """Returns the first attempt that may have run, if any."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run()), None)
