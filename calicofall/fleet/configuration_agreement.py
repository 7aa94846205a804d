"""Agreement of a fleet on the versions of the settings that its proxies may act on, and until when.

Each proxy runs one `ConfigurationAgreement`. It performs no I/O: it is given documents, messages and the
time, and returns messages and the time of its next call. All times are in seconds of the proxy's own
monotonic clock.

Terms:
    known: a proxy or the source of the documents has reported that the version exists.
    held: this proxy has the version's document.
    in effect: the proxy acts on the version, and on none before it.
    voters: the members, named by the settings, whose majority is the quorum; an odd number, or all members.
    lease: the permission to act on the versions held, granted by a quorum of the voters of each of them.
    incarnation: one run of a proxy's process. A restarted proxy has lost all that it has acknowledged.

States of an instance and transitions:
    silent: the incarnation is younger than the grant duration. It responds to requests, but grants no lease.
        The state ends by time.
    without a lease: for some version held, no quorum of its voters has reported within the duration of a
        lease that it knows no higher version. The proxy does only what promises allow
        (settings_compatibility.py). Responses of the voters change the state to leased.
    leased: the proxy does what all versions allow from the one in effect to the highest one held. The state
        changes to without a lease by time, or at once when a version becomes known that is not held. After
        such a gap the version in effect has to be confirmed again (E1 to E3), since the voters that grant the
        new lease may have restarted and lost it.
    A version held comes into effect, and the versions before it are dropped, when the proxy is leased and
        E1 a quorum of voters reports that the version is in effect there, or
        E2 a quorum of voters has held it for the grant duration, each in one incarnation, and reports so now,
           or
        E3 a quorum of voters holds it, and after that every other member has reported that it holds it, too.

Invariants:
    - No two proxies act on versions that contradict each other, each on its version alone, for longer than
      the pause: the longest time for which a process can be stopped, without noticing, between its last check
      of the lease and the send.
    - A response counts only for a request of this incarnation, and the response to a later request is not
      overwritten by that to an earlier one.
    - An acknowledgement ends with the incarnation that gave it.
    - Majorities are joint: they are counted over the voters of every version that is held.

Why the first invariant holds: a lease runs from the moment of the request, which is earlier than the moment
at which it was granted. Two majorities share a voter. (a) A proxy that acts on version v alone was granted
its lease by voters that did not know v'. (b) A proxy that acts on v' alone was granted its lease by voters
that knew v', and know it for the rest of their incarnation. So a shared voter granted (a) before (b). By E2
and E3 no lease on v alone is left when v' comes into effect, and none can be granted afterwards, since the
same voters report v'. A voter that restarts has lost this knowledge, so it is silent until the leases that it
granted have expired.

    grant duration = lease * (1 + drift) ** 2
    A proxy that receives nothing stops acting on v alone at most (grant duration + pause) after the moment at
    which a majority held v'.

References: leases (Gray and Cheriton 1989); joint consensus of Raft (Ongaro and Ousterhout 2014).
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import NamedTuple

ROUNDS_PER_LEASE = 4  # rounds of requests in the duration of a lease
ROUND_JITTER = 0.9  # the shortest time between two rounds, as a fraction of the longest
LARGE_FLEET_MEMBERS = 64  # a fleet with more members than this is large
EVALUATION_INTERVAL_S = 0.05  # shortest time between two evaluations that responses cause
SPARE_VOTERS = 3  # voters that are asked in addition to a majority while the lease is far from its end
REQUEST_ID_BITS = 40


@dataclass(frozen=True, slots=True)
class PendingRounds:
    """Rounds of requests while a version that is held is not yet in effect.

    Attributes:
        interval_s: the longest time between two rounds.
        batch_size: number of members, in addition to the voters, that are asked in a round.
    """

    interval_s: float
    batch_size: int


# If the members of a large fleet asked as often as those of a small one, they would spend so much time on the
# messages that leases would expire.
SMALL_FLEET_ROUNDS = PendingRounds(interval_s=0.25, batch_size=32)
LARGE_FLEET_ROUNDS = PendingRounds(interval_s=0.5, batch_size=8)


class ConfigurationVersion(NamedTuple):
    """The fields of a settings document that agreement needs.

    Attributes:
        version: number of the version, from 1.
        members: numbers of the proxies that belong to the fleet.
        voters: the members whose majority is the quorum.
        previous: the version that this one follows; 0 for the first.
    """

    version: int
    members: frozenset[int]
    voters: frozenset[int]
    previous: int


class AgreementMessage(NamedTuple):
    """A request for a peer's versions, or the response; sent as an array of these fields, in this order.

    Attributes:
        is_request: whether this is a request.
        sender: number of the proxy that sends the message.
        incarnation: the sender's incarnation.
        correlation_id: identifier of the request, which its response repeats.
        highest_known: the highest version that the sender knows.
        highest_held: the highest version that the sender holds.
        effective_version: the version in effect at the sender; 0 while it is not confirmed there.
        grants_leases: whether the sender grants leases.
    """

    is_request: bool
    sender: int
    incarnation: int
    correlation_id: int
    highest_known: int
    highest_held: int
    effective_version: int
    grants_leases: bool


class LeaseStatus(NamedTuple):
    """The versions that a proxy may act on now.

    Attributes:
        versions: the versions held; the proxy does only what all of them allow.
        leased: whether the proxy has a lease; without one it does only what promises allow.
    """

    versions: tuple[int, ...]
    leased: bool


class PeerAcknowledgement:
    """The latest acknowledgement of a member in its present incarnation."""

    __slots__ = (
        "grants_leases",
        "highest_held",
        "highest_known",
        "in_effect",
        "incarnation",
        "first_held_at",
        "requested_at",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.highest_known = 0
        self.highest_held = 0
        self.in_effect = 0
        self.grants_leases = False
        self.requested_at = -inf  # when the request was sent to which the last counted response belongs
        self.first_held_at: dict[int, float] = {}  # by version, when the member first reported to hold it

    def update(self, now: float, requested_at: float, message: AgreementMessage) -> None:
        """Records a response to a request that was sent at `requested_at`."""
        self.requested_at = requested_at
        self.highest_known = message.highest_known
        self.highest_held = message.highest_held
        self.in_effect = message.effective_version
        self.grants_leases = message.grants_leases
        if message.highest_held:
            self.first_held_at.setdefault(message.highest_held, now)

    def held_since(self, version: int) -> float:
        """Returns when the member first reported to hold this version or a higher one (s).

        The member has to hold one.
        """
        return min(at for held, at in self.first_held_at.items() if held >= version)


def grant_duration(lease_s: float, drift: float) -> float:
    """Returns the time (s) after which every lease granted before it has expired.

    Args:
        lease_s: duration of a lease at the proxy that holds it.
        drift: largest relative difference between the rates of two clocks.
    """
    return lease_s * (1.0 + drift) ** 2


def majority(voters: frozenset[int]) -> int:
    """Returns how many voters are a majority."""
    return len(voters) // 2 + 1


def _union(groups: Iterable[frozenset[int]]) -> frozenset[int]:
    return frozenset[int]().union(*groups)


class ConfigurationAgreement:
    """The versions that one proxy knows, holds and has in effect, its lease, and its peers' acknowledgements.

    Attributes:
        highest_known: the highest version known.
        effective_version: the version in effect; 0 until there is one.
        confirmed: whether the version in effect is confirmed, and the lease has had no gap since.
        held_versions: the versions held, by number.
    """

    def __init__(
        self,
        proxy_number: int,
        incarnation: int,
        now: float,
        lease_s: float,
        drift: float,
        random_generator: Random,
    ) -> None:
        """Starts an incarnation that knows no version.

        Args:
            proxy_number: number of this proxy.
            incarnation: number of this run of the process, which differs from those of other runs.
            now: the time (s).
            lease_s: duration of a lease.
            drift: largest relative difference between the rates of two clocks.
            random_generator: source of request identifiers, jitter and the choice of voters.
        """
        self.proxy_number = proxy_number
        self.incarnation = incarnation
        self.lease_s = lease_s
        self.random_generator = random_generator
        self.grant_duration_s = grant_duration(lease_s, drift)
        self.grants_from = now + self.grant_duration_s
        self.highest_known = 0
        self.effective_version = 0
        self.confirmed = False
        self.held_versions: dict[int, ConfigurationVersion] = {}
        self.held_since: dict[int, float] = {}  # by version held, since when (s)
        self.peers: dict[int, PeerAcknowledgement] = {}
        self.request_id = random_generator.getrandbits(REQUEST_ID_BITS)
        self.requested_at: dict[int, float] = {}  # by request identifier, when the request was sent (s)
        self.next_round_at = now
        self.batch_offset = 0
        self.evaluated_at = -inf

    # Events

    def on_document(self, now: float, document: ConfigurationVersion) -> bool:
        """Handles a document from the source; returns whether its version is new."""
        self.highest_known = max(self.highest_known, document.version)
        if document.version <= max(self.effective_version, self.highest_held):
            return False
        self.held_versions[document.version] = document
        self.held_since[document.version] = now
        self.next_round_at = now  # peers are notified at once
        return True

    def on_request(self, now: float, message: AgreementMessage) -> AgreementMessage:
        """Handles a peer's request, and returns the response."""
        self._learn_version(message)
        return self._message(False, message.correlation_id, now)

    def on_response(self, now: float, message: AgreementMessage) -> bool:
        """Handles a peer's response.

        Returns:
            False if the response belongs to no request of this incarnation, or to an earlier request than the
            last response that counted.
        """
        requested_at = self.requested_at.get(message.correlation_id)
        if requested_at is None or message.sender == self.proxy_number:
            return False
        self._require_confirmation_after_gap(now)
        self._learn_version(message)
        peer = self.peers.get(message.sender)
        if peer is not None and requested_at < peer.requested_at:
            return False  # delayed, and perhaps from a former incarnation
        if peer is None or peer.incarnation != message.incarnation:
            # A restarted peer has lost what it acknowledged. If its acknowledgements were kept, a version
            # could come into effect here that no quorum holds any more.
            peer = self.peers[message.sender] = PeerAcknowledgement(message.incarnation)
        peer.update(now, requested_at, message)
        # In a large fleet thousands of responses arrive per second: an evaluation after each of them would
        # take all of the processor's time, and leases would expire.
        if now >= self.evaluated_at + EVALUATION_INTERVAL_S:
            self.evaluated_at = now
            self._advance(now)
        return True

    def wake(self, now: float) -> tuple[list[tuple[int, AgreementMessage]], float]:
        """Starts a round of requests if one is due.

        Returns:
            The messages to send, each with its receiver, and the time of the next call (s).
        """
        if now < self.next_round_at:
            return [], self.next_round_at
        self._advance(now)
        pending = bool(self.held_versions) and self.highest_held > self.effective_version
        members = _union(document.members for document in self.held_versions.values())
        rounds = LARGE_FLEET_ROUNDS if len(members) > LARGE_FLEET_MEMBERS else SMALL_FLEET_ROUNDS
        interval = self.lease_s / ROUNDS_PER_LEASE
        if pending:
            interval = min(interval, rounds.interval_s)
        self.next_round_at = now + interval * self.random_generator.uniform(ROUND_JITTER, 1.0)
        self._begin_request(now)
        receivers = _union(document.voters for document in self.held_versions.values()) - {self.proxy_number}
        if pending:
            receivers |= self._next_batch(members - {self.proxy_number} - receivers, rounds.batch_size)
        elif self.confirmed and self.leased_until(now) > now + self.lease_s / 2.0:
            receivers = self._sufficient_voters()
        message = self._message(True, self.request_id, now)
        return [(member, message) for member in sorted(receivers)], self.next_round_at

    # State

    @property
    def highest_held(self) -> int:
        """The highest version held; 0 if none is."""
        return max(self.held_versions, default=0)

    def grants_leases(self, now: float) -> bool:
        """Returns whether this proxy grants leases: not while those of a former incarnation may be left."""
        return now >= self.grants_from

    def leased_until(self, now: float) -> float:
        """Returns when the lease ends that quorums of the voters of each version held grant (s).

        Returns -inf if there is no lease. This proxy is among those that grant it if it is a voter.
        """
        highest_held = self.highest_held
        if self.highest_known > highest_held or not self.held_versions:
            return -inf
        return min(
            self._granted_until(now, document, highest_held) for document in self.held_versions.values()
        )

    def lease_status(self, now: float) -> LeaseStatus:
        """Returns the versions that may be acted on now; has to be called again right before each send.

        The process may have been stopped since the last call, for longer than the lease.
        """
        # If a version between two that are held here was missed, other proxies may act on it.
        complete = all(
            version == self.effective_version or document.previous in self.held_versions
            for version, document in self.held_versions.items()
        )
        leased = (
            self.confirmed
            and self.effective_version in self.held_versions
            and complete
            and now < self.leased_until(now)
        )
        return LeaseStatus(tuple(sorted(self.held_versions)), leased)

    # Messages

    def _message(self, is_request: bool, request_id: int, now: float) -> AgreementMessage:
        confirmed = self.confirmed and now < self.leased_until(now)
        return AgreementMessage(
            is_request,
            self.proxy_number,
            self.incarnation,
            request_id,
            self.highest_known,
            self.highest_held,
            self.effective_version if confirmed else 0,
            self.grants_leases(now),
        )

    def _learn_version(self, message: AgreementMessage) -> None:
        """Learns that a version exists. A message may be a replayed one, so nothing else is taken from it."""
        self.highest_known = max(self.highest_known, message.highest_known)

    def _begin_request(self, now: float) -> None:
        """Assigns the identifier of a round's request, and drops requests that no longer grant a lease."""
        self.request_id += 1
        self.requested_at[self.request_id] = now
        expired = [request_id for request_id, at in self.requested_at.items() if at < now - self.lease_s]
        for request_id in expired:
            del self.requested_at[request_id]

    def _next_batch(self, members: frozenset[int], size: int) -> frozenset[int]:
        """Returns the members to ask in this round, in rotation.

        While some are not known to hold the highest version held here, only those are asked.
        """
        highest_held = self.highest_held
        missing = sorted(
            member
            for member in members
            if (peer := self.peers.get(member)) is None or peer.highest_held < highest_held
        )
        candidates = missing or sorted(members)
        self.batch_offset += size
        count = len(candidates)
        return frozenset(candidates[(self.batch_offset + i) % count] for i in range(min(size, count)))

    def _sufficient_voters(self) -> frozenset[int]:
        """Returns the voters with the most recent responses: a majority of them and `SPARE_VOTERS` more."""

        def requested_at(voter: int) -> float:
            return self.peers[voter].requested_at if voter in self.peers else -inf

        sufficient: set[int] = set()
        for document in self.held_versions.values():
            voters = sorted(document.voters - {self.proxy_number})
            # Without this, all members would send requests to the same voters.
            self.random_generator.shuffle(voters)
            voters.sort(key=requested_at, reverse=True)
            sufficient.update(voters[: majority(document.voters) + SPARE_VOTERS])
        return frozenset(sufficient)

    # Lease

    def _granted_until(self, now: float, document: ConfigurationVersion, highest_held: int) -> float:
        """Returns when the lease ends that the voters of one version grant (s); -inf without a quorum."""
        granted_at = [
            peer.requested_at
            for voter in document.voters
            if voter != self.proxy_number
            and (peer := self.peers.get(voter))
            and peer.grants_leases
            and peer.highest_known <= highest_held
        ]
        if self.proxy_number in document.voters and self.grants_leases(now):
            granted_at.append(now)
        quorum = majority(document.voters)
        if len(granted_at) < quorum:
            return -inf
        granted_at.sort(reverse=True)
        return granted_at[quorum - 1] + self.lease_s

    def _require_confirmation_after_gap(self, now: float) -> None:
        """Withdraws the confirmation of the version in effect if the lease has ended.

        The voters that would renew the lease may have restarted, lost the version, and granted a lease on
        another one.
        """
        self.confirmed = self.confirmed and now < self.leased_until(now)

    # Versions that come into effect

    def _advance(self, now: float) -> None:
        """Brings the highest version held into effect, or confirms the version in effect again."""
        if now >= self.leased_until(now):
            return
        highest = self.highest_held
        if highest > self.effective_version and self._may_take_effect(now, highest):
            self.effective_version = highest
            self.confirmed = True
            self.held_versions = {highest: self.held_versions[highest]}
            self.held_since = {highest: self.held_since[highest]}
        elif (
            not self.confirmed
            and self.effective_version in self.held_versions
            and self._may_take_effect(now, self.effective_version)
        ):
            self.confirmed = True

    def _may_take_effect(self, now: float, version: int) -> bool:
        """Checks (E1 to E3) that no proxy can act on a version that contradicts this one or a higher one."""
        return (
            self._in_effect_at_quorum(now, version)
            or self._held_for_grant_duration(now, version)
            or self._held_by_all(now, version)
        )

    def _in_effect_at_quorum(self, now: float, version: int) -> bool:
        """Checks E1: a quorum of voters reports that the version is in effect there."""

        def in_effect(voter: int) -> bool:
            peer = None if voter == self.proxy_number else self._current_acknowledgement(now, voter, version)
            return peer is not None and peer.in_effect >= version

        return self._is_quorum(in_effect)

    def _held_for_grant_duration(self, now: float, version: int) -> bool:
        """Checks E2: a quorum of voters has held the version for the grant duration, and reports so now."""
        return self._is_quorum(
            lambda voter: now - self._held_since(now, voter, version) >= self.grant_duration_s
        )

    def _held_by_all(self, now: float, version: int) -> bool:
        """Checks E3: a quorum holds the version, and every other member has acknowledged it after that."""
        if not self._is_quorum(lambda voter: self._held_since(now, voter, version) < inf):
            return False
        held_by_quorum_at = max(
            sorted(self._held_since(now, voter, version) for voter in document.voters)[
                majority(document.voters) - 1
            ]
            for document in self.held_versions.values()
        )
        others = _union(document.members for document in self.held_versions.values()) - {self.proxy_number}
        return all(
            (peer := self._current_acknowledgement(now, member, version)) is not None
            and peer.requested_at > held_by_quorum_at
            for member in others
        )

    def _current_acknowledgement(self, now: float, member: int, version: int) -> PeerAcknowledgement | None:
        """Returns a member's acknowledgement within the lease, if it holds the version or a higher one."""
        peer = self.peers.get(member)
        if peer is None or peer.requested_at <= now - self.lease_s or peer.highest_held < version:
            return None
        return peer

    def _held_since(self, now: float, voter: int, version: int) -> float:
        """Returns when a voter first reported to hold the version (s); inf if it has no current report."""
        if voter == self.proxy_number:
            return self.held_since[version]
        peer = self._current_acknowledgement(now, voter, version)
        return inf if peer is None else peer.held_since(version)

    def _is_quorum(self, accepts: Callable[[int], bool]) -> bool:
        """Returns whether `accepts` is true for a majority of the voters of every version held."""
        return all(
            sum(map(accepts, document.voters)) >= majority(document.voters)
            for document in self.held_versions.values()
        )
