"""Discovery: keeps a watch on the endpoint list open, and asks again when it ends.

Invariants: the last list is kept until a better one comes; a watch that says nothing counts as dead; changes
older than what is known are ignored. `calicofall/startup/discovery_schedule.py` says when to ask, so that
proxies don't ask in step.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import orjson

from calicofall.config.addresses import parse_address
from calicofall.config.endpoint_list import parse_endpoint_list
from calicofall.proxy.connection import BufferedConnection
from calicofall.proxy.discovery_watch import Watch
from calicofall.startup.discovery_schedule import DiscoverySchedule

SILENCE_TIMEOUT_S = 3.0  # without a line, where one comes every 2 s at the latest
log = logging.getLogger("calicofall")


class Discovery:
    """The proxy's watch, one after the other.

    Args:
        loop: The event loop.
        open_connection: Opens a connection, as `connection.open_connection` does.
        address: Host and port of the discovery service.
        since: Version of the list that is known; None asks for the whole list.
        schedule: Says when to ask.
        on_list: Called with kind, version, entries and addresses of each list or change.
        on_failure: Called when a watch has ended.
        on_phase: Called with the phase of the startup that is reached.
    """

    path = "/api/targets"
    subject = "list"  # in the log

    def __init__(  # noqa: PLR0913 - the proxy's own parts, given once
        self,
        loop: asyncio.AbstractEventLoop,
        open_connection: Callable[
            [asyncio.AbstractEventLoop, BufferedConnection, tuple[str, int], float], None
        ],
        address: str,
        since: int | None,
        schedule: DiscoverySchedule,
        on_list: Callable[[str, int | None, list[tuple[Any, ...]], dict[str, str]], Any],
        on_failure: Callable[[], Any],
        on_phase: Callable[[str], Any],
    ) -> None:
        self.loop = loop
        self.open_connection = open_connection
        self.schedule = schedule
        self.on_list = on_list
        self.on_failure = on_failure
        self.on_phase = on_phase
        self.host = address
        self.address_pair = parse_address(address)
        self.version = since
        self.watch: Watch | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        # Calls back with the part of the fleet that is about to ask, too; None: not known.
        self.estimate_contention: Callable[[Callable[[float], None]], None] | None = None
        self.stopped = False
        self.is_down = False
        self.has_answered = False  # the service has said how the list stands
        self.reopening = False  # the watch is to be opened anew at the next attempt
        self.answered = asyncio.Event()  # has answered, or refused
        self.first_list = asyncio.Event()  # has answered

    def start(self) -> None:
        """Makes the first attempt of the process, or the first at another service."""
        self.schedule_first_attempt()

    def schedule_first_attempt(self) -> None:
        """Schedules an attempt by how many proxies are about to ask."""
        if self.estimate_contention is not None and self.schedule.depends_on_contention():
            self.estimate_contention(
                lambda part: self.attempt_at(self.schedule.first_attempt_at(self.loop.time(), part))
            )
        else:
            self.attempt_at(self.schedule.first_attempt_at(self.loop.time()))

    def attempt_at(self, at: float) -> None:
        """Makes the next attempt at a time (s, the loop's clock), in place of one that was scheduled."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if at <= self.loop.time():
            self.attempt()
        else:
            self.retry_timer = self.loop.call_at(at, self.attempt)

    def attempt(self) -> None:
        """Opens a watch if none is open, or if it is to be opened anew; not before its turn."""
        next_turn = self.schedule.postponed_until(self.loop.time())
        if next_turn is None and self.reopening and self.watch is not None:
            watch = self.watch
            self.watch = None
            watch.abort()
        if self.stopped or (self.watch is not None and not self.watch.closed):
            return
        if next_turn is not None:
            self.attempt_at(next_turn)
            return
        self.reopening = False
        self.watch = Watch(self)
        self.open_connection(self.loop, self.watch, self.address_pair, SILENCE_TIMEOUT_S)
        self.loop.call_later(SILENCE_TIMEOUT_S, self.check_silence, self.watch)

    def check_silence(self, watch: Watch) -> None:
        """Closes a watch that says nothing; that its peer is dead may not show in any other way."""
        left_s = watch.heard_at + SILENCE_TIMEOUT_S - self.loop.time()
        if left_s <= 0.0:
            watch.close_reason = f"silent for {SILENCE_TIMEOUT_S:.0f} s"
            watch.abort()
        elif not watch.closed:
            self.loop.call_later(left_s, self.check_silence, watch)

    def on_answer(self) -> None:
        """The service has said how the list stands."""
        self.has_answered = True
        self.answered.set()
        self.first_list.set()
        self.on_phase("list heard")

    @property
    def is_live(self) -> bool:
        """Whether the watch is up, and has said something."""
        return self.has_answered and not self.is_down

    def on_message(self, message: bytes) -> None:
        """A list or its changes, as JSON.

        Raises:
            ValueError: The message is neither.
        """
        self.on_endpoint_list(*parse_endpoint_list(orjson.loads(message)))

    def on_endpoint_list(
        self, kind: str, index: int | None, entries: list[tuple[Any, ...]], addresses: dict[str, str]
    ) -> None:
        """A list ("full") or its changes ("delta"), with its version."""
        self.schedule.reset_backoff()
        self.on_answer()
        if self.is_down:
            self.is_down = False
            log.info(f"{self.subject} watch back", extra={"index": index})
        # Older changes would bring back endpoints that drain or have gone.
        if kind == "delta" and isinstance(index, int) and self.version is not None and index < self.version:
            log.warning("older changes ignored", extra={"index": index, "known": self.version})
            return
        self.reopening = False  # this may be the version that peers know of
        self.on_list(kind, index, entries, addresses)
        if isinstance(index, int):
            self.version = index

    def on_watch_closed(self, watch: Watch) -> None:
        """A watch is over: schedules the next attempt, unless another watch has taken its place."""
        if self.stopped or watch is not self.watch:
            return
        was_live = not self.is_down and self.has_answered
        if not self.is_down:
            self.is_down = True
            log.warning(
                f"{self.subject} watch lost", extra={"reason": watch.close_reason, "index": self.version}
            )
        self.on_failure()
        if watch.refused:
            # A service that refuses will tell nothing soon: the proxy starts with the list that it has.
            self.answered.set()
            self.attempt_at(self.schedule.retry_at_after_refusal(self.loop.time(), watch.retry_after_s))
        elif was_live and self.schedule.depends_on_contention():
            # The service has lost all its watches, perhaps, which would otherwise come back at once.
            self.schedule_first_attempt()
        else:
            self.attempt_at(
                self.schedule.retry_at_after_failure(self.loop.time(), self.loop.time() - watch.asked_at)
            )

    def reopen(self, part: float) -> None:
        """Asks for the list again, since peers say that there is a later one.

        Args:
            part: Of the fleet that is behind, too: they ask by turns, while the present watch goes on.
        """
        # One that waits for its turn already keeps it: with a new turn for each peer's message, a proxy
        # could wait without end.
        if self.is_live and not self.reopening:
            self.reopening = True
            self.attempt_at(self.schedule.first_attempt_at(self.loop.time(), part))

    def change_address(self, address: str) -> None:
        """Goes to another service; it has versions of its own, so that the whole list is asked for.

        The list that is known is kept until then.
        """
        if address == self.host:
            return
        self.address_pair = parse_address(address)
        self.host = address
        self.version = None
        self.schedule.reset_backoff()
        watch = self.watch
        self.watch = None
        if watch is not None:
            watch.abort()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.start()

    def stop(self) -> None:
        """Ends the watch for good."""
        self.stopped = True
        if self.watch is not None:
            self.watch.abort()
