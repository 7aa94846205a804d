"""The calls of operators on the management address: the proxy's state, its counters, and the way out.

Invariants: a call that is unknown, or whose component is not configured, changes nothing.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicofall.proxy.server import Proxy

OK_PREFIX = "+OK"  # first characters of a successful reply
ERROR_PREFIX = "-ERR"  # first characters of an error reply


class OperatorCalls:
    """Carries out operators' calls on one proxy."""

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy = proxy

    def handle(self, call: str) -> str:
        """Executes a call and returns the reply."""
        proxy = self.proxy
        lines = self._status_lines(call)
        if lines is not None:
            return "\n".join([OK_PREFIX, *lines, "."])
        if call == "health":
            return f"{OK_PREFIX if proxy.serving() else ERROR_PREFIX} {proxy.state()}"
        if call == "record" and proxy.recorder is not None:
            return f"{OK_PREFIX} saved in {proxy.recorder.save()}"
        if call == "quiesce":
            return self._quiesce()
        if call == "resume":
            return self._resume()
        return f"{ERROR_PREFIX} unknown call: health, counters, phases, quiesce or resume"

    def _status_lines(self, call: str) -> list[str] | None:
        """Returns the lines of a status call; None for other calls, or if its component is not configured."""
        proxy = self.proxy
        sources: dict[str, Callable[[], list[str]]] = {
            "counters": proxy.metrics.format_lines,
            "phases": proxy.phases.format_lines,
        }
        if proxy.gossip is not None:
            membership = proxy.gossip.membership
            sources["lists"] = proxy.gossip.format_lines
            sources["members"] = lambda: membership.format_lines(proxy.loop.time())
        if proxy.quotas is not None:
            sources["limits"] = proxy.quotas.format_lines
        if proxy.outliers is not None:
            sources["verdicts"] = proxy.outliers.format_lines
        if proxy.configuration_sync is not None:
            sources["versions"] = proxy.configuration_sync.format_lines
        if proxy.recorder is not None:
            sources["recorded"] = proxy.recorder.format_lines
        source = sources.get(call)
        return None if source is None else source()

    def _quiesce(self) -> str:
        proxy = self.proxy
        if proxy.listener is None:
            return f"{ERROR_PREFIX} {proxy.state()}"
        if proxy.shutdown.began_at is None:
            proxy.log_event("emptying")
        proxy.shutdown.begin()
        return f"{OK_PREFIX} emptying"

    def _resume(self) -> str:
        if not self.proxy.shutdown.cancel():
            return f"{ERROR_PREFIX} terminating"
        self.proxy.log_event("resumed")
        return f"{OK_PREFIX} {self.proxy.state()}"
