"""Events of a scenario on the emulated discovery service: it goes down, is silent or slow, or restarts."""

from collections.abc import Callable
from typing import Any

from calicofall.testbed.emulated_servers import DiscoveryEmulator


class ServiceEvents:
    """Carries out events on the discovery service.

    Args:
        discovery: The emulated service.
        watches_per_s: How many watches a second the service begins when no event is in force.
    """

    def __init__(self, discovery: DiscoveryEmulator, watches_per_s: float) -> None:
        self.discovery = discovery
        self.watches_per_s = watches_per_s
        self.begin_by_kind: dict[str, Callable[[Any], None]] = {
            "service_down": self._go_down,
            "service_silent": self._fall_silent,
            "service_slow": self._slow_down,
            "service_late": self._delay_events,
            "service_room": self._limit_watches,
            "service_restart": self._restart,
        }
        self.end_by_kind: dict[str, Callable[[], None]] = {
            "service_down": self._come_up,
            "service_silent": discovery.end_silence,
            "service_slow": self._end_slowness,
            "service_late": self._end_delay,
            "service_room": self._end_limit,
        }

    def begin(self, event: Any) -> bool:
        """Carry out an event, or start it if it lasts; return whether it is one on the service."""
        begin = self.begin_by_kind.get(event.do)
        if begin is None:
            return False
        begin(event)
        return True

    def end(self, event: Any) -> None:
        """End an event on the service that lasts; other events are ignored."""
        end = self.end_by_kind.get(event.do)
        if end is not None:
            end()

    def _go_down(self, _event: Any) -> None:
        self.discovery.go_down()

    def _come_up(self) -> None:
        self.discovery.down = False
        if self.discovery.has_agents:
            self.discovery.end_silence()

    def _fall_silent(self, _event: Any) -> None:
        self.discovery.silent = True

    def _slow_down(self, event: Any) -> None:
        self.discovery.watch_delay_s = event.amount

    def _end_slowness(self) -> None:
        self.discovery.watch_delay_s = 0.0

    def _delay_events(self, event: Any) -> None:
        self.discovery.model.event_delay_s = event.amount

    def _end_delay(self) -> None:
        self.discovery.model.event_delay_s = 0.0

    def _limit_watches(self, event: Any) -> None:
        self.discovery.model.watches_per_s = event.amount

    def _end_limit(self) -> None:
        self.discovery.model.watches_per_s = self.watches_per_s

    def _restart(self, event: Any) -> None:
        """Restart the service; it forgets the newest documents, as many as the event says."""
        if event.older:
            del self.discovery.documents[-event.older :]
        self.discovery.go_down()
        self.discovery.model.restart(int(event.amount))
        self._come_up()
