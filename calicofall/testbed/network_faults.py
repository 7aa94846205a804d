"""Network faults between processes: what happens to bytes and datagrams on each link.

The relays and emulated servers look up the state of a link, by the names of its two ends, each time that
bytes or a datagram pass it.

Invariants:
    No socket is touched here.
"""

from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

OPPOSITE_DIRECTION = {"cut_to": "cut_back", "cut_back": "cut_to"}


@dataclass(frozen=True, slots=True)
class LinkState:
    """The state of the link between a proxy and another process.

    Attributes:
        delay: Delay of all bytes and datagrams (s).
        cut_to: Whether bytes from the proxy are held back, without a reset.
        cut_back: Whether bytes to the proxy are held back, without a reset.
        reset: Whether connections are reset, new ones too.
        rate: Throughput limit (bytes a second); 0: not limited.
        loss: Fraction of datagrams that are lost.
    """

    delay: float = 0.0
    cut_to: bool = False
    cut_back: bool = False
    reset: bool = False
    rate: float = 0.0
    loss: float = 0.0


HEALTHY_LINK = LinkState()


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A change of all links between two groups of processes.

    Attributes:
        near_side: Names of one group; directions of `changes` are seen from it.
        far_side: Names of the other group.
        changes: Fields of LinkState and their values while the fault is in force.
    """

    near_side: frozenset[str]
    far_side: frozenset[str]
    changes: dict[str, Any] = field(hash=False)


class LinkFaults:
    """The faults in force, and the state of each link that follows from them.

    Attributes:
        ended_faults: Faults that have ended: began (s), ended (s), names of the changed fields.
    """

    def __init__(self, seed: int) -> None:
        self.random_generator = Random(seed)
        self.faults: list[LinkFault] = []
        self.cached_states: dict[tuple[str, str], LinkState] = {}  # since the last change of the faults
        self.began_at: dict[int, float] = {}  # by id() of a fault in force (s)
        self.ended_faults: list[tuple[float, float, str]] = []

    def state_of(self, proxy: str, peer: str) -> LinkState:
        """Return the state of the link between a proxy and another process."""
        link = self.cached_states.get((proxy, peer))
        if link is None:
            link = self._combined(proxy, peer)
            self.cached_states[proxy, peer] = link
        return link

    def _combined(self, proxy: str, peer: str) -> LinkState:
        """Apply all faults in force to a healthy link, a later one over an earlier one."""
        link = HEALTHY_LINK
        for fault in self.faults:
            if proxy in fault.near_side and peer in fault.far_side:
                link = replace(link, **fault.changes)
            elif peer in fault.near_side and proxy in fault.far_side:  # two proxies, seen from the other side
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
