"""Discovery: keeps a watch on the endpoint list open, and opens a new one when it ends.

`calicofall/startup/discovery_schedule.py` schedules the attempts, so that proxies don't ask in step.

Invariants: the last list is kept until a newer one is received; a silent watch counts as dead; changes older
than the known version of the list are ignored.
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

SILENCE_TIMEOUT_S = 3.0  # time without a line after which a watch is closed: a line is due every 2 s
log = logging.getLogger("calicofall")


class Discovery:
    """The proxy's watch on the discovery service; at most one is open at a time.

    Args:
        loop: The event loop.
        open_connection: Opens a connection, as `connection.open_connection` does.
        address: The discovery service, as host:port.
        known_version: The version of the list that the proxy has; None requests the whole list.
        schedule: The times of the attempts to open a watch.
        on_list: Called with kind, version, entries and addresses of each list or change.
        on_failure: Called when a watch has ended.
        on_phase: Called with each startup phase that is reached.
    """

    path = "/api/targets"
    subject = "list"  # what is watched, as log events name it
    versions_differ_by_service = True  # whether another service's versions are not comparable

    def __init__(  # noqa: PLR0913 - passed once, by the server
        self,
        loop: asyncio.AbstractEventLoop,
        open_connection: Callable[
            [asyncio.AbstractEventLoop, BufferedConnection, tuple[str, int], float], None
        ],
        address: str,
        known_version: int | None,
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
        self.address = address
        self.parsed_address = parse_address(address)
        self.version = known_version
        self.watch: Watch | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        # Calls back with the fraction of the fleet that waits for the list, too; None without gossip.
        self.estimate_contention: Callable[[Callable[[float], None]], None] | None = None
        self.stopped = False
        self.is_down = False
        self.has_answered = False  # whether the service has sent a list, or said that it has not changed
        self.reopening = False  # whether the next attempt replaces an open watch
        self.answered_or_refused = asyncio.Event()  # set once the service has answered or refused a watch
        self.first_answer = asyncio.Event()  # set once the service has answered

    def start(self) -> None:
        """Schedules the first attempt of the process, or the first after a change of the address."""
        self.schedule_first_attempt()

    def schedule_first_attempt(self) -> None:
        """Schedules an attempt, by the fraction of the fleet that waits for the list if that matters."""
        if self.estimate_contention is not None and self.schedule.depends_on_contention():
            self.estimate_contention(
                lambda waiting_fraction: self.attempt_at(
                    self.schedule.first_attempt_at(self.loop.time(), waiting_fraction)
                )
            )
        else:
            self.attempt_at(self.schedule.first_attempt_at(self.loop.time()))

    def attempt_at(self, at: float) -> None:
        """Schedules the next attempt at a time (s, the loop's clock), and cancels one scheduled before."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if at <= self.loop.time():
            self.attempt()
        else:
            self.retry_timer = self.loop.call_at(at, self.attempt)

    def attempt(self) -> None:
        """Opens a watch if none is open, or replaces the open one if `reopening` is set.

        The attempt is postponed if its time slot has passed.
        """
        postponed_until = self.schedule.postponed_until(self.loop.time())
        if postponed_until is None and self.reopening and self.watch is not None:
            watch = self.watch
            self.watch = None
            watch.abort()
        if self.stopped or (self.watch is not None and not self.watch.closed):
            return
        if postponed_until is not None:
            self.attempt_at(postponed_until)
            return
        self.reopening = False
        self.watch = Watch(self)
        self.open_connection(self.loop, self.watch, self.parsed_address, SILENCE_TIMEOUT_S)
        self.loop.call_later(SILENCE_TIMEOUT_S, self.check_silence, self.watch)

    def check_silence(self, watch: Watch) -> None:
        """Closes a silent watch: a dead peer may not show in any other way."""
        left_s = watch.heard_at + SILENCE_TIMEOUT_S - self.loop.time()
        if left_s <= 0.0:
            watch.close_reason = f"silent for {SILENCE_TIMEOUT_S:.0f} s"
            watch.abort()
        elif not watch.closed:
            self.loop.call_later(left_s, self.check_silence, watch)

    def on_answer(self) -> None:
        """Notes that the service has sent a list, or said that it has not changed."""
        self.has_answered = True
        self.answered_or_refused.set()
        self.first_answer.set()
        self.on_phase("list heard")

    @property
    def is_live(self) -> bool:
        """Whether the service has answered, and has sent a list since a watch last ended."""
        return self.has_answered and not self.is_down

    def on_message(self, message: bytes) -> None:
        """Handles a message of the watch: a list or its changes, as JSON.

        Raises:
            ValueError: The message is neither a list nor a change.
        """
        self.on_endpoint_list(*parse_endpoint_list(orjson.loads(message)))

    def on_endpoint_list(
        self, kind: str, index: int | None, entries: list[tuple[Any, ...]], addresses: dict[str, str]
    ) -> None:
        """Handles a list (kind "full") or changes of it ("delta"); `index` is the list's version."""
        self.schedule.reset_backoff()
        self.on_answer()
        if self.is_down:
            self.is_down = False
            log.info(f"{self.subject} watch back", extra={"index": index})
        # Older changes would bring back endpoints that are draining or were removed.
        if kind == "delta" and isinstance(index, int) and self.version is not None and index < self.version:
            log.warning("older changes ignored", extra={"index": index, "known": self.version})
            return
        self.reopening = False  # this may be the version that peers have
        self.on_list(kind, index, entries, addresses)
        if isinstance(index, int):
            self.version = index

    def on_watch_closed(self, watch: Watch) -> None:
        """Schedules the next attempt after a watch has closed, unless another watch has replaced it."""
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
            # A service that refuses will not answer soon, so the proxy starts with the list that it has.
            self.answered_or_refused.set()
            self.attempt_at(self.schedule.retry_at_after_refusal(self.loop.time(), watch.retry_after_s))
        elif was_live and self.schedule.depends_on_contention():
            # The service may have lost all its watches, and proxies would otherwise all reconnect at once.
            self.schedule_first_attempt()
        else:
            self.attempt_at(
                self.schedule.retry_at_after_failure(self.loop.time(), self.loop.time() - watch.asked_at)
            )

    def reopen(self, behind_fraction: float) -> None:
        """Schedules a new watch, since peers have a later list; the open watch stays until then.

        Args:
            behind_fraction: The fraction of the fleet that is behind, too, and shares the time slots.
        """
        # A proxy that already waits for its time slot keeps it. With a new slot for each peer's message, it
        # could wait without end.
        if self.is_live and not self.reopening:
            self.reopening = True
            self.attempt_at(self.schedule.first_attempt_at(self.loop.time(), behind_fraction))

    def change_address(self, address: str) -> None:
        """Moves the watch to another service, and requests the whole list if versions differ by service.

        The present list is kept until the new one is received.
        """
        if address == self.address:
            return
        self.parsed_address = parse_address(address)
        self.address = address
        if self.versions_differ_by_service:
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
        """Closes the watch and opens no other."""
        self.stopped = True
        if self.watch is not None:
            self.watch.abort()
