"""A request in hand: what the client asked for, and the attempts that were made for it so far."""

from dataclasses import dataclass, field
from enum import StrEnum

SETTINGS_VERSION_SEPARATOR = "\0"  # between a method's name and the versions under which it was taken

# What a request has in common with others: the field's name and its value.
RequestGroup = tuple[str, object]


class AttemptOutcome(StrEnum):
    """What became of an attempt, as records and the simulator's wire spell it."""

    COMPLETED = "completed"
    MISSED = "missed"  # the cache lacked the key
    ERROR = "error"  # an answer that tells of a failure
    CORRUPT = "spoilt"  # an answer that cannot be read
    RESET = "reset"  # the connection was reset while the attempt was out
    UNCONNECTED = "unconnected"  # no connection came up
    FULL = "full"  # the endpoint refused it, as it has no room
    TIMEOUT = "timeout"
    EXPIRED = "moot"  # the endpoint found its deadline passed, and did not run it
    WITHHELD = "held"  # held back here by the proxy's quota, and never sent
    CANCELLED = "cancelled"
    RESPONSE_STARTED = "begun"  # the answer has begun to be passed on; the end is still to come


class RetrySafety(StrEnum):
    """Whether a request may be repeated, as the settings spell it."""

    IDEMPOTENT = "retriable"
    IDEMPOTENCY_KEY = "deduped"  # endpoints of a group drop repeats for a while
    NON_IDEMPOTENT = "non-retriable"


OUTCOME_BY_NAME = {outcome.value: outcome for outcome in AttemptOutcome}

# Outcomes that prove that an attempt never ran; every other one, and none yet, may have run.
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
    """A request as it was forwarded to one endpoint."""

    endpoint: str
    sent_at: float
    origin_probability: float = 0.0  # how likely the origin is asked
    outcome: AttemptOutcome | None = None
    response_started: bool = False  # its answer has begun to come, and is passed on
    rate_slots: tuple[float, ...] = ()  # at the origin, that it took

    def may_have_run(self) -> bool:
        """Whether nothing proves that it never ran."""
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
    expires_at: float  # the client gives up this try then
    client_retry: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # answered, or its client has left
    streaming: bool = False  # a stream has begun: no deadline, no further attempt
    cache_missed: bool = False  # a cache lacked the key: the origin is next
    cache_miss_retries: int = 0  # attempts that misses allow beside the retry budget
    estimated_work_ms: float = 0.0  # how long a cache may work on it, by a rough hint; 0 where none came
    within_quota: bool | None = None  # of its tenant's quota; unknown until first asked about
    answer: str | None = None  # the final one: completed, exhausted or errored
    retry_after_ms: float = 0.0  # when the client may ask again, where exhausted
    timeout_ms: float = 0.0  # how long the last attempt is waited for

    @property
    def name(self) -> str:
        """Its method as clients name it: taken under an earlier version, it stands under another name."""
        return self.method.partition(SETTINGS_VERSION_SEPARATOR)[0]

    def groups(self) -> list[RequestGroup]:
        """What it has in common with others, and that it is one at all."""
        known: tuple[RequestGroup, ...] = (
            ("key", self.key),
            ("tenant", self.tenant),
            ("method", self.method),
            ("all", ""),
        )
        return [group for group in known if group[1] is not None]

    def first_possibly_run(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run()), None)
