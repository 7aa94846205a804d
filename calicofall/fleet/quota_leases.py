"""Quota leases: each proxy's share of a limit over the fleet, and leases of units between proxies.

A limit is divided into UNITS units, whatever it counts; each of N proxies owns UNITS // N of them. A proxy
that needs more than it owns borrows units from others, which lend a fraction of theirs. This is escrow
between pairs (O'Neil 1986; bounded counters: Balegas and others 2015), with leases in place of durable
rights, since proxies lose the record of what they lent when they restart. The module performs no I/O: it is
given messages and the time, and returns messages and the time of the next call.

States of a lease at the borrower: requested -> borrowed (by an answer to a request of this incarnation) ->
expired (by time). At the owner: lent -> expired (by time). There is no coordinator of a limit, so no
coordinator can fail or exist twice.

Invariants:
- A unit is used by its owner or by one borrower, never by both, whatever messages are lost, duplicated or
  late, and whichever proxies are stopped or restarted.
- A lease runs at the borrower for `lease_s` from the moment of its request, and at the owner for
  T = lease_s (1 + drift)^2 from its answer (see configuration_agreement.py for the assumption on clocks).
- An owner lends at most `max_lent_fraction` of its own units. A new incarnation, which has no record of its
  leases, therefore uses only the rest for T, and lends nothing in that time.
- A lease is renewed under its own identifier, and a duplicate or late request is answered like the first one.
- Leases are never revoked; one that is not renewed expires.

Bounds:

- excess over the limit: 0 units; a proxy whose process is suspended between its check and the use may exceed
  it for that time
- unused after a proxy has failed: the units that it borrowed, for at most T, until their owner uses them
  again
- unused despite demand: 1 - max_lent_fraction of the units of owners without demand, and the units that each
  proxy keeps or borrows beyond its demand (`demand_margin`)
- guaranteed minimum: (1 - max_lent_fraction) of a proxy's own units, whatever others demand; all of them
  after T without contact to others
- time to follow demand: (k / max_lent_fraction) / REQUESTS_PER_ROUND * ROUND_INTERVAL_S to borrow k times a
  proxy's own units, since one lease is of at most max_lent_fraction of its owner's units; without message
  loss and with idle owners
- maximum: 1 + max_lent_fraction * MAX_BORROWED_LEASES times a proxy's own units
- messages: REQUESTS_PER_ROUND requests in ROUND_INTERVAL_S while units are short, and one for each lease in
  lease_s / 2
"""

from collections import Counter
from math import ceil, inf
from random import Random
from typing import NamedTuple

from calicofall.fleet.configuration_agreement import grant_duration

UNITS = 1 << 20  # units into which a limit is divided
MAX_LENT_FRACTION = 0.75  # of a proxy's own units
# The same for tenants' rates. A low guaranteed minimum costs little there: requests over a tenant's rate are
# served while there is capacity.
MAX_LENT_FRACTION_OF_RATES = 0.95
ROUND_INTERVAL_S = 0.25
REQUESTS_PER_ROUND = 8
MAX_BORROWED_LEASES = 64  # of one limit
RESEND_AFTER_S = 0.5
DECLINED_BACKOFF_S = 2.0  # time after which an owner that declined or did not answer is asked again
DEMAND_MARGIN = 1.25  # a proxy borrows up to this multiple of its demand, and lends only what is beyond it
RATE_DEMAND_MARGIN = 1.05  # the same for tenants' rates
MIN_LEASE_UNITS = UNITS // 4096  # units of the smallest lease
# In large fleets the smallest lease is smaller, so that a proxy's own units make at least this many of them.
MIN_LEASES_OF_OWN_UNITS = 16


class QuotaLeaseMessage(NamedTuple):
    """A request for units, or an answer with the number of units lent.

    It is sent as an array of these fields, in this order.

    Attributes:
        is_request: whether this is a request.
        sender: number of the proxy that sends the message.
        incarnation: the sender's incarnation.
        correlation_id: identifier of the lease.
        limit_id: identifier of the limit.
        units: units requested, or units lent; 0 units lent declines the request.
        request_number: identifies one of several requests for a lease; its answer repeats it.
        slot: which of the owner's time slots is lent, if units are time slots.
    """

    is_request: bool
    sender: int
    incarnation: int
    correlation_id: int
    limit_id: int
    units: int
    request_number: int = 0
    slot: int = 0


class LeaseKey(NamedTuple):
    """The identity of a lease at its owner."""

    borrower: int
    incarnation: int
    lease_id: int


class LentLease(NamedTuple):
    """A lease at its owner; it expires at `expires_at` (s)."""

    units: int
    expires_at: float


class BorrowedLease(NamedTuple):
    """A lease at its borrower; it expires at `expires_at` (s)."""

    owner: int
    units: int
    expires_at: float


class PendingRequest(NamedTuple):
    """A request that is not answered yet; `sent_at` holds when it was sent (s), by request number."""

    owner: int
    units: int
    sent_at: dict[int, float]


class QuotaLeases:
    """One limit at one proxy.

    `limit_id` identifies the limit, `proxy_number` is this proxy's number, `lease_s` is the duration of a
    lease and `drift` the largest relative difference between the rates of two clocks. Points in time are in
    seconds of the proxy's own clock.
    """

    total = UNITS
    min_lease_units = MIN_LEASE_UNITS
    # Leases that one borrower may have of one owner. With only one, a proxy whose demand grows in steps would
    # borrow little from each owner and then could borrow no more.
    max_leases_per_owner = 2
    max_lent_fraction = MAX_LENT_FRACTION
    demand_margin = DEMAND_MARGIN

    def __init__(  # noqa: PLR0913 -- proxy/ and startup/ pass these by position
        self,
        limit_id: int,
        proxy_number: int,
        incarnation: int,
        proxies: int,
        now: float,
        lease_s: float,
        drift: float,
        random_generator: Random,
    ) -> None:
        self.limit_id = limit_id
        self.proxy_number = proxy_number
        self.incarnation = incarnation
        self.lease_s = lease_s
        self.random_generator = random_generator
        self.own_units = self.total // proxies
        self.grant_s = grant_duration(lease_s, drift)
        self.started_at = now
        # In a fleet of thousands, all units of a proxy are less than MIN_LEASE_UNITS.
        self.min_lease_units = max(1, min(self.min_lease_units, self.own_units // MIN_LEASES_OF_OWN_UNITS))
        self.lent_leases: dict[LeaseKey, LentLease] = {}
        self.borrowed_leases: dict[int, BorrowedLease] = {}  # by lease identifier
        self.pending_requests: dict[int, PendingRequest] = {}  # by lease identifier
        # By owner, when it last declined a request, or a request to it was given up.
        self.declined_at: dict[int, float] = {}
        self.last_lease_id = random_generator.getrandbits(40)
        self.last_request_number = 0
        self.demand_units = 0  # units that would be used here without a limit
        self.next_round_at = now
        self.pinned = False  # set by an operator: leases are neither granted, requested nor renewed

    # Queries

    def units_lent(self, now: float) -> int:
        """Returns the units of this proxy that others may use.

        A new incarnation counts all units that the former one may have lent.
        """
        self.lent_leases = {key: lease for key, lease in self.lent_leases.items() if lease.expires_at > now}
        lent = sum(lease.units for lease in self.lent_leases.values())
        return max(lent, self.lendable_units) if self._is_new(now) else lent

    def usable_units(self, now: float, duration_s: float = 0.0) -> int:
        """Returns the units that may be used here now; has to be called right before each use.

        For a use that lasts `duration_s` seconds, only leases that run longer count. At least the guaranteed
        minimum, the own units that are never lent, may always be used.
        """
        self.borrowed_leases = {
            lease_id: lease for lease_id, lease in self.borrowed_leases.items() if lease.expires_at > now
        }
        borrowed = sum(
            lease.units for lease in self.borrowed_leases.values() if lease.expires_at > now + duration_s
        )
        usable = self.own_units - self.units_lent(now) + borrowed
        assert usable >= self.own_units - self.lendable_units, "usable units are below the guaranteed minimum"
        return min(self.total, usable)

    @property
    def lendable_units(self) -> int:
        """How many of this proxy's own units may be lent at one time."""
        return int(self.own_units * self.max_lent_fraction)

    @property
    def max_lease_units(self) -> int:
        """The largest number of units in one lease."""
        return self.lendable_units

    def set_demand(self, units: int) -> None:
        """Sets the demand: the units that would be used here without a limit."""
        self.demand_units = min(self.total, max(0, units))

    def _is_new(self, now: float) -> bool:
        """Returns whether leases that a former incarnation has granted may still run."""
        return now < self.started_at + self.grant_s

    # Messages

    def on_message(self, now: float, message: QuotaLeaseMessage) -> QuotaLeaseMessage | None:
        """Handles a message; returns the answer to its sender, if any."""
        if message.is_request:
            return self._on_request(now, message)
        self._on_answer(now, message)
        return None

    def _on_request(self, now: float, message: QuotaLeaseMessage) -> QuotaLeaseMessage:
        units = self._grant(now, message)
        slot = self._choose_slot(message) if units else 0
        return QuotaLeaseMessage(
            False,
            self.proxy_number,
            self.incarnation,
            message.correlation_id,
            self.limit_id,
            units,
            message.request_number,
            slot,
        )

    def _on_answer(self, now: float, message: QuotaLeaseMessage) -> None:
        request = self.pending_requests.get(message.correlation_id)
        # The lease runs from the very request that is answered. Without this, a late or duplicate answer to
        # the first request would count as one to a renewal that was lost, and the lease would run longer here
        # than at its owner.
        if (
            request is None
            or request.owner != message.sender
            or message.request_number not in request.sent_at
        ):
            return  # to no request of this incarnation, or a duplicate
        sent_at = request.sent_at[message.request_number]
        del self.pending_requests[message.correlation_id]
        if message.units < self.min_lease_units:
            self.declined_at[request.owner] = now
            self.borrowed_leases.pop(message.correlation_id, None)
            return
        expires_at = sent_at + self.lease_s
        # The answer arrived after the end of its lease, or grants more units than were requested.
        if expires_at <= now or message.units > request.units:
            return
        previous = self.borrowed_leases.get(message.correlation_id)
        is_new = previous is None or previous.expires_at <= now
        self.borrowed_leases[message.correlation_id] = BorrowedLease(request.owner, message.units, expires_at)
        self._on_lease_held(message, is_new)

    def _choose_slot(self, message: QuotaLeaseMessage) -> int:
        """Returns which of this proxy's time slots is lent to the sender; 0 if units are not time slots."""
        return 0

    def _on_lease_held(self, message: QuotaLeaseMessage, is_new: bool) -> None:
        """Called when a lease has been borrowed (`is_new`) or renewed."""

    def _grant(self, now: float, message: QuotaLeaseMessage) -> int:
        """Grants or renews a lease; returns the units lent, 0 if the request is declined."""
        key = LeaseKey(message.sender, message.incarnation, message.correlation_id)
        lent = self.units_lent(now)
        spare = self._spare_units(lent)
        lease = self.lent_leases.get(key)
        if lease is not None:
            # A renewal or a duplicate: the same units for longer and never more, since the borrower may not
            # have received the last answer. If this proxy needs the units itself, the lease expires.
            if spare < 0:
                return 0
            units = lease.units
        else:
            units = min(message.units, spare, self.max_lease_units, self.lendable_units - lent)
            if self._is_new(now) or units < self.min_lease_units:
                return 0
        self.lent_leases[key] = LentLease(units, now + self.grant_s)
        return min(units, message.units)  # the borrower ignores an answer with more units than it requested

    def _spare_units(self, lent: int) -> int:
        """Returns the units that are neither lent nor needed here; below 0, no lease is renewed."""
        if self.pinned:
            return -1
        return self.own_units - lent - min(self.own_units, ceil(self.demand_units * self.demand_margin))

    # Rounds

    def wake(self, now: float, reachable: list[int]) -> tuple[list[tuple[int, QuotaLeaseMessage]], float]:
        """Returns the requests to send, each with its receiver, and the time of the next call (s).

        `reachable` are the proxies that are likely to answer.
        """
        if now < self.next_round_at:
            return [], self.next_round_at
        self.next_round_at = now + ROUND_INTERVAL_S * self.random_generator.uniform(0.9, 1.0)
        usable = self.usable_units(now)
        earliest = now - DECLINED_BACKOFF_S
        self.declined_at = {owner: at for owner, at in self.declined_at.items() if at > earliest}
        target = 0 if self.pinned else min(self.total, ceil(self.demand_units * self.demand_margin))
        messages = self._resend(now)
        messages += self._renew(now, usable - target)
        messages += self._borrow(now, min(target - usable, self.total), reachable)
        return messages, self.next_round_at

    def _resend(self, now: float) -> list[tuple[int, QuotaLeaseMessage]]:
        """Resends requests that are not answered.

        Without this, one lost datagram would prevent a renewal, and so end the lease. A request is given up
        when it was first sent `lease_s` ago, unless it renews a lease that still runs.
        """
        messages = []
        for lease_id, (owner, units, sent_at) in list(self.pending_requests.items()):
            if now - max(sent_at.values()) < RESEND_AFTER_S:
                continue
            if now - min(sent_at.values()) < self.lease_s or lease_id in self.borrowed_leases:
                messages.append((owner, self._request(now, lease_id, owner, units)))
            else:
                del self.pending_requests[lease_id]
                self.declined_at[owner] = now
        return messages

    def _renew(self, now: float, excess: int) -> list[tuple[int, QuotaLeaseMessage]]:
        """Renews leases in the second half of their duration.

        Leases with up to `excess` units, those that this proxy does not need, are left to expire.
        """
        messages = []
        by_expiry = sorted(self.borrowed_leases.items(), key=lambda item: item[1].expires_at)
        for lease_id, (owner, units, expires_at) in by_expiry:
            if excess >= units:
                excess -= units
            elif expires_at - now < self.lease_s / 2.0 and lease_id not in self.pending_requests:
                messages.append((owner, self._request(now, lease_id, owner, units)))
        return messages

    def _borrow(self, now: float, missing: int, reachable: list[int]) -> list[tuple[int, QuotaLeaseMessage]]:
        """Requests new leases for the missing units that are not requested yet."""
        missing -= sum(
            request.units
            for lease_id, request in self.pending_requests.items()
            if lease_id not in self.borrowed_leases
        )
        owners = self._available_owners(reachable)
        count = min(REQUESTS_PER_ROUND, MAX_BORROWED_LEASES - len(self.borrowed_leases), len(owners))
        if missing < self.min_lease_units or count <= 0:
            return []
        messages = []
        for owner in self.random_generator.sample(owners, count):
            if missing < self.min_lease_units:
                break
            units = min(missing, self.max_lease_units)
            missing -= units
            self.last_lease_id += 1
            messages.append((owner, self._request(now, self.last_lease_id, owner, units)))
        return messages

    def _available_owners(self, reachable: list[int]) -> list[int]:
        """Returns the reachable proxies that may be asked for one more lease."""
        owner_by_lease = {lease_id: lease.owner for lease_id, lease in self.borrowed_leases.items()}
        owner_by_lease |= {lease_id: request.owner for lease_id, request in self.pending_requests.items()}
        leases = Counter(owner_by_lease.values())
        return [
            peer
            for peer in reachable
            if leases[peer] < self.max_leases_per_owner
            and peer not in self.declined_at
            and peer != self.proxy_number
        ]

    def _request(self, now: float, lease_id: int, owner: int, units: int) -> QuotaLeaseMessage:
        self.last_request_number += 1
        earlier = self.pending_requests[lease_id].sent_at if lease_id in self.pending_requests else {}
        self.pending_requests[lease_id] = PendingRequest(
            owner, units, earlier | {self.last_request_number: now}
        )
        return QuotaLeaseMessage(
            True,
            self.proxy_number,
            self.incarnation,
            lease_id,
            self.limit_id,
            units,
            self.last_request_number,
        )

    def next_change_at(self, now: float) -> float:
        """Returns when the number of usable units next changes by time alone (s)."""
        ends = [lease.expires_at for lease in self.borrowed_leases.values()]
        ends += [lease.expires_at for lease in self.lent_leases.values()]
        if self._is_new(now):
            ends.append(self.started_at + self.grant_s)
        return min(ends, default=inf)

    def format_line(self, now: float) -> str:
        """Returns the metrics: usable, own and lent fractions of the limit, lenders, next lease expiry.

        `over_at_most` is the bound on the excess over the limit (see the module), which is always 0.
        """
        usable = self.usable_units(now)
        owners = sorted({lease.owner for lease in self.borrowed_leases.values()})
        soonest = min((lease.expires_at for lease in self.borrowed_leases.values()), default=now)
        return (
            f"part={usable / self.total:.4f} own={self.own_units / self.total:.4f} "
            f"lent={self.units_lent(now) / self.total:.4f} "
            f"of={','.join(map(str, owners)) or '-'} ends_s={soonest - now:.2f} over_at_most=0"
        )


class RateQuotaLeases(QuotaLeases):
    """Leases of a tenant's rate."""

    max_lent_fraction = MAX_LENT_FRACTION_OF_RATES
    demand_margin = RATE_DEMAND_MARGIN
