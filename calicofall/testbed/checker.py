"""The referee: the four rules and the stated bounds, from what caches, service and clients saw.

Owns the verdict. Must never ask a proxy, share code with what it judges, pass a run on a machine too busy to
tell, or take a quiet run for a good one: it says how much it has judged.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from calicofall.testbed.history import History, UpstreamSend
from calicofall.testbed.scenario import Scenario

SLACK = 0.05  # s, as the protocol page has it on sockets
GRACE = 0.25  # s after a proxy was told that a cache drains or is gone
WINDOW = 5.0  # s in which a deduped write may run again, by its group's caches
CROSS = 0.03  # s by which two connections of one proxy may be seen in the wrong order
LAG = 0.75  # s that the stage itself may be late; over it nothing can be told
WAITED = 0.5  # s of a second that any proxy may have waited for a core, while RPCs came
STALE = 6.0  # s after which what the service has to tell is held against a proxy, heard or not
LESS = 0.75  # of what it was sent, that a sick cache may still be sent
BEFORE = 5.0  # s before a cache turns sick, as the measure
LARGE = " (large answers)"
TOLD = 8  # answers from which a part of them says something
EDGE = 0.1  # of a bound a second: where the stage's own lateness may have put two seconds into one


class Finding(NamedTuple):
    rule: str
    proxy: str
    at: float  # s since the beginning
    what: str


class Verdict(NamedTuple):
    passed: bool
    void_reason: str  # why nothing can be told; empty: it can
    findings: list[Finding]
    figures: dict[str, Any]

    @property
    def outcome(self) -> str:
        return "void" if self.void_reason else "passed" if self.passed else "broken"


def max_count_in_window(times: Iterable[float], span: float = 1.0) -> tuple[int, float]:
    """The most in any span, and when it began."""
    held: list[float] = []
    most, when, first = 0, 0.0, 0
    for at in sorted(times):
        held.append(at)
        while held[first] <= at - span:
            first += 1
        if len(held) - first > most:
            most, when = len(held) - first, held[first]
    return most, when


def max_concurrent(begins: list[float], ends: list[float]) -> tuple[int, float]:
    """The most at one time, and when."""
    steps = sorted([(at, 1) for at in begins] + [(at, -1) for at in ends])
    most, count, when = 0, 0, 0.0
    for at, step in steps:
        count += step
        if count > most:
            most, when = count, at
    return most, when


class HistoryChecker:
    def __init__(self, scenario: Scenario, records: History) -> None:
        self.scenario, self.records = scenario, records
        self.findings: list[Finding] = []
        self.figures: dict[str, Any] = {}
        # Up to that, SLACK has room for it.
        self.lag = max([lag for _, lag in records.testbed_lags if lag > SLACK], default=0.0)
        first = min([attempt.at for attempt in records.client_attempts], default=float("inf"))
        self.waited = max([part for at, part in records.core_waits if at - 1.0 > first], default=0.0)
        # What the machine made late is nobody's: the stage's own lateness, proxies' wait for a core.
        self.slack = SLACK + self.lag + self.waited
        # By proxy: spans in which it could not act, for it was dead or stopped.
        self.away: dict[str, list[tuple[float, float]]] = defaultdict(list)
        since: dict[str, float] = {}
        for process_event in sorted(records.process_events):
            if process_event.what in ("killed", "stopped", "termed", "exited"):
                since.setdefault(process_event.proxy, process_event.at)
            elif process_event.what in ("woken", "launched") and process_event.proxy in since:
                self.away[process_event.proxy].append((since.pop(process_event.proxy), process_event.at))
        for proxy, at in since.items():
            self.away[proxy].append((at, float("inf")))

    def say(self, rule: str, proxy: str, at: float, what: str) -> None:
        self.findings.append(Finding(rule, proxy, round(at - self.records.started_at, 3), what))

    def late(self, begin: float, end: float) -> float:
        """What is nobody's of the time between two moments (s): all that proxies waited for a core meanwhile.

        Guards against blaming proxies that answer while others start, before the span that is judged whole.
        """
        waited = sum(part for at, part in self.records.core_waits if at > begin and at - 1.0 < end)
        return max(self.slack, SLACK + self.lag + waited)

    def behind(self, begin: float, end: float) -> float:
        """How late the stage itself was in what it saw between two moments (s), at most."""
        return max(
            (lag for at, lag in self.records.testbed_lags if at >= begin and at - lag - CROSS <= end),
            default=0.0,
        )

    def gone(self, proxy: str, begin: float, end: float) -> bool:
        return any(begin <= back and away <= end for away, back in self.away[proxy])

    def judge(self) -> Verdict:
        for part in (
            self.one_answer,
            self.effects,
            self.drains,
            self.cold,
            self.service,
            self.shares,
            self.flights,
            self.versions,
            self.trials,
            self.verdicts,
            self.served,
            self.crashes,
        ):
            part()
        self.figures |= {
            "lag_s": round(self.lag, 3),
            "waited_for_core": round(self.waited, 3),
            "faults": [what for *_, what in self.records.injected_faults],
            "sends": len(self.records.upstream_sends),
            "answers": len(self.records.client_answers),
        }
        self.costs()
        void = ""
        if self.lag > LAG:
            void = f"the stage was late by {self.lag:.2f} s"
        elif self.waited > WAITED:
            void = f"a proxy waited {self.waited:.2f} s of a second for a core"
        elif not self.records.client_answers and not self.scenario.must.served:
            void = "no answer was judged"
        return Verdict(
            not self.findings and not void, void, sorted(self.findings, key=lambda f: f.at), self.figures
        )

    # The four rules

    def one_answer(self) -> None:
        answers: dict[str, list] = defaultdict(list)
        for answer in self.records.client_answers:
            if answer.id:
                answers[answer.id].append(answer)
            else:
                self.say("one answer", answer.proxy, answer.at, "an answer where none was owed")
        until, judged, exempt = {}, 0, 0
        sent = {send.id for send in self.records.upstream_sends}
        for attempt in self.records.client_attempts:
            until[attempt.id] = attempt.at + attempt.deadline_s
            got = answers.get(attempt.id, [])
            last = got[0].at if got else attempt.at + attempt.deadline_s + SLACK
            if self.gone(attempt.proxy, attempt.at - SLACK, last):
                exempt += 1
                continue
            slack = self.late(attempt.at, last)
            if attempt.at + attempt.deadline_s + slack > self.records.ended_at:
                continue
            judged += 1
            if not got or got[0].kind == "none":
                self.say("one answer", attempt.proxy, attempt.at, f"{attempt.id}: no answer")
            elif got[0].kind == "closed" or (got[0].kind == "crossed" and attempt.id in sent):
                self.say("one answer", attempt.proxy, got[0].at, f"{attempt.id}: closed without an answer")
            elif got[0].kind == "another's":
                self.say("one answer", attempt.proxy, got[0].at, f"{attempt.id}: a value made for another")
            elif got[0].at > until[attempt.id] + slack:
                self.say("one answer", attempt.proxy, got[0].at, f"{attempt.id}: answered late")
            if len(got) > 1:
                self.say("one answer", attempt.proxy, got[1].at, f"{attempt.id}: answered twice")
        for send in self.records.upstream_sends:
            if send.id not in until:
                self.say("one answer", send.proxy, send.at, f"{send.id}: sent, though no client asked")
            elif send.at > until[send.id] + self.late(until[send.id], send.at) and not self.gone(
                send.proxy, until[send.id], send.at
            ):
                self.say("one answer", send.proxy, send.at, f"{send.id}: sent after its time")
        self.figures |= {"tries_judged": judged, "tries_exempt": exempt}

    def effects(self) -> None:
        runs: dict[str, list] = defaultdict(list)
        marks: dict[str, list] = defaultdict(list)
        for run in self.records.executions:
            runs[run.id].append(run)
            if run.idempotency_key:
                marks[run.idempotency_key].append(run)
        sends: dict[str, list[tuple[UpstreamSend, float]]] = defaultdict(list)
        for place, send in enumerate(self.records.upstream_sends):
            sends[send.id].append((send, self.records.send_ended_at.get(place, self.records.ended_at)))
        proxy = {send.id: send.proxy for send in self.records.upstream_sends}
        for name, ran in runs.items():
            if ran[0].method == "order" and len(ran) > 1:
                self.say("effects", proxy[name], ran[1].at, f"{name}: non-retriable, ran {len(ran)} times")
        for mark, ran in marks.items():
            if max(run.at for run in ran) - min(run.at for run in ran) > WINDOW + self.slack:
                self.say("effects", proxy[ran[0].id], ran[-1].at, f"{mark}: ran again after its window")
        for answer in self.records.client_answers:
            ran = runs.get(answer.id)
            if ran and answer.kind == "exhausted" and ran[0].method == "order":
                self.say("effects", answer.proxy, answer.at, f"{answer.id}: exhausted, though it ran")
        for name, out in sends.items():
            for (_, before), (send, _) in zip(out, out[1:], strict=False):
                if send.at < before - CROSS - self.behind(send.at, before):
                    self.say("effects", send.proxy, send.at, f"{name}: two out at once")
        self.figures["most_sends"] = max([len(out) for out in sends.values()], default=0)

    def drains(self) -> None:
        """Nothing new to a cache past the grace after its proxy was told that it drains or is gone."""
        states: dict[str, dict[str, tuple[float, bool]]] = defaultdict(dict)
        steps: list[tuple[float, int, Any]] = [(told.at, 0, told) for told in self.records.list_events]
        steps += [(send.at, 1, send) for send in self.records.upstream_sends]
        steps += [
            (process_event.at, -1, process_event)
            for process_event in self.records.process_events
            if process_event.what == "launched"
        ]
        latest = 0.0
        for at, kind, what in sorted(steps, key=lambda step: step[:2]):
            known = states[what.proxy]
            if kind == -1:
                known.clear()
            elif kind == 0:
                if what.complete:
                    listed = {name for name, _ in what.entries}
                    for name in known.keys() - listed:
                        known[name] = (known[name][0], True) if known[name][1] else (at, True)
                for name, state in what.entries:
                    off = state != "SERVING"
                    if name not in known or known[name][1] != off:
                        known[name] = at, off
            elif what.cache not in known:
                if known and not self.scenario.fleet.snapshot:
                    self.say("drains", what.proxy, at, f"sent to {what.cache}, which no list has named")
            elif known[what.cache][1]:
                over = at - known[what.cache][0]
                latest = max(latest, over)
                if over > GRACE + self.slack and not self.gone(what.proxy, known[what.cache][0], at):
                    self.say("drains", what.proxy, at, f"sent to {what.cache} {over:.2f} s after its drain")
        self.figures["latest_after_drain_s"] = round(latest, 3)
        self.spread()

    def spread(self) -> None:
        """How long it took from the first proxy to the last until each was told of a drain."""
        first: dict[str, dict[str, float]] = defaultdict(dict)
        for told in sorted(self.records.list_events):
            for name, state in told.entries:
                if state == "DRAINING":
                    first[name].setdefault(told.proxy, told.at)
        longest, bound = 0.0, self.scenario.must.told_all_s
        for name, times in first.items():
            begin = min(times.values())
            for proxy in (f"p{i}" for i in range(self.scenario.fleet.proxies)):
                at = times.get(proxy, float("inf"))
                if at < float("inf"):
                    longest = max(longest, at - begin)
                due = begin + bound + self.lag if bound is not None else float("inf")
                if at > due and due < self.records.ended_at:
                    self.say("told", proxy, begin + bound, f"not told yet that {name} drains")
        self.figures["drain_told_all_s"] = round(longest, 2)

    def cold(self) -> None:
        """Cold caches are not pushed over by all proxies together: from sends, by the stated capacity."""
        cache = self.scenario.cache
        sends: dict[str, list[float]] = defaultdict(list)
        for send in self.records.upstream_sends:
            sends[send.cache].append(send.at)
        top, worst = 0.0, ("", 0.0)
        for name, starts in self.records.cold_starts.items():
            for start in starts:
                times = sorted(at for at in sends[name] if start <= at <= start + cache.cold_s)
                for number, at in enumerate(times):
                    first = bisect_right(times, at - cache.fall_s)
                    share = cache.cold_share + (1 - cache.cold_share) * (at - start) / cache.cold_s
                    bears = cache.fall_multiple * cache.slots / (cache.hit_ms / 1000.0) * share * cache.fall_s
                    if (number + 1 - first) / bears > top:
                        top, worst = (number + 1 - first) / bears, (name, at)
        if top > 1.0:
            self.say("cold caches", worst[0], worst[1], f"{worst[0]} was sent {top:.2f} of what it bears")
        for at, name in self.records.cache_collapses:
            self.say("cold caches", name, at, f"{name} fell over")
        self.figures["cold_pushed"] = round(top, 3)

    # The bounds

    def service(self) -> None:
        must, fleet = self.scenario.must, self.scenario.fleet
        asks = [ask.at for ask in self.records.discovery_calls if ask.what == "asked"]
        peak, when = max_count_in_window(asks)
        launch_times: dict[str, list[float]] = defaultdict(list)
        for process_event in self.records.process_events:
            if process_event.what == "launched":
                launch_times[process_event.proxy].append(process_event.at)
        launches = sorted(at for times in launch_times.values() for at in times)
        heard: dict[str, float] = {}
        lists: dict[tuple[str, int], float] = {}  # by proxy and incarnation, when it was first told a list
        for told in self.records.list_events:
            heard.setdefault(told.proxy, told.at)
            lists.setdefault((told.proxy, bisect_right(launch_times[told.proxy], told.at)), told.at)
        waits = sorted(
            at - launch_times[proxy][incarnation - 1]
            for (proxy, incarnation), at in lists.items()
            if incarnation
        )
        begins, room = self.records.started_at, self.scenario.service.room
        last = max(heard.values(), default=begins)
        self.figures |= {
            "asked": len(asks),
            "asked_peak": peak,
            "asked_peak_at_s": round(when - begins, 2),
            "refused": sum(ask.what == "refused" for ask in self.records.discovery_calls),
            "launched_s": round(max(launches, default=begins) - begins, 2),
            "listed": len(heard),
            "listed_last_s": round(last - begins, 2),
            "lives": len(launches),
            "list_after_launch_s": [round(waits[int(part * (len(waits) - 1))], 2) for part in (0.5, 0.95, 1)]
            if waits
            else None,
        }
        if must.asks_per_room is not None and peak > must.asks_per_room * room + 1 + EDGE * room:
            self.say("asks", "all", when, f"{peak} asked in a second, of a room of {room:g}")
        if must.list_factor is not None:
            bound = max([begins, *launches[: fleet.proxies]]) + must.list_factor * fleet.proxies / room + 1.0
            late = [p for p in (f"p{i}" for i in range(fleet.proxies)) if heard.get(p, float("inf")) > bound]
            for proxy in late:
                told = f"{heard[proxy] - begins:.1f} s" if proxy in heard else "never"
                self.say("list", proxy, bound, f"heard its list {told}, bound {bound - begins:.1f} s")
        doors: dict[str, float] = {}
        for at, proxy in self.records.proxy_ready_events:
            doors.setdefault(proxy, at)
            incarnation = proxy, bisect_right(launch_times[proxy], at)
            if (
                must.list_before_door
                and not fleet.snapshot
                and lists.get(incarnation, float("inf")) > at + CROSS
            ):
                self.say("door", proxy, at, "said yes before it was told a list")
        times = sorted(at - begins for at in doors.values())
        for name, part in (("half", 0.5), ("95", 0.95), ("all", 1.0)):
            place = max(0, round(part * fleet.proxies) - 1)
            self.figures[f"serves_{name}_s"] = round(times[place], 2) if place < len(times) else None
        if must.serves_all_s is not None:
            for proxy in (f"p{i}" for i in range(fleet.proxies)):
                if doors.get(proxy, float("inf")) > begins + must.serves_all_s:
                    self.say("door", proxy, begins + must.serves_all_s, "does not say yes yet")

    def shares(self) -> None:
        must = self.scenario.must
        begun: dict[str, list[float]] = defaultdict(list)
        ended: dict[str, list[float]] = defaultdict(list)
        for hand in self.records.connection_events:
            (begun if hand.opened else ended)[hand.cache].append(hand.at)
        peaks = {name: max_count_in_window(times) for name, times in begun.items()}
        most = {name: max_concurrent(times, ended[name]) for name, times in begun.items()}
        name = max(peaks, key=lambda name: peaks[name][0], default=None)
        self.figures["handshakes"] = sum(map(len, begun.values()))
        self.figures["handshakes_peak"] = peaks[name][0] if name else 0
        self.figures["connections_peak"] = max([count for count, _ in most.values()], default=0)
        for cache, (count, at) in peaks.items():
            if must.handshakes is not None and count > must.handshakes * (1 + EDGE + 2 * self.lag) + 1:
                self.say("handshakes", "all", at, f"{count} in a second at {cache}, over {must.handshakes:g}")
        for cache, (count, at) in most.items():
            if must.connections is not None and count > must.connections:
                self.say("connections", "all", at, f"{count} held at {cache}, over {must.connections}")
        fetches = self.records.origin_fetches
        count, at = max_concurrent([begin for begin, _ in fetches], [end for _, end in fetches])
        self.figures |= {"fetches": len(fetches), "fetches_at_once": count}
        if must.fetches is not None and count > must.fetches:
            self.say("fetches", "all", at, f"{count} asked of the origin at one time, over {must.fetches}")
        count, at = max_count_in_window(begin for begin, _ in fetches)
        self.figures["fetches_peak"] = count
        room = must.fetches_per_s
        # A turn may be taken 0.3 s late, as on every grid; caches that queue bring some together.
        if room is not None and count > room * (1.3 + EDGE + 2 * self.lag) + 1:
            self.say("fetches", "all", at, f"{count} asked of the origin in a second, over {room:g}")

    def flights(self) -> None:
        """RPCs that are out at a cache at one time, from all proxies."""
        outs: dict[str, tuple[list[float], list[float]]] = defaultdict(lambda: ([], []))
        for place, send in enumerate(self.records.upstream_sends):
            begins, ends = outs[send.cache]
            begins.append(send.at)
            ends.append(self.records.send_ended_at.get(place, self.records.ended_at))
        most, bound = (
            {name: max_concurrent(*times) for name, times in outs.items()},
            self.scenario.must.in_flight,
        )
        self.figures["in_flight_peak"] = max([count for count, _ in most.values()], default=0)
        for cache, (count, at) in most.items():
            if bound is not None and count > bound:
                self.say("in flight", "all", at, f"{count} out at {cache} at one time, over {bound:g}")

    def versions(self) -> None:
        """How long after a majority was handed a version a send was seen that it forbids."""
        records, longest, judged = self.records, 0.0, 0
        majority = self.scenario.fleet.proxies // 2 + 1
        held_at: dict[int, float] = {}
        for version in sorted(one.version for one in records.published_versions):
            times = sorted(
                {
                    proxy: at
                    for at, proxy, held in sorted(records.document_deliveries, reverse=True)
                    if held >= version
                }.values()
            )
            if len(times) >= majority:
                held_at[version] = times[majority - 1]
        zones = {one.version: one.zones for one in records.published_versions}
        orders = [send for send in records.upstream_sends if send.method == "order"]
        for send in orders:
            binding = [version for version, at in held_at.items() if at < send.at]
            if not binding:
                continue
            judged += 1
            # Forbidden by the newest that a majority had, and by all since: when did that begin?
            since = None
            for version in sorted(binding, reverse=True):
                if records.cache_zones[send.cache] in zones[version]:
                    break
                since = held_at[version]
            if since is not None:
                longest = max(longest, send.at - since)
                bound = self.scenario.must.settled_s
                if bound is not None and send.at - since > bound + self.slack:
                    self.say(
                        "versions",
                        send.proxy,
                        send.at,
                        f"sent to zone {records.cache_zones[send.cache]} "
                        f"{send.at - since:.2f} s after a majority had the version that forbids it",
                    )
        if records.published_versions:
            first = {
                version: [at for at, _, held in records.document_deliveries if held >= version]
                for version in held_at
            }
            self.figures |= {
                "versions": len(records.published_versions),
                "orders_judged": judged,
                "forbidden_longest_s": round(longest, 3),
                "handed_last_s": round(
                    max((max(times) - min(times) for times in first.values()), default=0.0), 2
                ),
            }

    def trials(self) -> None:
        """A bad version that is tried: where it fails orders, and for how long; what clients saw."""
        bound, longest = self.scenario.must.halted_s, 0.0
        orders = {
            attempt.id: attempt for attempt in self.records.client_attempts if attempt.method == "order"
        }
        lost: dict[str, list[float]] = defaultdict(list)
        got: dict[str, list[float]] = defaultdict(list)
        for answer in self.records.client_answers:
            if answer.id in orders:
                (got if answer.kind == "completed" else lost)[answer.proxy].append(answer.at)

        def failing(proxy: str, begin: float, end: float) -> float:
            """The part of its orders that were not completed."""
            count = [sum(begin <= at < end for at in times[proxy]) for times in (lost, got)]
            return count[0] / sum(count) if sum(count) >= TOLD else 0.0

        for one in (one for one in self.records.canaries if one.harmful and bound is not None):
            halted, end = one.at + bound, max(one.at + bound + 3.0, one.at + one.duration_s)
            for proxy in (f"p{number}" for number in range(self.scenario.fleet.proxies)):
                if proxy in one.proxies:
                    seen = [at for at in lost[proxy] if one.at <= at < halted]
                    longest = max(longest, max(seen, default=one.at) - one.at)
                    if failing(proxy, halted + self.slack, end) > 0.5:
                        self.say("trials", proxy, halted, "goes on with a version that fails")
                elif any(
                    failing(proxy, one.at + later, one.at + later + 3.0) > 0.5
                    for later in range(int(one.duration_s))
                ):
                    self.say("trials", proxy, one.at, "fails by a version that others were to try")
            self.figures |= {
                "trial_failed": sum(one.at <= at < end for p in one.proxies for at in lost[p]),
                "trial_failed_longest_s": round(longest, 2),
            }

    def verdicts(self) -> None:
        """What sick caches are sent, and healthy ones beside them; from sends."""
        bound, begins = self.scenario.must.avoided_s, self.records.started_at
        for event in (
            one for one in self.scenario.event if one.do in ("sick", "sick_large") and bound is not None
        ):
            ends = min(event.until or self.scenario.seconds, self.scenario.seconds)
            rates: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
            for send in self.records.upstream_sends:
                at = send.at - begins
                # One that is slow for large answers alone is healthy for the others, by its plain name.
                cache = send.cache
                if (
                    event.do == "sick_large"
                    and send.method == "read"
                    and self.scenario.has_large_value(send.key)
                ):
                    cache += LARGE
                if event.at - BEFORE <= at < event.at:
                    rates[cache][0] += 1.0 / BEFORE
                elif event.at + bound <= at < ends:
                    rates[cache][1] += 1.0 / (ends - event.at - bound)
            sick = event.who + LARGE if event.do == "sick_large" else event.who
            others = {one.who for one in self.scenario.event if one.do in ("sick", "sick_large")} - {
                event.who
            }
            for cache, (before, after) in sorted(rates.items()):
                if before * BEFORE < TOLD or cache.removesuffix(LARGE) in others:
                    continue
                if cache == sick:
                    self.figures[f"{event.do}_sent"] = round(after / before, 2)
                    if after > LESS * before:
                        self.say(
                            "verdicts",
                            "all",
                            begins + event.at + bound,
                            f"{cache} is sick, and is sent {after:.1f} a second of {before:.1f}",
                        )
                elif after < 0.5 * before and not (event.do == "sick_large" and cache.endswith(LARGE)):
                    self.say(
                        "verdicts",
                        "all",
                        begins + event.at + bound,
                        f"{cache} is healthy, and is sent {after:.1f} a second of {before:.1f}",
                    )

    def costs(self) -> None:
        """What a proxy costs in the last third, by the system and by what went over the links."""
        records, count = self.records, self.scenario.fleet.proxies
        since = records.ended_at - (records.ended_at - records.started_at) / 3.0
        spent = [part for at, part in records.processor_use if at > since]
        sizes = [size for at, size in records.datagrams if at > since]
        span = max(1.0, records.ended_at - since) * count
        self.figures |= {
            "core_each": round(sum(spent) / len(spent) / count, 5) if spent else None,
            "datagrams_each_s": round(len(sizes) / span, 1),
            "datagram_bytes_each_s": round(sum(sizes) / span),
        }

    def served(self) -> None:
        soft = self.scenario.traffic.soft_ms / 1000.0
        kinds = Counter(answer.kind for answer in self.records.client_answers)
        intents = sorted(self.records.client_requests)
        good = [i.completed_at is not None and i.completed_at <= i.at + soft for i in intents]
        third = good[-(len(good) // 3) :] if len(good) > 2 else good
        self.figures |= {
            "rpcs": len(intents),
            "in_time": round(sum(good) / len(good), 4) if good else None,
            "in_time_last_third": round(sum(third) / len(third), 4) if third else None,
            "tries_by_answer": dict(sorted(kinds.items())),
        }
        self.figures["steady_s"] = self.steady(intents, good)
        tenants = [intent.tenant for intent in intents[-len(third) :]] if third else []
        for tenant in sorted(set(tenants)):
            ours = [fine for fine, one in zip(third, tenants, strict=True) if one == tenant]
            self.figures[f"{tenant}_in_time_last_third"] = part = round(sum(ours) / len(ours), 4)
            least = self.scenario.must.served_first
            if tenant == "shop" and least is not None and part < least:
                self.say(
                    "served",
                    "all",
                    self.records.ended_at,
                    f"{part:.3f} of the first tenant's in time at the end, under {least:g}",
                )
        least = self.scenario.must.served
        if least is not None and (not third or sum(third) / len(third) < least):
            part = sum(third) / len(third) if third else 0.0
            self.say(
                "served", "all", self.records.ended_at, f"{part:.3f} in time at the end, under {least:g}"
            )

    def steady(self, intents: list, good: list[bool]) -> float | None:
        """From when on 95% of RPCs are completed in time, in every second till the end."""
        seconds: dict[int, list[bool]] = defaultdict(list)
        for intent, fine in zip(intents, good, strict=True):
            seconds[int(intent.at - self.records.started_at)].append(fine)
        since = None
        for second in sorted(seconds):
            fine = sum(seconds[second]) >= 0.95 * len(seconds[second])
            since = (second if since is None else since) if fine else None
        return since

    def crashes(self) -> None:
        ordered: dict[str, str] = {}
        for process_event in sorted(self.records.process_events, key=lambda process_event: process_event.at):
            if process_event.what == "exited" and ordered.get(process_event.proxy) not in (
                "killed",
                "termed",
            ):
                self.say(
                    "crash",
                    process_event.proxy,
                    process_event.at,
                    f"ended by itself with {process_event.code}",
                )
            elif (
                process_event.what == "exited"
                and ordered.get(process_event.proxy) == "termed"
                and process_event.code != 0
            ):
                self.say(
                    "crash",
                    process_event.proxy,
                    process_event.at,
                    f"ended with {process_event.code} after SIGTERM",
                )
            if process_event.what in ("launched", "killed", "termed"):
                ordered[process_event.proxy] = process_event.what


def check_history(scenario: Scenario, records: History) -> Verdict:
    return HistoryChecker(scenario, records).judge()
