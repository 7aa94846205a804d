"""Breakdown of the loss of a run: requests of clients that were not served in time, by cause.

A proxy that logs at DEBUG writes a line for each request that it answers (`event=rpc`: answer, ms, sends,
why), and one when its set of ejected endpoints changes (`event=aside`). What clients saw decides whether a
request was lost; the proxy's own line says why. Where the two differ, this is a cause of its own.

Invariants:
    Nothing is judged here, and the causes sum up to all that was lost.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from calicofall.testbed.history import History
from calicofall.testbed.scenario import CacheEvent, LinkEvent, Scenario, expand_group

LogLine = dict[str, str]
ProxyLogs = dict[str, list[LogLine]]  # by proxy

PAIRS = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
SETTLE_S = 1.0  # after a fault ends; an endpoint that is still ejected then is not ejected in error
MAX_PREFIX_LENGTH = 32  # characters before a line, such as the time that a log collector writes
DETECTED_SHARE = 0.95  # a faulty endpoint is detected when this fraction of the proxies has ejected it
LOG_SUFFIXES = (".log", ".txt", ".err")
ENDPOINT_FAULTS = ("sick", "sick_large", "cold", "remove", "drain", "add")
LINK_FAULTS = ("cut", "slow", "delay", "reset")


class AnswersInPeriod(NamedTuple):
    """The answers of a period, and the cause to which most of those not in time were lost."""

    began_s: float  # since the first answer
    answers: int
    in_time_share: float
    main_cause: str  # empty: all were in time
    main_cause_share: float


@dataclass(frozen=True, slots=True)
class FaultyPeriod:
    """A time (s since the start of the run) in which an endpoint or the links to it are faulty."""

    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class Ejection:
    """A time (s since the start of the run) in which a proxy had an endpoint ejected."""

    proxy: str
    endpoint: str
    begin: float
    end: float


def parse_log_file(file: Path) -> Iterator[LogLine]:
    """Yield the lines of a log as names and values.

    Lines of other programs are skipped, and so is a prefix such as the time that a log collector writes.
    """
    with file.open(errors="replace") as text:
        for line in text:
            if 0 <= line.find("at=") <= MAX_PREFIX_LENGTH:
                yield {name: value.strip('"') for name, value in PAIRS.findall(line)}


def read_logs(folder: Path) -> ProxyLogs:
    """Return the logs in a folder by proxy: a folder each, as the testbed keeps them, or a file each."""
    files = {entry.name: entry / "log" if entry.is_dir() else entry for entry in sorted(folder.iterdir())}
    return {
        name: list(parse_log_file(file))
        for name, file in files.items()
        if file.is_file() and (file.name == "log" or file.suffix in LOG_SUFFIXES)
    }


def answered_in_time(line: LogLine) -> bool:
    """Return whether the request of an `rpc` line completed within its latency objective."""
    return line["answer"] == "completed" and float(line["ms"]) <= float(line["soft"])


def _attempt_outcome(attempt: str) -> str:
    """Return the outcome in an attempt of a log line, `endpoint:outcome:ms`."""
    return attempt.rsplit(":", 2)[1]


def _attempt_sent_after_ms(attempt: str) -> float:
    """Return how long after the request an attempt was sent (ms), from `endpoint:outcome:ms`."""
    return float(attempt.rsplit(":", 2)[2])


def loss_cause(line: LogLine) -> str:
    """Return why a request was not served in time, from the `rpc` line of the proxy."""
    attempts = line["sends"].split(",") if line.get("sends") else []
    if line["answer"] == "completed":
        if len(attempts) > 1:
            return f"late behind {_attempt_outcome(attempts[0])}"
        waited = _attempt_sent_after_ms(attempts[0]) > float(line["soft"]) / 2.0
        return "late, waited at the proxy" if waited else "late at a cache"
    answer = "refused" if line["answer"] == "exhausted" else "errored"
    if attempts:
        return f"{answer} after {_attempt_outcome(attempts[-1])}"
    return f"{answer}: {line.get('why', 'unknown')}"


def count_lost_requests(scenario: Scenario, history: History, logs: ProxyLogs) -> Counter[str]:
    """Return the requests of clients that were not served in time, by cause; they sum up to all lost."""
    latency_objective_s = scenario.traffic.soft_ms / 1000.0
    line_by_id = {line["id"]: line for lines in logs.values() for line in lines if line.get("event") == "rpc"}
    answer_kind_by_id = {answer.id: answer.kind for answer in history.client_answers if answer.id}
    causes: Counter[str] = Counter()
    for request in history.client_requests:
        if request.completed_at is None or request.completed_at > request.at + latency_objective_s:
            causes[_cause_of_lost_request(request.last_attempt_id, answer_kind_by_id, line_by_id)] += 1
    return causes


def _cause_of_lost_request(
    last_attempt: str, answer_kind_by_id: dict[str, str], line_by_id: dict[str, LogLine]
) -> str:
    line = line_by_id.get(last_attempt)
    if not last_attempt:
        return "no proxy that serves"
    if answer_kind_by_id.get(last_attempt) in ("crossed", "closed", "none"):
        return "its proxy died"
    if line is None:
        return "not in the proxies' logs"
    if answered_in_time(line):
        return "in time at the last proxy, refused before"
    return loss_cause(line)


def summarize_answers(logs: ProxyLogs) -> dict[str, Any]:
    """Summarize the answers in logs of proxies, also outside the testbed; each attempt counts by itself."""
    causes: Counter[str] = Counter()
    by_method: dict[str, Counter[str]] = defaultdict(Counter)
    answers = 0
    ejections = 0
    for lines in logs.values():
        for line in lines:
            if line.get("event") == "rpc":
                answers += 1
                cause = "in time" if answered_in_time(line) else loss_cause(line)
                causes[cause] += 1
                by_method[line["method"]][cause] += 1
            ejections += line.get("event") == "mode" and line.get("what", "").startswith("set aside")
    return {
        "proxies": len(logs),
        "answers": answers,
        "set_aside": ejections,
        "by_cause": dict(causes.most_common()),
        "by_method": {name: dict(counts.most_common()) for name, counts in sorted(by_method.items())},
    }


def answers_by_period(logs: ProxyLogs, period_s: float) -> list[AnswersInPeriod]:
    """Return the answers in logs by the period in which they were given."""
    answers = sorted(
        (float(line["at"]), "" if answered_in_time(line) else loss_cause(line))
        for lines in logs.values()
        for line in lines
        if line.get("event") == "rpc"
    )
    causes_by_period: dict[int, Counter[str]] = defaultdict(Counter)
    for at, cause in answers:
        causes_by_period[int((at - answers[0][0]) / period_s)][cause] += 1
    periods = []
    for number, causes in sorted(causes_by_period.items()):
        total = sum(causes.values())
        in_time = causes.pop("", 0)
        main_cause, count = causes.most_common(1)[0] if causes else ("", 0)
        periods.append(AnswersInPeriod(number * period_s, total, in_time / total, main_cause, count / total))
    return periods


def startup_times(logs: ProxyLogs, phase: str) -> list[float]:
    """Return how long startups took to reach a phase (ms), the shortest first."""
    return sorted(
        float(line["ms"])
        for lines in logs.values()
        for line in lines
        if line.get("event") == "start" and line.get("phase") == phase
    )


def faulty_periods(scenario: Scenario) -> dict[str, list[FaultyPeriod]]:
    """Return by endpoint when the events of the scenario make it, or the links to it, faulty."""
    periods: dict[str, list[FaultyPeriod]] = defaultdict(list)
    fleet = scenario.fleet
    for event in scenario.event:
        affected: Iterable[str] = ()
        if isinstance(event, CacheEvent) and event.do in ENDPOINT_FAULTS:
            affected = expand_group(event.who, fleet.proxies, fleet.caches, fleet.zones)
        elif isinstance(event, LinkEvent) and event.do in LINK_FAULTS:
            affected = expand_group(event.to, fleet.proxies, fleet.caches, fleet.zones)
        for name in affected:
            if name.startswith("c"):
                warm_up = scenario.cache.cold_s if event.do in ("cold", "add") else 0.0
                end = (event.until or event.at + warm_up) + SETTLE_S
                periods[name].append(FaultyPeriod(event.at, end))
    return periods


def _ejections(proxy: str, lines: list[LogLine], epoch_offset_s: float, run_end: float) -> Iterator[Ejection]:
    """Yield the ejections of a proxy, from its `aside` lines; `epoch_offset_s`: time of day at the start."""
    ejected_since: dict[str, float] = {}
    changes: list[tuple[float, set[str]]] = [
        (float(line["at"]) - epoch_offset_s, {*line["caches"].split(",")} if line.get("caches") else set())
        for line in lines
        if line.get("event") == "aside"
    ]
    for at, ejected in [*changes, (run_end, set[str]())]:
        for endpoint in ejected - ejected_since.keys():
            ejected_since[endpoint] = at
        for endpoint in ejected_since.keys() - ejected:
            yield Ejection(proxy, endpoint, ejected_since.pop(endpoint), at)


def ejection_figures(scenario: Scenario, history: History, logs: ProxyLogs) -> dict[str, Any]:
    """Return how often and for how long endpoints were ejected in error, and how soon faulty ones were."""
    faulty = faulty_periods(scenario)
    count = 0
    seconds = 0.0
    delays: dict[str, dict[str, float]] = defaultdict(dict)  # by endpoint and proxy, from fault to ejection
    for proxy, lines in logs.items():
        for ejection in _ejections(proxy, lines, history.started_at_epoch_s, scenario.seconds):
            begins = [
                period.begin
                for period in faulty.get(ejection.endpoint, [])
                if period.begin <= ejection.end and ejection.begin <= period.end
            ]
            if begins:
                fault_began = max(begins)
                delay = max(ejection.begin, fault_began) - fault_began
                delays[ejection.endpoint].setdefault(proxy, delay)
            else:
                count += 1
                seconds = seconds + ejection.end - ejection.begin
    span = scenario.seconds - scenario.traffic.begins
    fleet = scenario.fleet
    return {
        "aside_in_error_a_minute": round(count / span * 60.0, 1),
        "aside_in_error_part": round(seconds / span / fleet.proxies / fleet.caches, 5),
        "sick_known_95_s": {
            endpoint: _detection_delay(delays[endpoint], fleet.proxies) for endpoint in sorted(delays)
        },
        "sick_known_by": {endpoint: len(delays[endpoint]) for endpoint in sorted(delays)},
    }


def _detection_delay(delays: dict[str, float], proxies: int) -> float | None:
    """Return after which time (s) enough proxies had ejected a faulty endpoint; None: too few did."""
    index = max(0, round(DETECTED_SHARE * proxies) - 1)
    ordered = sorted(delays.values())
    return round(ordered[index], 1) if index < len(ordered) else None


def loss_breakdown(scenario: Scenario, history: History, folder: Path) -> dict[str, Any]:
    """Return the complete breakdown of a run, as it is stored with the result."""
    logs = read_logs(folder)
    causes = count_lost_requests(scenario, history, logs)
    answers_in_logs = sum(line.get("event") == "rpc" for lines in logs.values() for line in lines)
    return {
        "wishes": len(history.client_requests),
        "lost": sum(causes.values()),
        "by_cause": dict(causes.most_common()),
        "answers_seen_by_clients": sum(bool(answer.id) for answer in history.client_answers),
        "answers_in_logs": answers_in_logs,
    } | ejection_figures(scenario, history, logs)
