"""Checks of invariants: asserted in debug builds, counted in release builds (`python -O`).

Invariants: in release builds, a check has no effect on the program other than the counts.
"""

from collections import Counter

violation_counts: Counter[str] = Counter()  # violations by the description of the invariant


def check_invariant(condition: bool, description: str) -> None:
    """Checks an invariant.

    Args:
        condition: Whether the invariant holds.
        description: The invariant in words; violations are counted by it.

    Raises:
        AssertionError: The invariant does not hold, in a debug build.
    """
    assert condition, description
    if not condition:
        violation_counts[description] += 1
