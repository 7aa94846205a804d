"""Ids of requests whose clients left while an attempt may have run.

If a client comes again under the same id, the request must not run a second time.

Invariants: an id is remembered for RETENTION_S, unless more than MAX_IDS others have come since.
"""

from calicofall.proxy.departure_file import DepartureFile

RETENTION_S = 60.0
MAX_IDS = 2048


class DepartedRequests:
    """The ids, the oldest first."""

    def __init__(self) -> None:
        self._departed_at: dict[bytes, float] = {}  # (s)
        self.shared_file: DepartureFile | None = None  # with other processes of the proxy

    def __len__(self) -> int:
        return len(self._departed_at)

    def add(self, request_id: bytes, now: float) -> None:
        """Remembers an id, also for other processes of the proxy; `now` is the time (s)."""
        self._remember(request_id, now)
        if self.shared_file is not None:
            self.shared_file.append(request_id, now)

    def _remember(self, request_id: bytes, now: float) -> None:
        self._departed_at.pop(request_id, None)
        self._departed_at[request_id] = now
        if len(self._departed_at) > MAX_IDS:
            del self._departed_at[next(iter(self._departed_at))]

    def may_have_run(self, request_id: bytes, now: float) -> bool:
        """Returns whether a request of this id, whose client has left, may have run."""
        if self.shared_file is not None:
            for shared_id, at in self.shared_file.read_new():
                self._remember(shared_id, at)
        departed_at = self._departed_at.get(request_id)
        return departed_at is not None and now - departed_at < RETENTION_S
