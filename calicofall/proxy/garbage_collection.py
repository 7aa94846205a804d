"""Garbage collections at intervals, and more of them while many connections close.

asyncio's transports are reference cycles. Closed ones would stay in the older generations for long.
"""

import gc

FULL_COLLECTION_ROUNDS = 20  # calls of `collect` between two collections of all generations
# Connections closed since the last collection of all generations, after which there is another one: each
# leaves some kilobytes of reference cycles.
FULL_COLLECTION_CLOSES = 64
YOUNGEST_GENERATION = 0
ALL_GENERATIONS = 2
THRESHOLDS = (20_000, 50, 1000)  # of objects, and of collections of the younger generations


def exempt_present_objects() -> None:
    """Keeps all objects that exist now out of collections, which stay short, so that timers are on time."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)


class GarbageCollection:
    """Collects the youngest generation at intervals, and all after some rounds or many closed connections."""

    def __init__(self) -> None:
        self.rounds = 0
        self.collected_closes = 0  # closes of connections until the last collection of all generations

    def collect(self, closes: int) -> None:
        """Does one round; `closes` is how many connections have ended since the start."""
        self.rounds += 1
        is_full = not self.rounds % FULL_COLLECTION_ROUNDS
        if is_full or closes - self.collected_closes >= FULL_COLLECTION_CLOSES:
            self.collected_closes = closes
            gc.collect(ALL_GENERATIONS)
        else:
            gc.collect(YOUNGEST_GENERATION)
