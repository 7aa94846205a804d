"""Checks the history of a run against the four rules and the bounds that the scenario states.

The checker sees only what the emulated caches, origin and discovery service and the clients recorded. The
four rules are: each attempt of a client gets exactly one answer, side effects happen as the method's
idempotency allows, draining caches get no new requests, and cold caches are not overloaded.

Invariants:
    No proxy is queried, and no code is shared with the proxy, so that a fault in it cannot hide itself.
    A run on a machine that was too busy to tell is void, and so is a run without answers to check: the
    figures state how much was checked.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from calicofall.testbed.history import ClientAnswer, ClientAttempt, History, UpstreamSend
from calicofall.testbed.scenario import LONG_REPLY_BYTES, Scenario

BASE_TOLERANCE_S = 0.05  # the protocol's allowance for times that are measured on sockets
DRAIN_GRACE_S = 0.25  # after a proxy was notified that a cache drains or is removed
MAX_REORDERING_S = 0.03  # by which events on two connections of one proxy may be seen in the wrong order
MAX_TESTBED_LAG_S = 0.75  # of the testbed itself; above it the run is void
MAX_CORE_WAIT_S = 0.5  # in a second, of any proxy while requests arrive; above it the run is void
STALE_LIST_S = 6.0  # after which a proxy is accountable for a list event, whether it received it or not
MAX_SICK_SEND_RATIO = 0.75  # of its earlier rate of requests, that a sick cache may still be sent
BASELINE_SPAN_S = 5.0  # before a cache turns sick, in which its earlier rate of requests is measured
LARGE_RESPONSES_SUFFIX = " (large answers)"
AWAITED_FRACTION = 0.7  # of the deadline of a request, within which its reply has to be awaited
DEPARTURE_GRACE_S = 0.1  # after a client has left, in which an attempt may still begin
MIN_SAMPLES = 8  # answers or sends from which on a share of them is meaningful
RATE_TOLERANCE = 0.1  # share of a rate bound: the testbed's lateness may move events into another second


class Finding(NamedTuple):
    """A violation of a rule or bound."""

    rule: str
    proxy: str
    at: float  # s since the start of the run
    what: str


class Verdict(NamedTuple):
    """The result of checking a run."""

    passed: bool
    void_reason: str  # why the run cannot be judged; empty: it can
    findings: list[Finding]
    figures: dict[str, Any]

    @property
    def outcome(self) -> str:
        """`void`, `passed` or `broken`."""
        return "void" if self.void_reason else "passed" if self.passed else "broken"


def max_count_in_window(times: Iterable[float], window_s: float = 1.0) -> tuple[int, float]:
    """Return the highest number of events in any window of this length, and when that window began."""
    ordered: list[float] = []
    highest, began_at, first = 0, 0.0, 0
    for at in sorted(times):
        ordered.append(at)
        while ordered[first] <= at - window_s:
            first += 1
        if len(ordered) - first > highest:
            highest, began_at = len(ordered) - first, ordered[first]
    return highest, began_at


def max_concurrent(begins: list[float], ends: list[float]) -> tuple[int, float]:
    """Return the highest number of intervals that overlap at one time, and when that was first reached."""
    changes = sorted([(at, 1) for at in begins] + [(at, -1) for at in ends])
    highest, count, reached_at = 0, 0, 0.0
    for at, change in changes:
        count += change
        if count > highest:
            highest, reached_at = count, at
    return highest, reached_at


class HistoryChecker:
    """Checks one history; collects findings and figures.

    Attributes:
        findings: Violations in the order in which the checks found them.
        figures: What was measured, by the names that result.json stores.
        testbed_lag_s: The highest lag of the testbed that is above the base tolerance; 0: none was.
        core_wait_s: The longest time in a second that a proxy waited for a core while requests arrived.
        tolerance_s: Lateness that is not held against a proxy.
        unavailable_spans: By proxy: from when to when it was dead or stopped, s on the monotonic clock.
    """

    def __init__(self, scenario: Scenario, history: History) -> None:
        self.scenario, self.history = scenario, history
        self.findings: list[Finding] = []
        self.figures: dict[str, Any] = {}
        # Smaller lags are covered by the base tolerance.
        self.testbed_lag_s = max(
            [lag for _, lag in history.testbed_lags if lag > BASE_TOLERANCE_S], default=0.0
        )
        first = min([attempt.at for attempt in history.client_attempts], default=float("inf"))
        self.core_wait_s = max([wait for at, wait in history.core_waits if at - 1.0 > first], default=0.0)
        # Delays caused by the machine, in the testbed or while proxies wait for a core, are not held against
        # any proxy.
        self.tolerance_s = BASE_TOLERANCE_S + self.testbed_lag_s + self.core_wait_s
        self.sends_by_id: dict[str, list[UpstreamSend]] = defaultdict(list)
        for send in history.upstream_sends:
            self.sends_by_id[send.id].append(send)
        self.unavailable_spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        since: dict[str, float] = {}
        for process_event in sorted(history.process_events):
            # After SIGTERM a proxy still owes the answers to what it reads.
            if process_event.what in ("killed", "stopped", "exited"):
                since.setdefault(process_event.proxy, process_event.at)
            elif process_event.what in ("woken", "launched") and process_event.proxy in since:
                self.unavailable_spans[process_event.proxy].append(
                    (since.pop(process_event.proxy), process_event.at)
                )
        for proxy, at in since.items():
            self.unavailable_spans[proxy].append((at, float("inf")))

    def add_finding(self, rule: str, proxy: str, at: float, what: str) -> None:
        """Add a violation; `at` is a time on the monotonic clock (s)."""
        self.findings.append(Finding(rule, proxy, round(at - self.history.started_at, 3), what))

    def tolerance_between(self, begin: float, end: float) -> float:
        """Return the lateness (s) that is not held against a proxy between two times.

        Adds up all waits for a core in that interval. `core_wait_s` alone leaves out the time before the
        first attempt, so proxies that answer while others are still starting would be blamed.
        """
        waited = sum(wait for at, wait in self.history.core_waits if at > begin and at - 1.0 < end)
        return max(self.tolerance_s, BASE_TOLERANCE_S + self.testbed_lag_s + waited)

    def testbed_lag_between(self, begin: float, end: float) -> float:
        """Return the highest lag of the testbed itself (s) in what it saw between two times."""
        return max(
            (
                lag
                for at, lag in self.history.testbed_lags
                if at >= begin and at - lag - MAX_REORDERING_S <= end
            ),
            default=0.0,
        )

    def was_unavailable(self, proxy: str, begin: float, end: float) -> bool:
        """Return whether the proxy was dead or stopped at any time between two times."""
        return any(begin <= back and away <= end for away, back in self.unavailable_spans[proxy])

    def check(self) -> Verdict:
        """Run all checks and return the verdict."""
        for check in (
            self.check_answers,
            self.check_side_effects,
            self.check_drains,
            self.check_cold_caches,
            self.check_discovery,
            self.check_capacity,
            self.check_in_flight,
            self.check_versions,
            self.check_canaries,
            self.check_sick_caches,
            self.check_served,
            self.check_exits,
            self.check_paused_replies,
            self.check_departures,
            self.check_memory,
            self.check_hostile_clients,
        ):
            check()
        self.figures |= {
            "lag_s": round(self.testbed_lag_s, 3),
            "waited_for_core": round(self.core_wait_s, 3),
            "faults": [what for *_, what in self.history.injected_faults],
            "sends": len(self.history.upstream_sends),
            "answers": len(self.history.client_answers),
            "dropped_commands": self.history.dropped_commands,
            "second_copies": self.history.second_copies,
            "broken_replies": len(self.history.broken_replies),
            "reset_writes": self.history.reset_writes,
        }
        self.record_costs()
        void_reason = ""
        if self.testbed_lag_s > MAX_TESTBED_LAG_S:
            void_reason = f"the testbed was late by {self.testbed_lag_s:.2f} s"
        elif self.core_wait_s > MAX_CORE_WAIT_S:
            void_reason = f"a proxy waited {self.core_wait_s:.2f} s of a second for a core"
        elif not self.history.client_answers and not self.scenario.must.served:
            void_reason = "no answer was judged"
        return Verdict(
            not self.findings and not void_reason,
            void_reason,
            sorted(self.findings, key=lambda f: f.at),
            self.figures,
        )

    # The four rules

    def check_answers(self) -> None:
        """Check that each attempt of a client gets exactly one answer, its own and in time.

        Attempts of proxies that were dead or stopped, and those whose deadline is after the end of the run,
        are not judged.
        """
        answers: dict[str, list] = defaultdict(list)
        for answer in self.history.client_answers:
            if answer.id:
                answers[answer.id].append(answer)
            else:
                self.add_finding(
                    "one answer", answer.proxy, answer.at, "an answer without a command that waits for it"
                )
        deadlines, judged, exempt = {}, 0, 0
        truncated = self.truncated_attempts(answers)
        sent = self.sends_by_id.keys()
        for attempt in self.history.client_attempts:
            deadlines[attempt.id] = attempt.at + attempt.deadline_s
            received = answers.get(attempt.id, [])
            ended_at = received[0].at if received else attempt.at + attempt.deadline_s + BASE_TOLERANCE_S
            if self.was_unavailable(attempt.proxy, attempt.at - BASE_TOLERANCE_S, ended_at):
                exempt += 1
                continue
            tolerance = self.tolerance_between(attempt.at, ended_at)
            if attempt.at + attempt.deadline_s + tolerance > self.history.ended_at:
                continue
            if attempt.id in truncated:
                exempt += 1
                continue
            judged += 1
            if not received or received[0].kind == "none":
                self.add_finding("one answer", attempt.proxy, attempt.at, f"{attempt.id}: no answer")
            elif received[0].kind == "closed" or (received[0].kind == "crossed" and attempt.id in sent):
                self.add_finding(
                    "one answer",
                    attempt.proxy,
                    received[0].at,
                    f"{attempt.id}: closed without an answer"
                    + (", though a cache answered it whole" * (attempt.id in self.history.whole_replies)),
                )
            elif received[0].kind == "another's":
                self.add_finding(
                    "one answer", attempt.proxy, received[0].at, f"{attempt.id}: the value of another attempt"
                )
            # The time that an answer waits for those before it does not count.
            elif not attempt.batch and received[0].at > self.last_answer_at(attempt) + tolerance:
                self.add_finding(
                    "one answer", attempt.proxy, received[0].at, f"{attempt.id}: answered after its deadline"
                )
            if len(received) > 1:
                self.add_finding("one answer", attempt.proxy, received[1].at, f"{attempt.id}: answered twice")
        for send in self.history.upstream_sends:
            if send.id in self.history.unjudged_ids:
                continue
            if send.id not in deadlines:
                self.add_finding(
                    "one answer", send.proxy, send.at, f"{send.id}: sent, though no client asked"
                )
            elif send.at > deadlines[send.id] + self.tolerance_between(
                deadlines[send.id], send.at
            ) and not self.was_unavailable(send.proxy, deadlines[send.id], send.at):
                self.add_finding("one answer", send.proxy, send.at, f"{send.id}: sent after its deadline")
        self.figures |= {"tries_judged": judged, "tries_exempt": exempt}

    def last_answer_at(self, attempt: ClientAttempt) -> float:
        """Return until when an attempt has to be answered: its deadline, but for a value that is passed on.

        A value over 64 KiB is passed on as it comes, and one that a cache has begun to write before the
        deadline may end when that cache ends it.
        """
        deadline = attempt.at + attempt.deadline_s
        if self.scenario.traffic.large_bytes <= LONG_REPLY_BYTES:
            return deadline
        if not any(self.scenario.has_large_value(send.key) for send in self.sends_by_id.get(attempt.id, ())):
            return deadline
        paused = self.history.paused_replies.get(attempt.id, ())
        return max([deadline, *(reply.ends_at for reply in paused if reply.begins_at <= deadline)])

    def truncated_attempts(self, answers: dict[str, list[ClientAnswer]]) -> set[str]:
        """Return the attempts that a reply that broke off left without an answer: its own, and those behind.

        Whole answers in front of it are due all the same.
        """
        truncated: set[str] = set()
        broken_batches: set[int] = set()
        for attempt in self.history.client_attempts:
            kinds = {answer.kind for answer in answers.get(attempt.id, [])}
            is_unanswered = kinds <= {"closed", "crossed"}
            if attempt.batch in broken_batches:
                truncated.add(attempt.id)
            elif is_unanswered and attempt.id in self.history.broken_replies:
                truncated.add(attempt.id)
                if attempt.batch:
                    broken_batches.add(attempt.batch)
        return truncated

    def check_side_effects(self) -> None:
        """Check that commands run as often as their method allows, and are in flight once at a time."""
        executions: dict[str, list] = defaultdict(list)
        executions_by_key: dict[str, list] = defaultdict(list)
        for execution in self.history.executions:
            executions[execution.id].append(execution)
            if execution.idempotency_key:
                executions_by_key[execution.idempotency_key].append(execution)
        sends: dict[str, list[tuple[UpstreamSend, float]]] = defaultdict(list)
        for index, send in enumerate(self.history.upstream_sends):
            sends[send.id].append((send, self.history.send_ended_at.get(index, self.history.ended_at)))
        proxy = {send.id: send.proxy for send in self.history.upstream_sends}
        for name, ran in executions.items():
            if ran[0].method == "order" and len(ran) > 1:
                self.add_finding(
                    "effects", proxy[name], ran[1].at, f"{name}: non-retriable, ran {len(ran)} times"
                )
        for key, ran in executions_by_key.items():
            if (
                max(execution.at for execution in ran) - min(execution.at for execution in ran)
                > self.scenario.traffic.window_ms / 1000.0 + self.tolerance_s
            ):
                self.add_finding(
                    "effects",
                    proxy[ran[0].id],
                    ran[-1].at,
                    f"{key}: executed again after its deduplication window",
                )
        for answer in self.history.client_answers:
            ran = executions.get(answer.id)
            if ran and answer.kind == "exhausted" and ran[0].method == "order":
                self.add_finding(
                    "effects",
                    answer.proxy,
                    answer.at,
                    f"{answer.id}: answered as exhausted, but it was executed",
                )
        for name, attempts in sends.items():
            for (_, previous_end), (send, _) in zip(attempts, attempts[1:], strict=False):
                if send.at < previous_end - MAX_REORDERING_S - self.testbed_lag_between(
                    send.at, previous_end
                ):
                    self.add_finding(
                        "effects", send.proxy, send.at, f"{name}: two attempts in flight at once"
                    )
        self.figures["most_sends"] = max([len(attempts) for attempts in sends.values()], default=0)

    def check_drains(self) -> None:
        """Check that a proxy sends a cache nothing later than the grace after it was notified of its drain.

        The removal of a cache counts like a drain. A proxy without a snapshot sends only to caches that it
        received in a list since its start.
        """
        # By proxy and cache: since when the cache has its state, and whether it drains or is removed.
        states: dict[str, dict[str, tuple[float, bool]]] = defaultdict(dict)
        events: list[tuple[float, int, Any]] = [(event.at, 0, event) for event in self.history.list_events]
        events += [(send.at, 1, send) for send in self.history.upstream_sends]
        events += [
            (process_event.at, -1, process_event)
            for process_event in self.history.process_events
            if process_event.what == "launched"
        ]
        latest = 0.0
        for at, kind, event in sorted(events, key=lambda event: event[:2]):
            known = states[event.proxy]
            if kind == -1:
                known.clear()
            elif kind == 0:
                if event.complete:
                    listed = {name for name, _ in event.entries}
                    for name in known.keys() - listed:
                        known[name] = (known[name][0], True) if known[name][1] else (at, True)
                for name, state in event.entries:
                    leaving = state != "SERVING"
                    if name not in known or known[name][1] != leaving:
                        known[name] = at, leaving
            elif event.cache not in known:
                if known and not self.scenario.fleet.snapshot:
                    self.add_finding(
                        "drains", event.proxy, at, f"sent to {event.cache}, which no list has named"
                    )
            elif known[event.cache][1]:
                late_by = at - known[event.cache][0]
                latest = max(latest, late_by)
                if late_by > DRAIN_GRACE_S + self.tolerance_s and not self.was_unavailable(
                    event.proxy, known[event.cache][0], at
                ):
                    self.add_finding(
                        "drains",
                        event.proxy,
                        at,
                        f"sent to {event.cache} {late_by:.2f} s after its drain",
                    )
        self.figures["latest_after_drain_s"] = round(latest, 3)
        self.check_drain_propagation()

    def check_drain_propagation(self) -> None:
        """Check how long after the first proxy the last one was notified that a cache drains."""
        notified: dict[str, dict[str, float]] = defaultdict(dict)
        for event in sorted(self.history.list_events):
            for name, state in event.entries:
                if state == "DRAINING":
                    notified[name].setdefault(event.proxy, event.at)
        longest, bound = 0.0, self.scenario.must.told_all_s
        for name, times in notified.items():
            begin = min(times.values())
            for proxy in (f"p{i}" for i in range(self.scenario.fleet.proxies)):
                at = times.get(proxy, float("inf"))
                if at < float("inf"):
                    longest = max(longest, at - begin)
                due = begin + bound + self.testbed_lag_s if bound is not None else float("inf")
                if at > due and due < self.history.ended_at:
                    self.add_finding("told", proxy, begin + bound, f"not notified yet that {name} drains")
        self.figures["drain_told_all_s"] = round(longest, 2)

    def check_cold_caches(self) -> None:
        """Check that all proxies together send a cold cache no more than its stated capacity allows."""
        cache = self.scenario.cache
        sends: dict[str, list[float]] = defaultdict(list)
        for send in self.history.upstream_sends:
            sends[send.cache].append(send.at)
        highest, worst = 0.0, ("", 0.0)
        for name, starts in self.history.cold_starts.items():
            for start in starts:
                times = sorted(at for at in sends[name] if start <= at <= start + cache.cold_s)
                for index, at in enumerate(times):
                    first = bisect_right(times, at - cache.fall_s)
                    share = cache.cold_share + (1 - cache.cold_share) * (at - start) / cache.cold_s
                    capacity = (
                        cache.fall_multiple * cache.slots / (cache.hit_ms / 1000.0) * share * cache.fall_s
                    )
                    if (index + 1 - first) / capacity > highest:
                        highest, worst = (index + 1 - first) / capacity, (name, at)
        if highest > 1.0:
            self.add_finding(
                "cold caches", worst[0], worst[1], f"{worst[0]} was sent {highest:.2f} of its capacity"
            )
        for at, name in self.history.cache_collapses:
            self.add_finding("cold caches", name, at, f"{name} collapsed under load")
        self.figures["cold_pushed"] = round(highest, 3)

    # The bounds

    def check_discovery(self) -> None:
        """Check the load on the discovery service, and when proxies received their lists and were ready."""
        must, fleet = self.scenario.must, self.scenario.fleet
        calls = [call.at for call in self.history.discovery_calls if call.what == "asked"]
        peak, peak_at = max_count_in_window(calls)
        launch_times: dict[str, list[float]] = defaultdict(list)
        for process_event in self.history.process_events:
            if process_event.what == "launched":
                launch_times[process_event.proxy].append(process_event.at)
        launches = sorted(at for times in launch_times.values() for at in times)
        first_lists: dict[str, float] = {}  # by proxy
        lists: dict[tuple[str, int], float] = {}  # by proxy and incarnation, when it received its first list
        for event in self.history.list_events:
            first_lists.setdefault(event.proxy, event.at)
            lists.setdefault((event.proxy, bisect_right(launch_times[event.proxy], event.at)), event.at)
        waits = sorted(
            at - launch_times[proxy][incarnation - 1]
            for (proxy, incarnation), at in lists.items()
            if incarnation
        )
        started_at, capacity = self.history.started_at, self.scenario.service.room
        last = max(first_lists.values(), default=started_at)
        self.figures |= {
            "asked": len(calls),
            "asked_peak": peak,
            "asked_peak_at_s": round(peak_at - started_at, 2),
            "refused": sum(call.what == "refused" for call in self.history.discovery_calls),
            "launched_s": round(max(launches, default=started_at) - started_at, 2),
            "listed": len(first_lists),
            "listed_last_s": round(last - started_at, 2),
            "lives": len(launches),
            "list_after_launch_s": [
                round(waits[int(quantile * (len(waits) - 1))], 2) for quantile in (0.5, 0.95, 1)
            ]
            if waits
            else None,
        }
        if (
            must.asks_per_room is not None
            and peak > must.asks_per_room * capacity + 1 + RATE_TOLERANCE * capacity
        ):
            self.add_finding(
                "asks", "all", peak_at, f"{peak} watches requested in a second, capacity {capacity:g}"
            )
        if must.list_factor is not None:
            bound = (
                max([started_at, *launches[: fleet.proxies]])
                + must.list_factor * fleet.proxies / capacity
                + 1.0
            )
            late = [
                p for p in (f"p{i}" for i in range(fleet.proxies)) if first_lists.get(p, float("inf")) > bound
            ]
            for proxy in late:
                received = (
                    f"{first_lists[proxy] - started_at:.1f} s after the start"
                    if proxy in first_lists
                    else "never"
                )
                self.add_finding(
                    "list", proxy, bound, f"received its list {received}, bound {bound - started_at:.1f} s"
                )
        ready: dict[str, float] = {}
        for at, proxy in self.history.proxy_ready_events:
            ready.setdefault(proxy, at)
            incarnation = proxy, bisect_right(launch_times[proxy], at)
            if (
                must.list_before_door
                and not fleet.snapshot
                and lists.get(incarnation, float("inf")) > at + MAX_REORDERING_S
            ):
                self.add_finding("door", proxy, at, "answered PING before it received a list")
        times = sorted(at - started_at for at in ready.values())
        for name, share in (("half", 0.5), ("95", 0.95), ("all", 1.0)):
            index = max(0, round(share * fleet.proxies) - 1)
            self.figures[f"serves_{name}_s"] = round(times[index], 2) if index < len(times) else None
        if must.serves_all_s is not None:
            for proxy in (f"p{i}" for i in range(fleet.proxies)):
                if ready.get(proxy, float("inf")) > started_at + must.serves_all_s:
                    self.add_finding(
                        "door", proxy, started_at + must.serves_all_s, "does not answer PING yet"
                    )

    def check_capacity(self) -> None:
        """Check handshakes and connections at each cache, and fetches from the origin, of the whole fleet."""
        must = self.scenario.must
        opened: dict[str, list[float]] = defaultdict(list)
        closed: dict[str, list[float]] = defaultdict(list)
        for event in self.history.connection_events:
            (opened if event.opened else closed)[event.cache].append(event.at)
        handshake_peaks = {name: max_count_in_window(times) for name, times in opened.items()}
        connection_peaks = {name: max_concurrent(times, closed[name]) for name, times in opened.items()}
        name = max(handshake_peaks, key=lambda name: handshake_peaks[name][0], default=None)
        self.figures["handshakes"] = sum(map(len, opened.values()))
        self.figures["handshakes_peak"] = handshake_peaks[name][0] if name else 0
        self.figures["connections_peak"] = max([count for count, _ in connection_peaks.values()], default=0)
        for cache, (count, at) in handshake_peaks.items():
            if (
                must.handshakes is not None
                and count > must.handshakes * (1 + RATE_TOLERANCE + 2 * self.testbed_lag_s) + 1
            ):
                self.add_finding(
                    "handshakes", "all", at, f"{count} in a second at {cache}, over {must.handshakes:g}"
                )
        for cache, (count, at) in connection_peaks.items():
            if must.connections is not None and count > must.connections:
                self.add_finding(
                    "connections", "all", at, f"{count} open at {cache}, over {must.connections}"
                )
        fetches = self.history.origin_fetches
        count, at = max_concurrent([begin for begin, _ in fetches], [end for _, end in fetches])
        self.figures |= {"fetches": len(fetches), "fetches_at_once": count}
        if must.fetches is not None and count > must.fetches:
            self.add_finding(
                "fetches", "all", at, f"{count} fetches from the origin at one time, over {must.fetches}"
            )
        count, at = max_count_in_window(begin for begin, _ in fetches)
        self.figures["fetches_peak"] = count
        bound = must.fetches_per_s
        # A rate slot may be used up to 0.3 s late, as with all rate slots; caches that queue commands bunch
        # some fetches together.
        if bound is not None and count > bound * (1.3 + RATE_TOLERANCE + 2 * self.testbed_lag_s) + 1:
            self.add_finding(
                "fetches", "all", at, f"{count} fetches from the origin in a second, over {bound:g}"
            )

    def check_in_flight(self) -> None:
        """Check the requests of all proxies that are in flight at a cache at one time."""
        intervals: dict[str, tuple[list[float], list[float]]] = defaultdict(lambda: ([], []))
        for index, send in enumerate(self.history.upstream_sends):
            begins, ends = intervals[send.cache]
            begins.append(send.at)
            ends.append(self.history.send_ended_at.get(index, self.history.ended_at))
        peaks, bound = (
            {name: max_concurrent(*times) for name, times in intervals.items()},
            self.scenario.must.in_flight,
        )
        self.figures["in_flight_peak"] = max([count for count, _ in peaks.values()], default=0)
        for cache, (count, at) in peaks.items():
            if bound is not None and count > bound:
                self.add_finding(
                    "in flight", "all", at, f"{count} in flight at {cache} at one time, over {bound:g}"
                )

    def check_versions(self) -> None:
        """Check how long after a majority received a settings version requests that it forbids were sent."""
        history, longest, judged = self.history, 0.0, 0
        majority = self.scenario.fleet.proxies // 2 + 1
        majority_at: dict[int, float] = {}  # by version: when a majority had received it or a later one
        for version in sorted(publication.version for publication in history.published_versions):
            times = sorted(
                {
                    proxy: at
                    for at, proxy, received in sorted(history.document_deliveries, reverse=True)
                    if received >= version
                }.values()
            )
            if len(times) >= majority:
                majority_at[version] = times[majority - 1]
        zones = {publication.version: publication.zones for publication in history.published_versions}
        orders = [send for send in history.upstream_sends if send.method == "order"]
        for send in orders:
            binding = [version for version, at in majority_at.items() if at < send.at]
            if not binding:
                continue
            judged += 1
            # Find since when all versions up to the newest that a majority had received forbid this zone.
            since = None
            for version in sorted(binding, reverse=True):
                if history.cache_zones[send.cache] in zones[version]:
                    break
                since = majority_at[version]
            if since is not None:
                longest = max(longest, send.at - since)
                bound = self.scenario.must.settled_s
                if bound is not None and send.at - since > bound + self.tolerance_s:
                    self.add_finding(
                        "versions",
                        send.proxy,
                        send.at,
                        f"sent to zone {history.cache_zones[send.cache]} "
                        f"{send.at - since:.2f} s after a majority had the version that forbids it",
                    )
        if history.published_versions:
            deliveries = {
                version: [at for at, _, received in history.document_deliveries if received >= version]
                for version in majority_at
            }
            self.figures |= {
                "versions": len(history.published_versions),
                "orders_judged": judged,
                "forbidden_longest_s": round(longest, 3),
                "handed_last_s": round(
                    max((max(times) - min(times) for times in deliveries.values()), default=0.0), 2
                ),
            }

    def check_canaries(self) -> None:
        """Check where, and for how long, a harmful version that is tried as a canary fails orders."""
        bound, longest = self.scenario.must.halted_s, 0.0
        orders = {
            attempt.id: attempt for attempt in self.history.client_attempts if attempt.method == "order"
        }
        failed: dict[str, list[float]] = defaultdict(list)
        completed: dict[str, list[float]] = defaultdict(list)
        for answer in self.history.client_answers:
            if answer.id in orders:
                (completed if answer.kind == "completed" else failed)[answer.proxy].append(answer.at)

        def failed_share(proxy: str, begin: float, end: float) -> float:
            """Return the share of the proxy's orders that failed; 0: there were too few to tell."""
            count = [sum(begin <= at < end for at in times[proxy]) for times in (failed, completed)]
            return count[0] / sum(count) if sum(count) >= MIN_SAMPLES else 0.0

        for canary in (canary for canary in self.history.canaries if canary.harmful and bound is not None):
            halted, end = canary.at + bound, max(canary.at + bound + 3.0, canary.at + canary.duration_s)
            for proxy in (f"p{number}" for number in range(self.scenario.fleet.proxies)):
                if proxy in canary.proxies:
                    failures = [at for at in failed[proxy] if canary.at <= at < halted]
                    longest = max(longest, max(failures, default=canary.at) - canary.at)
                    if failed_share(proxy, halted + self.tolerance_s, end) > 0.5:
                        self.add_finding("trials", proxy, halted, "still uses a version that fails")
                elif any(
                    failed_share(proxy, canary.at + later, canary.at + later + 3.0) > 0.5
                    for later in range(int(canary.duration_s))
                ):
                    self.add_finding(
                        "trials", proxy, canary.at, "fails by a version that only others were to try"
                    )
            self.figures |= {
                "trial_failed": sum(canary.at <= at < end for p in canary.proxies for at in failed[p]),
                "trial_failed_longest_s": round(longest, 2),
            }

    def check_sick_caches(self) -> None:
        """Check that sick caches are sent fewer requests, and the healthy ones not much fewer."""
        bound, started_at = self.scenario.must.avoided_s, self.history.started_at
        for event in (
            event for event in self.scenario.event if event.do in ("sick", "sick_large") and bound is not None
        ):
            ends = min(event.until or self.scenario.seconds, self.scenario.seconds)
            rates: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
            for send in self.history.upstream_sends:
                at = send.at - started_at
                # A cache that is slow for large values only is counted twice: with the suffix for reads of
                # large values, and under its plain name, as a healthy cache, for all others.
                cache = send.cache
                if (
                    event.do == "sick_large"
                    and send.method == "read"
                    and self.scenario.has_large_value(send.key)
                ):
                    cache += LARGE_RESPONSES_SUFFIX
                if event.at - BASELINE_SPAN_S <= at < event.at:
                    rates[cache][0] += 1.0 / BASELINE_SPAN_S
                elif event.at + bound <= at < ends:
                    rates[cache][1] += 1.0 / (ends - event.at - bound)
            sick = event.who + LARGE_RESPONSES_SUFFIX if event.do == "sick_large" else event.who
            others = {other.who for other in self.scenario.event if other.do in ("sick", "sick_large")} - {
                event.who
            }
            for cache, (before, after) in sorted(rates.items()):
                if (
                    before * BASELINE_SPAN_S < MIN_SAMPLES
                    or cache.removesuffix(LARGE_RESPONSES_SUFFIX) in others
                ):
                    continue
                if cache == sick:
                    self.figures[f"{event.do}_sent"] = round(after / before, 2)
                    if after > MAX_SICK_SEND_RATIO * before:
                        self.add_finding(
                            "verdicts",
                            "all",
                            started_at + event.at + bound,
                            f"{cache} is sick, and is sent {after:.1f} a second, before {before:.1f}",
                        )
                elif after < 0.5 * before and not (
                    event.do == "sick_large" and cache.endswith(LARGE_RESPONSES_SUFFIX)
                ):
                    self.add_finding(
                        "verdicts",
                        "all",
                        started_at + event.at + bound,
                        f"{cache} is healthy, and is sent {after:.1f} a second, before {before:.1f}",
                    )

    def record_costs(self) -> None:
        """Record the cores and datagrams of a proxy in the last third of the run.

        Processor time is measured by the system, datagrams by the links between the proxies.
        """
        history, proxies = self.history, self.scenario.fleet.proxies
        since = history.ended_at - (history.ended_at - history.started_at) / 3.0
        cores = [used for at, used in history.processor_use if at > since]
        sizes = [size for at, size in history.datagrams if at > since]
        proxy_seconds = max(1.0, history.ended_at - since) * proxies
        self.figures |= {
            "core_each": round(sum(cores) / len(cores) / proxies, 5) if cores else None,
            "datagrams_each_s": round(len(sizes) / proxy_seconds, 1),
            "datagram_bytes_each_s": round(sum(sizes) / proxy_seconds),
        }

    def check_served(self) -> None:
        """Check the share of requests that completed in time in the last third of the run."""
        latency_objective_s = self.scenario.traffic.soft_ms / 1000.0
        kinds = Counter(answer.kind for answer in self.history.client_answers)
        requests = sorted(self.history.client_requests)
        in_time = [
            i.completed_at is not None and i.completed_at <= i.at + latency_objective_s for i in requests
        ]
        last_third = in_time[-(len(in_time) // 3) :] if len(in_time) > 2 else in_time
        self.figures |= {
            "rpcs": len(requests),
            "in_time": round(sum(in_time) / len(in_time), 4) if in_time else None,
            "in_time_last_third": round(sum(last_third) / len(last_third), 4) if last_third else None,
            "tries_by_answer": dict(sorted(kinds.items())),
        }
        self.figures["steady_s"] = self.steady_since(requests, in_time)
        tenants = [request.tenant for request in requests[-len(last_third) :]] if last_third else []
        for tenant in sorted(set(tenants)):
            of_tenant = [
                was_in_time for was_in_time, name in zip(last_third, tenants, strict=True) if name == tenant
            ]
            self.figures[f"{tenant}_in_time_last_third"] = share = round(sum(of_tenant) / len(of_tenant), 4)
            least = self.scenario.must.served_first
            if tenant == "shop" and least is not None and share < least:
                self.add_finding(
                    "served",
                    "all",
                    self.history.ended_at,
                    f"{share:.3f} of the first tenant's requests in time at the end, under {least:g}",
                )
        least = self.scenario.must.served
        if least is not None and (not last_third or sum(last_third) / len(last_third) < least):
            share = sum(last_third) / len(last_third) if last_third else 0.0
            self.add_finding(
                "served",
                "all",
                self.history.ended_at,
                f"{share:.3f} of the requests in time at the end, under {least:g}",
            )

    def steady_since(self, requests: list, in_time: list[bool]) -> float | None:
        """Return the first second from which on 95% of the requests of each second completed in time.

        None: there is no such second.
        """
        seconds: dict[int, list[bool]] = defaultdict(list)
        for request, was_in_time in zip(requests, in_time, strict=True):
            seconds[int(request.at - self.history.started_at)].append(was_in_time)
        since = None
        for second in sorted(seconds):
            is_steady = sum(seconds[second]) >= 0.95 * len(seconds[second])
            since = (second if since is None else since) if is_steady else None
        return since

    # Troubles of clients and cache nodes

    def check_paused_replies(self) -> None:
        """Check that a reply whose bytes pause is awaited, if it ends early enough for its request."""
        answers = {answer.id: answer for answer in self.history.client_answers if answer.id}
        judged = 0
        for attempt in self.history.client_attempts:
            paused = self.history.paused_replies.get(attempt.id)
            answer = answers.get(attempt.id)
            due = attempt.at + AWAITED_FRACTION * attempt.deadline_s
            if not paused or answer is None or paused[0].ends_at + self.tolerance_s > due:
                continue
            if self.was_unavailable(attempt.proxy, attempt.at, attempt.at + attempt.deadline_s):
                continue
            judged += 1
            if answer.kind != "completed":
                pause_s = paused[0].ends_at - paused[0].begins_at
                what = f"{attempt.id}: {answer.kind}, though a cache wrote its reply within {pause_s:.2f} s"
                self.add_finding("paused replies", attempt.proxy, answer.at, what)
        self.figures["paused_replies"] = judged

    def check_departures(self) -> None:
        """Check that nothing begins for a client that has left."""
        latest = 0.0
        for send in self.history.upstream_sends:
            left_at = self.history.departures.get(send.id)
            if left_at is None or left_at == float("inf"):
                continue
            late_s = send.at - left_at
            latest = max(latest, late_s)
            if late_s > DEPARTURE_GRACE_S + self.tolerance_between(left_at, send.at):
                self.add_finding(
                    "departures", send.proxy, send.at, f"{send.id}: sent {late_s:.2f} s after its client left"
                )
        self.figures |= {
            "departed": len(self.history.departures),
            "latest_after_departure_s": round(latest, 3),
        }

    def check_memory(self) -> None:
        """Check that no process exceeds its limit of memory."""
        limit = self.scenario.fleet.memory_mb << 20
        peaks = self.history.memory_peaks
        self.figures["memory_peak_mb"] = round(
            max([peak for peak, _ in peaks.values()], default=0) / 2**20, 1
        )
        if self.scenario.must.within_memory:
            for proxy, (peak, at) in peaks.items():
                if peak > limit:
                    self.add_finding("memory", proxy, at, f"{peak / 2**20:.1f} MB of {limit >> 20}")

    def check_hostile_clients(self) -> None:
        """Check that each client that misuses a proxy gets an error or a close in time."""
        bound = self.scenario.must.hostile_s
        for end in self.history.hostile_ends if bound is not None else ():
            due = end.at + bound + self.tolerance_s
            if due > self.history.ended_at or self.was_unavailable(end.proxy, end.at, due):
                continue
            if end.ended_at is None or end.ended_at > due:
                took = "nothing" if end.ended_at is None else f"{end.ended_at - end.at:.2f} s"
                self.add_finding("hostile clients", end.proxy, end.at, f"{end.kind}: {took}")
        self.figures["hostile_clients"] = len(self.history.hostile_ends)

    def check_exits(self) -> None:
        """Check that no proxy exits by itself, and that each exits with 0 after SIGTERM."""
        last_event: dict[str, str] = {}  # of launched, killed and termed, by proxy
        for process_event in sorted(self.history.process_events, key=lambda process_event: process_event.at):
            if process_event.what == "exited" and last_event.get(process_event.proxy) not in (
                "killed",
                "termed",
            ):
                self.add_finding(
                    "crash",
                    process_event.proxy,
                    process_event.at,
                    f"exited by itself with code {process_event.code}",
                )
            elif (
                process_event.what == "exited"
                and last_event.get(process_event.proxy) == "termed"
                and process_event.code != 0
            ):
                self.add_finding(
                    "crash",
                    process_event.proxy,
                    process_event.at,
                    f"exited with code {process_event.code} after SIGTERM",
                )
            if process_event.what in ("launched", "killed", "termed"):
                last_event[process_event.proxy] = process_event.what


def check_history(scenario: Scenario, history: History) -> Verdict:
    """Check the history of a run of the scenario and return the verdict."""
    return HistoryChecker(scenario, history).check()
