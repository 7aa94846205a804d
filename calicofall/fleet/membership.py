"""Membership: a failure detector that determines which members of the fleet are alive, without I/O.

In each round a proxy probes the next member of a shuffled order, and some of the members that it or a peer
suspects. A member that does not answer in time is probed through other members. Probes and answers carry
suspicions, which only cause probes. The protocol follows SWIM (Das, Gupta, Motivala 2002), except that a
proxy trusts its own probes alone, so no refutations with incarnation counters are needed. The result is a
hint: a wrong one costs quality of service, never correctness.

States of a member and transitions. The names are those of `MemberState`; operators read the values of that
enumeration (here, doubted, away, unmet):

- UNMET: the member has never answered. An answer changes the state to ALIVE; it becomes SUSPECTED as below.
- ALIVE: the last probe was answered, to this proxy or to a member that probed on its behalf. The state
  changes to SUSPECTED when a round ends without an answer.
- SUSPECTED: an answer to any probe changes the state to ALIVE. The state changes to AWAY once the member has
  been suspected for SUSPICION_TIMEOUT_S, and has failed MIN_FAILED_ROUNDS rounds, or one round if
  CONFIRMING_PEERS others suspect the same incarnation.
- AWAY: the member is probed once per pass over the order, and when it probes this proxy. An answer to a probe
  that was sent after the member became AWAY changes the state to ALIVE.

An answer to a later probe by another incarnation ends the former incarnation, and all suspicions of it.

Invariants:
- A peer's message alone never changes a member's state to AWAY.
- Suspicions of one incarnation are never applied to another.
- While this proxy is isolated, or its own timers run late, it declares no member to be away.
- A round sends at most 1 + SUSPECTS_PER_ROUND probes, and INDIRECT_PROBERS requests for each probe that is
  not answered, whatever the size of the fleet.

Time to detection, for N members of which d fail at the same time, without message loss:

- first suspicion by any member: ROUND_INTERVAL_S * (1 + 1 / (1 - 1 / e)) on average; each member has probed
  the failed one within 2 N rounds
- all members know the suspicion: ROUND_INTERVAL_S * log2(N) later
- away: SUSPICION_TIMEOUT_S + ROUND_INTERVAL_S * MIN_FAILED_ROUNDS * ceil(d / SUSPECTS_PER_ROUND) after that
"""

from enum import IntEnum, StrEnum
from math import ceil, inf, log2
from random import Random
from typing import NamedTuple

ROUND_INTERVAL_S = 1.0
DIRECT_ANSWER_TIMEOUT_S = 0.3  # time after which other members are asked to probe
INDIRECT_PROBERS = 3  # members that are asked to probe one that has not answered
SUSPECTS_PER_ROUND = 4
SUSPICIONS_PER_MESSAGE = 4
SUSPICION_TIMEOUT_S = 5.0  # shortest time between SUSPECTED and AWAY
MIN_FAILED_ROUNDS = 3
CONFIRMING_PEERS = 2
RECENT_ANSWER_S = 3.0  # a member that answered a probe within this time is not probed for a peer's suspicion
MAX_ROUND_LATENESS_S = 0.3  # a round that ends later than this is void
PROBE_LIFETIME_S = 10.0  # answers to older probes are ignored, and older suspicions do not count
ISOLATION_ROUNDS = 3.0  # after this many rounds without any answer, this proxy considers itself isolated
MAX_RELAYED_PROBES = 32  # outstanding probes on behalf of other members
MAX_QUEUED_SUSPICIONS = 64
MAX_SEEN_SUSPICIONS = 256
MAX_FORMER_INCARNATIONS = 4  # remembered for each member


class ProbeKind(IntEnum):
    """The kind of a message; the numbers are those in datagrams."""

    PROBE = 0
    PROBE_ANSWER = 1
    INDIRECT_PROBE = 2  # a request to probe `subject` on the sender's behalf
    INDIRECT_ANSWER = 3  # `subject` has answered the sender, which probed it on the receiver's behalf


class MemberState(StrEnum):
    """The state of a member as seen by this proxy; the values are those that operators read."""

    ALIVE = "here"
    SUSPECTED = "doubted"
    AWAY = "away"
    UNMET = "unmet"
    NOT_A_MEMBER = "no member"


COUNTED_STATES = (MemberState.ALIVE, MemberState.SUSPECTED, MemberState.AWAY, MemberState.UNMET)


class MembershipProbe(NamedTuple):
    """A probe or an answer; sent as an array of these fields, in this order.

    Attributes:
        kind: a `ProbeKind`.
        sender: number of the proxy that sends the message.
        incarnation: the sender's incarnation.
        correlation_id: identifier of the probe among those of its sender, which an answer repeats.
        subject: the member that the message is about.
        subject_incarnation: incarnation of the subject, in an `INDIRECT_ANSWER`; otherwise 0.
        suspicions: three numbers for each: the member, its incarnation, and the member that suspects it.
    """

    kind: int
    sender: int
    incarnation: int
    correlation_id: int
    subject: int
    subject_incarnation: int
    suspicions: tuple[int, ...]


class Suspicion(NamedTuple):
    """A suspicion: a member suspects an incarnation of another member."""

    member: int
    incarnation: int
    suspected_by: int


class OutstandingProbe(NamedTuple):
    """A probe that may still be answered: its receiver, and when it was sent (s)."""

    member: int
    sent_at: float


class RelayedProbe(NamedTuple):
    """The member on whose behalf a probe was sent, and the identifier of that member's request."""

    requester: int
    request_correlation_id: int


class PeerState:
    """What this proxy knows about a member; points in time are in seconds."""

    __slots__ = (
        "incarnation",
        "former_incarnations",
        "last_answered_at",
        "reached_via",
        "suspected_since",
        "failed_rounds",
        "suspecting_peers",
        "away_since",
    )

    def __init__(self) -> None:
        self.incarnation = 0  # 0: the member has never answered
        self.former_incarnations: list[int] = []
        self.last_answered_at = -inf  # when the latest probe was sent that the member has answered
        self.reached_via: int | None = None  # the member that reached it when this proxy's probe did not
        self.suspected_since: float | None = None
        self.failed_rounds = 0  # rounds without an answer since the suspicion began
        # By peer that suspects this incarnation, when its suspicion arrived.
        self.suspecting_peers: dict[int, float] = {}
        self.away_since: float | None = None

    @property
    def state(self) -> MemberState:
        """The state of the member."""
        if self.away_since is not None:
            return MemberState.AWAY
        if self.suspected_since is not None:
            return MemberState.SUSPECTED
        return MemberState.ALIVE if self.incarnation else MemberState.UNMET

    def knows_incarnation(self, incarnation: int) -> bool:
        """Returns whether the incarnation is the present one or a former one."""
        return incarnation == self.incarnation or incarnation in self.former_incarnations

    def begin_incarnation(self, incarnation: int) -> None:
        """Starts a new incarnation of the member; suspicions of the former one do not apply to it."""
        if self.incarnation:
            self.former_incarnations = [*self.former_incarnations, self.incarnation][
                -MAX_FORMER_INCARNATIONS:
            ]
        self.incarnation = incarnation
        self.suspecting_peers.clear()

    def suspect(self, now: float) -> None:
        """Starts or restarts the suspicion of the member, with no failed rounds so far."""
        self.suspected_since = now
        self.failed_rounds = 0

    def current_suspecting_peers(self, now: float) -> dict[int, float]:
        """Returns the peers that suspect this incarnation, without suspicions that are too old."""
        earliest = now - PROBE_LIFETIME_S
        return {peer: at for peer, at in self.suspecting_peers.items() if at >= earliest}

    def is_failed(self, now: float) -> bool:
        """Returns whether the member has been suspected long enough to be away."""
        if self.suspected_since is None or now - self.suspected_since < SUSPICION_TIMEOUT_S:
            return False
        if self.failed_rounds >= MIN_FAILED_ROUNDS:
            return True
        return self.failed_rounds > 0 and len(self.current_suspecting_peers(now)) >= CONFIRMING_PEERS


class Membership:
    """The members of the fleet as one proxy sees them.

    `proxy_number` is this proxy's number. Points in time are in seconds of this proxy's own clock.
    """

    def __init__(
        self,
        proxy_number: int,
        incarnation: int,
        members: frozenset[int],
        now: float,
        random_generator: Random,
    ) -> None:
        self.proxy_number = proxy_number
        self.incarnation = incarnation
        self.random_generator = random_generator
        self.peers: dict[int, PeerState] = {}
        self.probe_order: list[int] = []
        self.last_probe_id = random_generator.getrandbits(40)
        self.outstanding_probes: dict[int, OutstandingProbe] = {}
        self.unanswered: dict[int, int] = {}  # probes of this round: the member, by the probe's identifier
        self.relayed_probes: dict[int, RelayedProbe] = {}  # by the identifier of this proxy's probe
        self.probe_queue: dict[int, None] = {}  # members to probe besides the order, longest waiting first
        # By suspicion, how many more times it is to be sent.
        self.queued_suspicions: dict[tuple[int, int, int], int] = {}
        self.seen_suspicions: dict[tuple[int, int, int], float] = {}  # by suspicion, when it last arrived
        self.last_contact_at = now  # when the latest probe was sent that any member has answered
        self.next_round_at = now
        self.indirect_probes_at = inf
        self.rounds_judged = 0
        self.rounds_void = 0  # rounds that did not count, since this proxy's timer was late
        self.away_changed = False
        self.set_members(members)

    def set_members(self, members: frozenset[int]) -> None:
        """Sets the members; the state of those that stay is kept."""
        others = members - {self.proxy_number}
        for member in self.peers.keys() - others:
            del self.peers[member]
            self.probe_queue.pop(member, None)
        for member in others - self.peers.keys():
            self.peers[member] = PeerState()
        self.probe_order = [member for member in self.probe_order if member in others]
        self.transmissions = 2 * ceil(log2(len(others) + 2))  # how many times each suspicion is sent

    # Queries

    def state(self, member: int) -> MemberState:
        """Returns the state of a member; this proxy itself is always alive."""
        peer = self.peers.get(member)
        if peer is not None:
            return peer.state
        return MemberState.ALIVE if member == self.proxy_number else MemberState.NOT_A_MEMBER

    def away_members(self) -> frozenset[int]:
        """Returns the members that are away."""
        return frozenset(member for member, peer in self.peers.items() if peer.away_since is not None)

    def alive_members(self) -> list[int]:
        """Returns the members that are alive: they have answered, and are neither suspected nor away."""
        return [member for member, peer in self.peers.items() if peer.state is MemberState.ALIVE]

    def is_isolated(self, now: float) -> bool:
        """Returns whether no member has answered recently, so that this proxy itself is probably cut off."""
        return now - self.last_contact_at > ISOLATION_ROUNDS * ROUND_INTERVAL_S

    # Messages

    def on_message(self, now: float, message: MembershipProbe) -> list[tuple[int, MembershipProbe]]:
        """Handles a message; returns the messages to send, each with its receiver."""
        sender = self.peers.get(message.sender)
        if sender is None:
            return []  # from this proxy itself, or from a proxy that is not a member
        for start in range(0, len(message.suspicions) - 2, 3):
            self._on_suspicion(now, *message.suspicions[start : start + 3])
        if message.kind == ProbeKind.PROBE:
            return self._on_probe(message, sender)
        if message.kind == ProbeKind.INDIRECT_PROBE:
            return self._on_indirect_probe(now, message)
        return self._on_answer(message)

    def _on_probe(self, message: MembershipProbe, sender: PeerState) -> list[tuple[int, MembershipProbe]]:
        # A probe may be a duplicate of an old one, so it is no evidence and only causes a probe of its
        # sender.
        is_new = not sender.knows_incarnation(message.incarnation)
        if is_new or sender.suspected_since is not None or sender.away_since is not None:
            self.probe_queue.setdefault(message.sender)
        return [
            (message.sender, self._message(ProbeKind.PROBE_ANSWER, message.correlation_id, message.sender))
        ]

    def _on_indirect_probe(self, now: float, message: MembershipProbe) -> list[tuple[int, MembershipProbe]]:
        if message.subject not in self.peers or len(self.relayed_probes) >= MAX_RELAYED_PROBES:
            return []
        correlation_id, probe = self._probe(now, message.subject)
        self.relayed_probes[correlation_id] = RelayedProbe(message.sender, message.correlation_id)
        return [(message.subject, probe)]

    def _on_answer(self, message: MembershipProbe) -> list[tuple[int, MembershipProbe]]:
        probe = self.outstanding_probes.get(message.correlation_id)
        is_direct = message.kind == ProbeKind.PROBE_ANSWER
        if (
            probe is None
            or probe.member != message.subject
            or (is_direct and message.subject != message.sender)
        ):
            return []  # to no probe of this incarnation, too late, or a duplicate
        del self.outstanding_probes[message.correlation_id]
        self.unanswered.pop(message.correlation_id, None)
        if not is_direct:
            self._record_answer(message.subject, message.subject_incarnation, probe.sent_at, message.sender)
            return []
        self._record_answer(message.subject, message.incarnation, probe.sent_at, None)
        relayed = self.relayed_probes.pop(message.correlation_id, None)
        if relayed is None:
            return []
        answer = self._message(
            ProbeKind.INDIRECT_ANSWER, relayed.request_correlation_id, message.sender, message.incarnation
        )
        return [(relayed.requester, answer)]

    def _record_answer(self, member: int, incarnation: int, sent_at: float, via: int | None) -> None:
        """Records an answer to a probe that was sent at `sent_at`; `via` is the prober if it was indirect."""
        self.last_contact_at = max(self.last_contact_at, sent_at)
        peer = self.peers[member]
        if sent_at < peer.last_answered_at:
            return  # a delayed answer, perhaps of a former incarnation
        if incarnation != peer.incarnation:
            peer.begin_incarnation(incarnation)
        peer.last_answered_at = sent_at
        peer.reached_via = via
        if peer.away_since is not None and sent_at <= peer.away_since:
            return  # the probe was sent before the member became AWAY
        self.away_changed |= peer.away_since is not None
        peer.suspected_since = None
        peer.away_since = None
        peer.failed_rounds = 0
        self.probe_queue.pop(member, None)
        self.queued_suspicions.pop((member, incarnation, self.proxy_number), None)

    def _on_suspicion(self, now: float, member: int, incarnation: int, suspected_by: int) -> None:
        """Handles a suspicion of a member by the member `suspected_by`."""
        peer = self.peers.get(member)
        if peer is None or suspected_by == member or suspected_by not in self.peers:
            return
        suspicion = Suspicion(member, incarnation, suspected_by)
        is_repeated = self.seen_suspicions.get(suspicion, -inf) >= now - PROBE_LIFETIME_S
        if is_repeated or incarnation in peer.former_incarnations:
            return
        self._remember_suspicion(now, suspicion)
        self._queue_suspicion(*suspicion)
        if incarnation == peer.incarnation:
            peer.suspecting_peers = peer.current_suspecting_peers(now) | {suspected_by: now}
        # A member that has answered recently is not probed: otherwise a suspicion would make the whole fleet
        # probe it at once, and where links lose datagrams some of these probes would fail and cause new
        # suspicions without end. An incarnation that has not answered this proxy yet is probed, too.
        is_stale = peer.last_answered_at < now - RECENT_ANSWER_S or incarnation != peer.incarnation
        if peer.away_since is None and is_stale:
            self.probe_queue.setdefault(member)

    def _remember_suspicion(self, now: float, suspicion: Suspicion) -> None:
        self.seen_suspicions.pop(suspicion, None)
        while len(self.seen_suspicions) >= MAX_SEEN_SUSPICIONS:
            del self.seen_suspicions[next(iter(self.seen_suspicions))]
        self.seen_suspicions[suspicion] = now

    def _queue_suspicion(self, member: int, incarnation: int, suspected_by: int) -> None:
        while len(self.queued_suspicions) >= MAX_QUEUED_SUSPICIONS:
            del self.queued_suspicions[next(iter(self.queued_suspicions))]
        self.queued_suspicions[Suspicion(member, incarnation, suspected_by)] = self.transmissions

    def _message(
        self, kind: int, correlation_id: int, subject: int, subject_incarnation: int = 0
    ) -> MembershipProbe:
        """Returns a message, with the suspicions that have been sent least often."""
        suspicions = sorted(self.queued_suspicions, key=self.queued_suspicions.__getitem__, reverse=True)[
            :SUSPICIONS_PER_MESSAGE
        ]
        for suspicion in suspicions:
            self.queued_suspicions[suspicion] -= 1
            if not self.queued_suspicions[suspicion]:
                del self.queued_suspicions[suspicion]
        subject = self.proxy_number if kind in (ProbeKind.PROBE, ProbeKind.PROBE_ANSWER) else subject
        numbers = tuple(number for suspicion in suspicions for number in suspicion)
        return MembershipProbe(
            kind, self.proxy_number, self.incarnation, correlation_id, subject, subject_incarnation, numbers
        )

    def _probe(self, now: float, member: int) -> tuple[int, MembershipProbe]:
        """Returns a new probe of a member, after its identifier."""
        self.last_probe_id += 1
        correlation_id = self.last_probe_id
        self.outstanding_probes[correlation_id] = OutstandingProbe(member, now)
        if self.state(member) is MemberState.ALIVE:
            return correlation_id, self._message(ProbeKind.PROBE, correlation_id, member)
        # Carries no suspicions: each is sent a limited number of times, and those sent to failed members
        # would not spread.
        return correlation_id, MembershipProbe(
            ProbeKind.PROBE, self.proxy_number, self.incarnation, correlation_id, self.proxy_number, 0, ()
        )

    # Rounds

    def wake(self, now: float) -> tuple[list[tuple[int, MembershipProbe]], float]:
        """Returns the messages to send, each with its receiver, and the time of the next call (s)."""
        messages: list[tuple[int, MembershipProbe]] = []
        if now >= self.indirect_probes_at:
            self.indirect_probes_at = inf
            messages += self._request_indirect_probes()
        if now >= self.next_round_at:
            self._end_round(now)
            messages += self._begin_round(now)
        return messages, min(self.next_round_at, self.indirect_probes_at)

    def _request_indirect_probes(self) -> list[tuple[int, MembershipProbe]]:
        """Asks other members to probe those that have not answered in this round."""
        messages = []
        reachable = [
            member for member, peer in self.peers.items() if peer.incarnation and peer.away_since is None
        ]
        for correlation_id, member in self.unanswered.items():
            others = [other for other in reachable if other != member]
            for prober in self.random_generator.sample(others, min(INDIRECT_PROBERS, len(others))):
                messages.append((prober, self._message(ProbeKind.INDIRECT_PROBE, correlation_id, member)))
        return messages

    def _end_round(self, now: float) -> None:
        """Suspects the members that have not answered, and determines those that are away."""
        lateness = now - self.next_round_at
        if lateness > MAX_ROUND_LATENESS_S:
            self._void_round(lateness)
            return
        self.rounds_judged += 1
        for member in self.unanswered.values():
            self._record_failed_probe(now, member)
        for member, peer in self.peers.items():
            if peer.suspected_since is None:
                continue
            if self.is_isolated(now):
                # Without this, a proxy that is cut off would consider all others away, and act on it once its
                # network is back.
                peer.suspect(now)
            elif peer.is_failed(now):
                peer.suspected_since = None
                peer.away_since = now
                self.probe_queue.pop(member, None)
                self.away_changed = True

    def _void_round(self, lateness: float) -> None:
        """Ends a round without suspicions: this proxy was stopped or overloaded, so answers may be unread."""
        self.rounds_void += 1
        for peer in self.peers.values():
            if peer.suspected_since is not None:
                peer.suspected_since += lateness
        self.last_contact_at += lateness

    def _record_failed_probe(self, now: float, member: int) -> None:
        peer = self.peers.get(member)
        if peer is None:
            return
        if peer.suspected_since is None and peer.away_since is None:
            peer.suspect(now)
            if peer.incarnation and len(peer.suspecting_peers) < CONFIRMING_PEERS:
                self._queue_suspicion(member, peer.incarnation, self.proxy_number)
        peer.failed_rounds += 1
        if peer.away_since is None:
            self.probe_queue.setdefault(member)

    def _begin_round(self, now: float) -> list[tuple[int, MembershipProbe]]:
        """Probes the next member of the order and the longest waiting members of the queue."""
        self.next_round_at = now + ROUND_INTERVAL_S * self.random_generator.uniform(0.9, 1.0)
        self.unanswered.clear()
        self._drop_expired_probes(now)
        messages = []
        for member in self._members_to_probe():
            correlation_id, probe = self._probe(now, member)
            self.unanswered[correlation_id] = member
            messages.append((member, probe))
        self.indirect_probes_at = now + DIRECT_ANSWER_TIMEOUT_S if messages else inf
        return messages

    def _drop_expired_probes(self, now: float) -> None:
        earliest = now - PROBE_LIFETIME_S
        for correlation_id in [
            correlation_id
            for correlation_id, probe in self.outstanding_probes.items()
            if probe.sent_at < earliest
        ]:
            del self.outstanding_probes[correlation_id]
            self.relayed_probes.pop(correlation_id, None)

    def _members_to_probe(self) -> list[int]:
        if not self.probe_order:
            self.probe_order = sorted(self.peers)
            self.random_generator.shuffle(self.probe_order)
        members = [self.probe_order.pop()] if self.probe_order else []
        for member in list(self.probe_queue)[:SUSPECTS_PER_ROUND]:
            del self.probe_queue[member]
            if member not in members:
                members.append(member)
        return members

    # Reports

    def take_away_changed(self) -> bool:
        """Returns whether the set of members that are away has changed since the last call."""
        changed = self.away_changed
        self.away_changed = False
        return changed

    def format_lines(self, now: float) -> list[str]:
        """Returns the metrics: number of members by state, rounds judged and void, whether isolated.

        A line follows for each member that is suspected or away, with the peers that suspect it, and for each
        member that is reached only through another one.
        """
        states = [peer.state for peer in self.peers.values()]
        lines = [
            f"members.me:{self.proxy_number}",
            f"members.life:{self.incarnation:012x}",
            *(f"members.{state}:{states.count(state)}" for state in COUNTED_STATES),
            f"members.rounds:{self.rounds_judged}",
            f"members.void:{self.rounds_void}",
            f"members.alone:{int(self.is_isolated(now))}",
        ]
        for member, peer in sorted(self.peers.items()):
            line = self._peer_line(now, member, peer)
            if line is not None:
                lines.append(line)
        return lines

    @staticmethod
    def _peer_line(now: float, member: int, peer: PeerState) -> str | None:
        prefix = f"member.{member}:{peer.state} life={peer.incarnation:012x}"
        since = peer.suspected_since if peer.away_since is None else peer.away_since
        if since is not None:
            others = ",".join(map(str, sorted(peer.current_suspecting_peers(now)))) or "-"
            return f"{prefix} for_s={now - since:.1f} others={others}"
        if peer.reached_via is not None:
            return f"{prefix} by={peer.reached_via}"
        return None
