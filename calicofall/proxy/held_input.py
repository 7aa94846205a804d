"""When input arrived that a connection did not process at once, since replies or memory did not allow it.

A request's time counts from the arrival of its last byte. While a connection does not read, that byte may
lie in the kernel's buffer, which does not tell when it arrived; it counts as arrived when the connection
stopped reading.

Invariants: no request has more time than its client left it.
"""


class HeldInput:
    """The arrival times of input that is held up, as positions in all input of one connection."""

    def __init__(self) -> None:
        # Where held input ends (bytes since the connection was opened), and when it arrived (s, loop time).
        self._arrivals: list[tuple[int, float]] = []

    def __len__(self) -> int:
        return len(self._arrivals)

    def hold(self, end_offset: int, arrived_at: float) -> None:
        """Records that the input up to an offset had arrived at a time, unless an earlier time is known."""
        if not self._arrivals or end_offset > self._arrivals[-1][0]:
            self._arrivals.append((end_offset, arrived_at))

    def arrived_at(self, offset: int, now: float) -> float:
        """Returns when the input before an offset had arrived; now, if it was not held up."""
        return next((arrived_at for end, arrived_at in self._arrivals if end >= offset), now)

    def take_wait_s(self, end_offset: int, now: float) -> float:
        """Returns how long a command that ends at an offset was held up, and forgets what came before it."""
        while self._arrivals and self._arrivals[0][0] < end_offset:
            del self._arrivals[0]
        return now - self._arrivals[0][1] if self._arrivals else 0.0
