"""Network faults between processes: what happens to bytes and datagrams on each link.

Holds the faults in force by pair of names and by direction. The relays and emulated servers look up the state
of a link each time that bytes come to it.

Invariants:
    No socket is touched here.
"""

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

OPPOSITE_DIRECTION = {"cut_to": "cut_back", "cut_back": "cut_to"}


@dataclass(frozen=True, slots=True)
class LinkState:
    """The state of one link. `to` is the way from the proxy to the other process, `back` the way back."""

    delay: float = 0.0  # s
    cut_to: bool = False  # bytes are held back: silence without a reset
    cut_back: bool = False
    reset: bool = False  # connections are reset, new ones too
    rate: float = 0.0  # bytes a second; 0: not limited
    loss: float = 0.0  # share of datagrams that are lost


HEALTHY_LINK = LinkState()


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A change of all links between two groups of names.

    Attributes:
        ours: One side; directions of `changes` are seen from it.
        theirs: The other side.
        changes: Fields of LinkState and their values while the fault is in force.
    """

    near_side: frozenset[str]
    far_side: frozenset[str]
    changes: dict[str, Any] = field(hash=False)


class LinkFaults:
    """The faults in force, and the state of each link that follows from them.

    Attributes:
        spans: Faults that have ended: began (s), ended (s), names of the changed fields.
    """

    def __init__(self, seed: int) -> None:
        self.random_generator = Random(seed)
        self.faults: list[LinkFault] = []
        self.cached_states: dict[tuple[str, str], LinkState] = {}  # states looked up since the last change
        self.began_at: dict[int, float] = {}  # by identity of a fault in force
        self.ended_faults: list[tuple[float, float, str]] = []

    def state_of(self, proxy: str, other: str) -> LinkState:
        """Return the state of the link between a proxy and another process."""
        link = self.cached_states.get((proxy, other))
        if link is None:
            link = self._combined(proxy, other)
            self.cached_states[proxy, other] = link
        return link

    def _combined(self, proxy: str, other: str) -> LinkState:
        """Apply all faults in force to a healthy link, a later one over an earlier one."""
        link = HEALTHY_LINK
        for fault in self.faults:
            if proxy in fault.near_side and other in fault.far_side:
                link = replace(link, **fault.changes)
            elif (
                other in fault.near_side and proxy in fault.far_side
            ):  # two proxies, seen from the other side
                mirrored = {
                    OPPOSITE_DIRECTION.get(name, name): value for name, value in fault.changes.items()
                }
                link = replace(link, **mirrored)
        return link

    def begin(self, now: float, fault: LinkFault) -> None:
        """Put a fault in force at `now` (s)."""
        self.faults.append(fault)
        self.began_at[id(fault)] = now
        self.cached_states.clear()

    def end(self, now: float, fault: LinkFault) -> None:
        """Lift a fault at `now` (s).

        Raises:
            ValueError: The fault is not in force.
        """
        self.faults.remove(fault)
        self.ended_faults.append((self.began_at.pop(id(fault)), now, ",".join(sorted(fault.changes))))
        self.cached_states.clear()

    def loses_datagram(self, link: LinkState) -> bool:
        """Return whether a datagram on this link is lost; draws a random number where the link has a loss."""
        return link.cut_to or link.reset or (link.loss > 0.0 and self.random_generator.random() < link.loss)
