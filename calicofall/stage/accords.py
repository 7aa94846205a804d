"""Many instances of agreement in one process: time, clocks, messages and faults in hand.

Owns the moments, the links and what each instance may act on. Must never let an instance see the true time,
another's state, or more of the source than a proxy would.
"""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from calicofall.fleet.agreement import Agreement, Terms, majority, run_out

POLL = 0.5  # s between two looks at the source
GRID = 0.05  # s between two looks at who acts on what


class One:
    """A proxy: its clock, its instance, whether it runs."""

    def __init__(self, me: int, rate: float, offset: float) -> None:
        self.me, self.rate, self.offset = me, rate, offset
        self.instance: Any = None
        self.life, self.stopped, self.missed = 0, False, []

    def clock(self, now: float) -> float:
        return now * self.rate + self.offset


class Accord:
    """`fleet` proxies with a source. Links lose a part of messages, double some, delay all, and keep some
    (`stuck`) for up to 9 s."""

    def __init__(self, fleet: int, seed: int, lease: float = 3.0, drift: float = 0.01,
                 keepers: int | None = None, loss: float = 0.0, double: float = 0.0, slow: float = 0.02,
                 stuck: float = 0.0, make: Callable[..., Agreement] = Agreement) -> None:
        self.chance, self.lease, self.drift, self.make = Random(seed), lease, drift, make
        self.loss, self.double, self.slow, self.stuck = loss, double, slow, stuck
        members = frozenset(range(fleet))
        self.first = Terms(1, members, frozenset(range(keepers or fleet)), 0)
        self.documents: dict[int, Terms] = {1: self.first}
        self.source, self.source_up = 1, True  # its latest version
        self.fleet = [One(me, 1.0 + drift * self.chance.random(), 1000.0 * self.chance.random())
                      for me in range(fleet)]
        self.cuts: Counter[tuple[int, int]] = Counter()  # (from, to): how many cuts; -1 is the source
        self.held_up: dict[tuple[int, int], float] = {}  # links that take so long (s)
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.count, self.now = 0, 0.0
        self.worst, self.contradicted = 0.0, {}  # longest time of two on contradicting versions; since when
        self.late = 0.0  # longest that one acted on v alone after a majority held v' (s)
        self.held_by: dict[int, float] = {}  # when a majority of keepers first held a version
        self.refused = self.looked = 0  # looks at which a running proxy had no lease
        self.sent = 0
        for one in self.fleet:
            self.begin(one)
        self.at(0.0, self.look)

    def at(self, when: float, what: Callable, *values: Any) -> None:
        self.count += 1
        heappush(self.events, (when, self.count, what, values))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what, values = heappop(self.events)
            what(*values)
        self.now = until

    # Proxies

    def begin(self, one: One, told: tuple[Terms, ...] = ()) -> None:
        one.life += 1
        one.stopped = False
        life, chance = self.chance.getrandbits(40), Random(self.chance.getrandbits(40))
        one.instance = self.make(one.me, life, one.clock(self.now), self.lease, self.drift, chance, told)
        self.at(self.now + self.chance.uniform(0.0, 0.05), self.wake, one, one.life)
        self.at(self.now + self.chance.uniform(0.0, 0.05), self.poll, one, one.life)

    def alive(self, one: One, life: int, what: Callable, *values: Any) -> bool:
        """Whether it sees this now; one that is stopped sees it when it is woken."""
        if one.life == life and one.stopped:
            one.missed.append((what, values))
        return one.life == life and not one.stopped

    def wake(self, one: One, life: int) -> None:
        if self.alive(one, life, self.wake, one, life):
            words, at = one.instance.wake(one.clock(self.now))
            for to, word in words:
                self.send(one.me, to, word)
            self.at(self.now + max(0.01, (at - one.clock(self.now)) / one.rate), self.wake, one, life)

    def poll(self, one: One, life: int) -> None:
        if self.alive(one, life, self.poll, one, life):
            if self.source_up and not (self.cuts[one.me, -1] or self.cuts[-1, one.me]):
                top = one.instance.top or self.source - 1  # a new life asks for the latest alone
                if self.chance.random() < 0.1:
                    top = max(top, self.source - 1)  # a watch that broke off, and begins with the latest
                for version in range(top + 1, self.source + 1):
                    one.instance.heard(one.clock(self.now), self.documents[version])
            self.at(self.now + POLL, self.poll, one, life)

    def send(self, sender: int, to: int, word: Any) -> None:
        self.sent += 1
        if self.cuts[sender, to] or self.chance.random() < self.loss:
            return
        for _ in range(1 + (self.chance.random() < self.double)):
            late = self.chance.uniform(0.0, 9.0) if self.chance.random() < self.stuck else 0.0
            late += self.held_up.get((sender, to), 0.0)
            self.at(self.now + self.slow * self.chance.random() ** 3 * 10.0 + late, self.hand, to, word)

    def hand(self, to: int, word: Any) -> None:
        one = self.fleet[to]
        if self.alive(one, one.life, self.hand, to, word):
            now = one.clock(self.now)
            if word.asks:
                self.send(to, word.sender, one.instance.asked(now, word))
            else:
                one.instance.answered(now, word)

    # Faults

    def publish(self, members: frozenset[int] | None = None, keepers: frozenset[int] | None = None) -> int:
        before = self.documents[max(self.documents)]
        version = before.version + 1
        self.documents[version] = Terms(version, members or before.members, keepers or before.keepers,
                                        before.version)
        self.source = version
        return version

    def stop(self, me: int, span: float) -> None:
        one = self.fleet[me]
        if not one.stopped:
            one.stopped = True
            self.at(self.now + span, self.woken, one, one.life)

    def woken(self, one: One, life: int) -> None:
        if one.life == life:
            one.stopped = False
            missed, one.missed = one.missed, []
            self.look_at()  # it acts before it has seen what came meanwhile
            for what, values in missed:
                what(*values)

    def restart(self, me: int) -> None:
        one = self.fleet[me]
        one.missed = []
        self.begin(one)

    def isolate(self, me: int, way: str, span: float) -> None:
        pairs = {(me, other) for other in range(-1, len(self.fleet)) if way != "in"}
        pairs |= {(other, me) for other in range(-1, len(self.fleet)) if way != "out"}
        self.cut(pairs, span)

    def cut(self, pairs: set[tuple[int, int]], span: float = 1e9) -> None:
        self.cuts.update(pairs)
        self.at(self.now + span, self.cuts.subtract, pairs)

    def split(self, part: set[int], span: float) -> None:
        rest = set(range(len(self.fleet))) - part
        self.cut({(a, b) for a in part for b in rest} | {(b, a) for a in part for b in rest}, span)

    # The referee

    def look(self) -> None:
        self.look_at()
        self.at(self.now + GRID, self.look)

    def look_at(self) -> None:
        """Two that are leased act on contradicting versions where no version is obeyed by both."""
        acts = {}
        for one in self.fleet:
            if not one.stopped:
                standing = one.instance.standing(one.clock(self.now))
                self.looked += 1
                self.refused += not standing.leased
                if standing.leased:
                    acts[one.me] = set(standing.versions)
        for version, terms in self.documents.items():
            holders = sum(version in self.fleet[keeper].instance.held for keeper in terms.keepers)
            knowing = sum(self.fleet[keeper].instance.known >= version for keeper in terms.keepers)
            if knowing < majority(terms.keepers):
                self.held_by.pop(version, None)  # forgotten by those that held it
            elif version not in self.held_by and holders >= majority(terms.keepers):
                self.held_by[version] = self.now
        pairs = {(a, b) for a in acts for b in acts if a < b and not acts[a] & acts[b]}
        for pair in pairs:
            since = self.contradicted.setdefault(pair, self.now)
            self.worst = max(self.worst, self.now - since + GRID)
        for pair in self.contradicted.keys() - pairs:
            del self.contradicted[pair]
        for versions in acts.values():
            newer = [at for version, at in self.held_by.items() if version > max(versions)]
            if newer:
                self.late = max(self.late, self.now - min(newer))

    def agreed(self) -> bool:
        """Whether all that run act on the source's version alone."""
        return all(one.instance.standing(one.clock(self.now)) == ((self.source,), True) for one in self.fleet)

    @property
    def bound(self) -> float:
        """T: so long may a proxy that hears nothing act on a version after a majority held a newer one."""
        return run_out(self.lease, self.drift)


def walk(accord: Accord, seconds: float, calm: float = 12.0) -> None:
    """Faults drawn from the accord's seed, publishing meanwhile; then calm, so that all may agree."""
    chance, count = accord.chance, len(accord.fleet)
    accord.run(4.0)
    while accord.now < seconds:
        accord.run(accord.now + chance.uniform(0.1, 1.5))
        what, me = chance.randrange(9), chance.randrange(count)
        span = chance.choice([0.5, 2.0, 5.0, 9.0])
        if what == 0:
            accord.publish()
        elif what == 1:
            accord.stop(me, span)
        elif what == 2:
            accord.restart(me)
        elif what == 3:
            accord.isolate(me, chance.choice(["in", "out", "both"]), span)
        elif what == 4:
            accord.split(set(chance.sample(range(count), chance.randint(1, count - 1))), span)
        elif what == 5:  # the service is killed, and is back, perhaps with an older version
            accord.source_up = not accord.source_up
            if chance.random() < 0.5:
                accord.source = chance.randint(1, accord.source)
        elif what == 6:
            for other in range(count):
                if chance.random() < 1 / 3:
                    accord.stop(other, span)
        elif what == 7:  # a publication, and proxies that forget while it is under way
            accord.publish()
            accord.run(accord.now + chance.uniform(0.0, 1.5))
            accord.source -= chance.random() < 0.5
            for other in range(count):
                if chance.random() < 1 / 2:
                    accord.restart(other)
        elif count > 3 and chance.random() < 0.3:  # one keeper more or fewer
            keepers = accord.documents[max(accord.documents)].keepers
            accord.publish(keepers=keepers ^ {me} if len(keepers ^ {me}) >= 3 else keepers)
    accord.source, accord.source_up = max(accord.documents), True
    accord.run(accord.now + 10.0)  # the longest fault is over by then
    accord.run(accord.now + calm)


def schedules() -> list[tuple[tuple, float, tuple]]:
    """Every pair of faults for three proxies, the first as a version is published, one later."""
    one: list[tuple] = [("publish",), ("older",)]
    for me in range(3):
        one += [("stop", me, 1.0), ("stop", me, 6.0), ("restart", me), ("restart", me, (me + 1) % 3)]
        one += [("isolate", me, way, span) for way in ("in", "out", "both") for span in (1.5, 5.0)]
    return [(first, wait, second) for first in one for wait in (0.0, 0.4, 1.5, 3.3) for second in one]


def scheduled(plan: tuple[tuple, float, tuple], make: Callable[..., Agreement] = Agreement) -> Accord:
    """Three proxies through one of the schedules, then calm."""
    first, wait, second = plan
    accord = Accord(3, 1, make=make)
    accord.run(4.5)
    accord.publish()

    def fault(what: str, *values: Any) -> None:
        if what == "older":
            accord.source = 1
        elif what == "restart":
            for me in values:
                accord.restart(me)
        else:
            getattr(accord, what)(*values)

    accord.run(4.8)
    fault(*first)
    accord.run(4.8 + wait)
    fault(*second)
    accord.run(12.0)
    accord.source = max(accord.documents)
    accord.run(21.0)
    return accord
