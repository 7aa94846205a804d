"""How far the start of a proxy has come, and how long each phase took to reach.

Invariants: a phase is reached once in the life of a process.
"""

# The words are those that operators read in logs and in the answer to `phases`.
PHASES = ("list asked", "list heard", "door open", "first RPC", "limits found")


class StartupPhases:
    """The phases reached since the process began to serve its configuration (`now`: monotonic seconds)."""

    def __init__(self, now: float) -> None:
        self._started_at_s = now
        self.elapsed_ms_by_phase: dict[str, float] = {}  # milliseconds since the start, by phase

    def mark_reached(self, name: str, now: float) -> float | None:
        """Milliseconds since the start if the phase is reached for the first time, else None."""
        if name in self.elapsed_ms_by_phase:
            return None
        self.elapsed_ms_by_phase[name] = round((now - self._started_at_s) * 1000.0, 1)
        return self.elapsed_ms_by_phase[name]

    def format_lines(self) -> list[str]:
        """One line for each phase, with its time in milliseconds, or `-` if it is not reached."""
        return [
            f"start.{name.replace(' ', '_')}:{self.elapsed_ms_by_phase.get(name, '-')}" for name in PHASES
        ]
