"""The phases of a proxy's start, and the time at which each one was reached.

Invariants: each phase is reached at most once per process.
"""

# Operators see these names in logs and in the response to the management call `phases`.
PHASES = ("list asked", "list heard", "door open", "first RPC", "limits found")


class StartupPhases:
    """The phases that were reached since the proxy was created.

    Args:
        now: The monotonic clock, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._started_at_s = now
        self.elapsed_ms_by_phase: dict[str, float] = {}  # since the start

    def mark_reached(self, name: str, now: float) -> float | None:
        """Records a phase; returns the milliseconds since the start, or None if it was recorded before."""
        if name in self.elapsed_ms_by_phase:
            return None
        self.elapsed_ms_by_phase[name] = round((now - self._started_at_s) * 1000.0, 1)
        return self.elapsed_ms_by_phase[name]

    def format_lines(self) -> list[str]:
        """One line for each phase, with its time in milliseconds, or `-` if it has not been reached."""
        return [
            f"start.{name.replace(' ', '_')}:{self.elapsed_ms_by_phase.get(name, '-')}" for name in PHASES
        ]
