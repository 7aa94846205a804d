"""All decisions of a proxy: where an RPC goes, what follows an outcome, how long to wait.

How to call it (benchlink/host.py makes each call; the interface is below and, for the RPC record, in rpc.py).
One `Policy(deployment, seed, now)` a proxy; times are ms with fractions. Three calls give plain values back:
  where(now, rpc) -> verdict: where to send this RPC, or not yet, or never
  after(now, rpc, number, took, note, report) -> verdict or None, once rpc.sent[number].outcome is known
  wait(now) -> (ms until the next call, errands such as ("follow",), ("log", text))
A verdict is ("send", cache, time-out), ("wait", ms), ("exhausted", come-back ms) or ("errored",); the caller
carries it out (rpc.sent has the transmission already), and calls where() again after a wait. News comes by
listed(), left() and probed().
"""

from hashlib import blake2b
from heapq import nsmallest
from math import inf, log, sqrt
from random import Random

from calicofall.rpc import Rpc, Transmission

PRIME = (1 << 61) - 1
FADE = 20_000.0  # the design's ramp of a weight after the listed start
HOLDS = 10_000.0  # what was seen to be held is believed for one to two of these
SPILL = 2  # RPCs of this proxy in hand at an owner from which it spills: the design's floor
REVIEW = 250.0  # between two looks at the measures
Verdict = tuple


def point(name: bytes) -> int:
    """A place on the circle, the same at every proxy and at each start."""
    return int.from_bytes(blake2b(name, digest_size=8).digest()) % PRIME


class Ring:
    """Counts and sums over the last `span` ms, in fixed buckets of time that are used again."""

    __slots__ = ("width", "marks", "counts", "sums")

    def __init__(self, span: float, buckets: int = 8) -> None:
        self.width = span / buckets
        self.marks, self.counts, self.sums = [-1] * buckets, [0.0] * buckets, [0.0] * buckets

    def add(self, now: float, value: float = 0.0, count: float = 1.0) -> None:
        mark = int(now // self.width)
        i = mark % len(self.marks)
        if self.marks[i] != mark:
            self.marks[i], self.counts[i], self.sums[i] = mark, 0.0, 0.0
        self.counts[i] += count
        self.sums[i] += value

    def live(self, now: float) -> list[int]:
        oldest = int(now // self.width) - len(self.marks)
        return [i for i, mark in enumerate(self.marks) if mark > oldest]

    def count(self, now: float) -> float:
        return sum(self.counts[i] for i in self.live(now))

    def shortest(self, now: float, default: float) -> float:
        """The least mean of a bucket that saw enough to have one."""
        means = [self.sums[i] / self.counts[i] for i in self.live(now) if self.counts[i] >= 4]
        return min(means, default=default)

    def mean(self, now: float, default: float = 0.0) -> float:
        live = self.live(now)
        count = sum(self.counts[i] for i in live)
        return sum(self.sums[i] for i in live) / count if count else default


class Limit:
    """An in-flight limit that follows the shortest answer time over the present one."""

    def __init__(self, start: float, floor: float, slack: float) -> None:
        self.value, self.floor, self.slack, self.held, self.short = start, floor, slack, 0, False
        self.present, self.fell_at = Ring(1000.0, 4), 0.0

    def room(self, part: float) -> bool:
        """Whether a part of the limit is still free; it may grow only where something was turned away."""
        free = self.held < self.value * part
        self.short = self.short or not free
        return free

    def review(self, now: float) -> None:
        if self.present.count(now) >= 3:
            ratio = max(0.5, self.slack / max(self.present.mean(now), 0.1))
            if ratio < 1 and now - self.fell_at >= 1000.0:  # the same answers shrink it once
                self.value, self.fell_at = self.value * ratio, now
            elif ratio >= 1 and self.short:
                self.value += 0.3 * sqrt(self.value)
        self.value = max(self.floor, self.value)
        self.short = False


class Cache:
    """What this proxy knows of one cache, or of the origin."""

    def __init__(self, name: str) -> None:
        self.name, self.salt = name, point(name.encode()) | 1
        self.weight, self.started, self.ready, self.cell, self.zone = 1.0, 0.0, True, 0, ""
        self.held, self.heard = 0, 0.0  # last heard of, or first waited for
        self.done = Ring(4000.0, 8)
        self.sent = Ring(1000.0, 8)
        self.gap, self.trickle_at = 0.0, 0.0
        self.clear()

    def clear(self) -> None:
        """Nothing is held against it."""
        self.pace = Ring(3000.0, 6)  # answer time over what is usual for the method
        self.streak = 0  # failures in a row that speak of a dead process
        self.aside_since: float | None = None


class Policy:
    def __init__(self, deployment: dict, seed: int, now: float) -> None:
        self.rules, self.caps = deployment["rules"], deployment["caps"]
        self.chance = Random(seed)
        self.methods = {method["name"]: method for method in deployment["methods"]}
        self.soonest = min((m["soft_deadline"] for m in self.methods.values()), default=500.0)
        self.proxies = max(1, deployment.get("proxies") or 1)
        self.most = self.caps.get("most_transmissions") or 3
        data = deployment.get("data") or {}
        self.aside = data.get("mode") == "aside"
        kind, kinds = data.get("origin_kind", -1), deployment.get("kinds") or []
        self.origin_kind = kinds[kind] if self.aside and 0 <= kind < len(kinds) else None
        self.caches: dict[str, Cache] = {}
        self.origins: list[Cache] = []
        self.usable: list[tuple[float, Cache]] = []  # ready, not set aside: (present weight, cache)
        self.rankings: dict[int, list[Cache]] = {}
        self.errands: list[tuple] = []
        # Following the list
        self.asks = deployment.get("discovery") == "ask"
        self.ask_at, self.ask_gap = now if self.asks else inf, 250.0
        # Measures
        self.usual = {name: Ring(60_000.0, 24) for name in self.methods}  # completed answer times
        self.typical = {name: method["soft_deadline"] / 3 for name, method in self.methods.items()}
        self.fetches, self.fetch_usual = Ring(60_000.0, 24), min(self.typical.values(), default=50.0)
        self.fleet = Limit(40.0, 4.0, 2.5)
        self.origin = Limit(12.0, 2.0, 2.5)
        self.retries = 10.0
        self.carried = 0.0  # completed by a warm cache, per ms and unit of weight, this proxy's share
        self.holders: list[set[tuple]] = [set(), set()]  # (key, cache) seen to be held; newer, older
        self.turn_at = now + HOLDS
        quotas = {t["name"]: t.get("quota") or 0.0 for t in deployment.get("tenants") or []}
        self.quota = {name: quota / 1000.0 / self.proxies for name, quota in quotas.items()}
        self.purse = {name: [quota * 500.0, now] for name, quota in self.quota.items()}
        self.asked = {name: Ring(4000.0, 8) for name in self.quota}
        self.scale = self.middle = 1.0
        gains = {name: method.get("gain") or 1.0 for name, method in self.methods.items()}
        top = max(gains.values(), default=1.0)
        self.rank = {name: gain / top for name, gain in gains.items()}
        self.review_at, self.overloaded = now + REVIEW, False

    # News

    def listed(self, now: float, kind: str, version: int | None, entries: list[tuple]) -> None:
        if kind == "failed":
            self.errands.append(("log", f"list call failed: asked again after about {self.ask_gap:.0f} ms"))
            # Guards against all proxies asking again in step and filling the list's service once more.
            self.ask_at = now + self.ask_gap * self.chance.uniform(0.5, 1.5)
            self.ask_gap = min(self.ask_gap * 2, 4000.0)
            return
        if kind != "cached" and self.asks:
            self.ask_at, self.ask_gap = inf, 250.0
        if not self.caches:  # the first list: a start to find the limits from
            self.fleet.floor = max(4.0, len(entries) / self.proxies)  # each cache works on one RPC at least
            self.fleet.value = 6.0 * self.fleet.floor
        if kind != "delta":
            for cache in [*self.caches.values(), *self.origins]:
                cache.ready = False
        for name, zone, machine, cell, state, weight, started in entries:
            if machine == self.origin_kind and self.origin_kind is not None:
                cache = next((o for o in self.origins if o.name == name), None)
                if cache is None:
                    cache = Cache(name)
                    self.origins.append(cache)
            else:
                cache = self.caches.get(name) or self.caches.setdefault(name, Cache(name))
            if started > cache.started:  # a fresh process: what was held against the old one is void
                cache.clear()
            cache.zone, cache.cell, cache.started = zone, cell, started
            cache.ready, cache.weight = state == "ready", weight if weight and weight > 0 else 1.0
        self._refresh(now)

    def left(self, now: float, rpc: Rpc) -> list[int]:
        """The client has left: which transmissions to call off."""
        if not self.caps.get("cancel"):
            return []
        return [number for number, tx in enumerate(rpc.sent) if tx.outcome is None]

    def probed(self, now: float, name: str, fine: bool, took: float) -> None:
        """Probes are work for the caches and are not sent: RPCs tell as much."""

    # How long to wait

    def wait(self, now: float) -> tuple[float, list[tuple]]:
        if now >= self.ask_at:
            self.errands.append(("follow",))
            # If neither list nor failure comes back, ask again well within the stated span.
            self.ask_at = now + (self.rules.get("ask_every") or 10_000.0) / 2
        if now >= self.review_at:
            self._review(now)
            self.review_at = now + REVIEW
        errands, self.errands = self.errands, []
        return max(1.0, min(self.review_at, self.ask_at) - now), errands

    def _review(self, now: float) -> None:
        for name, ring in self.usual.items():
            self.typical[name] = ring.shortest(now, self.typical[name])
        self.fetch_usual = self.fetches.shortest(now, self.fetch_usual)
        if self.aside:
            # Guards against a limit found in a jam: a fetch has to leave time within the soft deadline.
            self.origin.slack = min(2.5, max(1.2, 0.8 * self.soonest / self.fetch_usual))
        self.fleet.review(now)
        self.origin.review(now)
        fills = sorted(ring.count(now) / 4000.0 / self.quota[name] for name, ring in self.asked.items()
                       if self.quota[name] > 0)
        # Clients are not spread evenly over proxies: the middle tenant shows this proxy's part.
        self.scale = min(2.0, max(1.0, fills[len(fills) // 2])) if fills else 1.0
        done = weight = 0.0
        for cache in self.caches.values():
            if cache.ready and not self._cold(now, cache):
                done += cache.done.count(now)
                weight += cache.weight
        if weight and done:
            self.carried = max(done / weight / 4000.0, self.carried * 0.98)
        if now >= self.turn_at:
            self.holders, self.turn_at = [set(), self.holders[0]], now + HOLDS
        self._judge(now)
        if self.overloaded != (self.fleet.held > self.fleet.value):
            self.overloaded = not self.overloaded
            mode = "overload" if self.overloaded else "overload over"
            self.errands.append(("log", f"{mode}: {self.fleet.held} in flight, limit {self.fleet.value:.1f}"))
        if any(c.started and now - c.started < FADE + 1000 for c in self.caches.values()):
            self._refresh(now)

    def _judge(self, now: float) -> None:
        """Set aside the few caches that are far slower than their peers or do not answer."""
        paces = {c.name: c.pace.mean(now) for _, c in self.usable
                 if c.pace.count(now) >= 6 and not self._cold(now, c)}
        middle = sorted(paces.values())[len(paces) // 2] if paces else 1.0
        self.middle = max(middle, 1.0)
        # Guards against caches that keep what they get and say nothing, long before time-outs tell.
        hush = max(self.soonest, 3.0 * self.fetch_usual)
        silent = [c for _, c in self.usable if c.held >= 2 and now - c.heard > hush]
        if len(silent) > sum(now - c.heard <= hush for _, c in self.usable):
            silent = []  # most of them: not theirs
        few = max(1, int((0.5 if silent else 0.3) * sum(c.ready for c in self.caches.values())))
        changed = False
        for cache in sorted(self.caches.values(), key=lambda c: -paces.get(c.name, 0.0)):
            out = sum(c.ready and c.aside_since is not None for c in self.caches.values())
            if cache.aside_since is not None or not cache.ready or out >= few:
                continue
            pace = paces.get(cache.name, 0.0)
            if cache.streak >= 2 or cache in silent or (len(paces) >= 3 and pace > 3.0 * self.middle):
                cache.aside_since, cache.gap = now, 1000.0
                cache.trickle_at = now + cache.gap
                changed = True
                self.errands.append(("log", f"set aside {cache.name}: pace {pace:.1f}, peers {middle:.1f}, "
                                            f"{cache.streak} failures in a row"))
        if changed:
            self._refresh(now)

    def _trickled(self, now: float, cache: Cache, fine: bool) -> None:
        """A set-aside cache gets twice as many RPCs after each good answer, half as many after a bad one."""
        cache.gap = cache.gap / 2 if fine else min(4000.0, cache.gap * 2)
        cache.trickle_at = now + cache.gap
        if cache.gap < 60.0:
            self.errands.append(("log", f"taken back {cache.name} after {now - cache.aside_since:.0f} ms"))
            cache.clear()
            self._refresh(now)

    # The design: the weighted logarithmic owner

    def _refresh(self, now: float) -> None:
        self.usable = [(self._weight(now, c), c) for c in self.caches.values()
                       if c.ready and c.aside_since is None]
        self.fleet.held = sum(c.held for _, c in self.usable)  # what is stuck elsewhere takes no room
        self.rankings.clear()

    def _weight(self, now: float, cache: Cache) -> float:
        age = now - cache.started
        return cache.weight * (min(1.0, 0.1 + 0.9 * max(0.0, age) / FADE) if cache.started else 1.0)

    def _cold(self, now: float, cache: Cache) -> bool:
        return cache.started > 0 and now - cache.started < (self.rules.get("cold") or FADE)

    def _score(self, place: int, weight: float, cache: Cache) -> float:
        return -log(1.0 - (place * cache.salt) % PRIME / PRIME) / weight

    def _ranking(self, key: int) -> list[Cache]:
        """The key's three best caches; kept until the list, a weight or the set-aside caches change."""
        ranking = self.rankings.get(key)
        if ranking is None:
            place = point(key.to_bytes(8))
            best = nsmallest(3, [(self._score(place, weight, c), c.name) for weight, c in self.usable])
            ranking = self.rankings[key] = [self.caches[name] for _, name in best]
        return ranking

    def _choose(self, now: float, rpc: Rpc) -> Cache | None:
        # An RPC without a key has no owner: it draws one, so that load still follows the weights.
        key = rpc.key if rpc.key is not None else self.chance.getrandbits(52)
        tried = {tx.cache for tx in rpc.sent}
        if not rpc.sent and self.methods[rpc.method]["repeats"] == "retriable":
            for cache in self.caches.values():
                due = cache.aside_since is not None and now >= cache.trickle_at and not cache.held
                if due and cache.ready and self._allowed(now, rpc, cache):
                    cache.trickle_at = now + cache.gap
                    return cache
        ranking = [c for c in self._ranking(key) if c.name not in tried and self._allowed(now, rpc, c)]
        if rpc.sent and not ranking:
            ranking = [c for _, c in self.usable if c.name not in tried and self._allowed(now, rpc, c)]
            ranking = sorted(ranking, key=lambda c: (c.held, c.salt))[:1]
        if not ranking:
            return None
        # Guards against spills that fill a busy origin: a neighbour that lacks the key has to fetch it.
        busy = not self.aside and self.origin.held > 0.5 * self.origin.value and not rpc.sent
        owner, *others = ranking
        if owner.held < SPILL:
            return owner
        others.sort(key=lambda c: not self._holds(c, key))  # a spill needs no fetch where the key is held
        for cache in others:
            if cache.held < SPILL and (not busy or self._holds(cache, key)):
                return cache
        return owner if busy else min(ranking, key=lambda c: c.held)

    def _allowed(self, now: float, rpc: Rpc, cache: Cache) -> bool:
        first = rpc.first_run()
        method = self.methods[rpc.method]
        if first is not None and method["repeats"] == "deduped":
            home, group = self.caches.get(first.cache), method.get("group")
            if home is None or (group == "zone" and home.zone != cache.zone) or \
                    (group == "cell" and home.cell != cache.cell):
                return False
        return not self._cold(now, cache) or self._cold_room(now, cache)

    def _cold_room(self, now: float, cache: Cache) -> bool:
        """This proxy's part of what a cold cache can take: guards rule 4 where relative weights do not."""
        share = self.rules.get("cold_share") or 0.1
        age = max(0.0, now - cache.started) / (self.rules.get("cold") or FADE)
        least = max(self.typical.values(), default=50.0) * self.proxies
        rate = max(self.carried * cache.weight, 0.5 / least)
        part = (share + (1 - share) * min(1.0, age)) * (self.rules.get("fall_multiple") or 1.0)
        return cache.sent.count(now) < 0.6 * part * rate * 1000.0

    # Admission: sharing and overload

    def _share(self, now: float, rpc: Rpc) -> bool:
        """Whether this RPC lies within its tenant's share, by this proxy's part of the quota."""
        quota = self.quota.get(rpc.tenant)
        if not quota:
            return quota is None
        if not rpc.repeat:  # guards against clients' repeats making every tenant look over its share
            self.asked[rpc.tenant].add(now)
        purse = self.purse[rpc.tenant]
        rate = quota * self.scale
        purse[0] = min(rate * 1000.0 + 1, purse[0] + rate * (now - purse[1]))
        purse[1] = now
        if purse[0] >= 1.0:
            purse[0] -= 1.0
            return True
        return False

    def _room(self, limit: Limit, rpc: Rpc) -> bool:
        """Whether this RPC finds room: over its share first out, then by least gain."""
        return limit.room(0.75 + 0.25 * self.rank[rpc.method] if rpc.within_share else 0.5)

    # Where to send this RPC

    def where(self, now: float, rpc: Rpc) -> Verdict | None:
        if rpc.over or rpc.bound:
            return None
        method = self.methods[rpc.method]
        if rpc.within_share is None:
            rpc.within_share = self._share(now, rpc)
            self.retries = min(10.0, self.retries + 0.2)
        room = rpc.until - now
        if room <= 2.0 or len(rpc.sent) >= self.most or not self._may_send(now, rpc, method):
            return self._give_up(rpc, method)
        if self.aside and (rpc.write or rpc.missed or len(rpc.sent) >= self.most - 1):
            return self._to_origin(now, rpc, method)
        if not rpc.sent and not self._room(self.fleet, rpc):
            return self._later(now, rpc, method)
        cache = self._choose(now, rpc)
        if cache is None:
            return self._later(now, rpc, method)
        fetch = not self.aside and (rpc.write or not self._holds(cache, rpc.key))
        # Guards against a jam behind the caches: what is likely to need the origin waits for room there.
        if fetch and not self._room(self.origin, rpc):
            return self._later(now, rpc, method)
        return self._send(now, rpc, cache, fetch)

    def _holds(self, cache: Cache, key: int | None) -> bool:
        return (key, cache.name) in self.holders[0] or (key, cache.name) in self.holders[1]

    def _send(self, now: float, rpc: Rpc, cache: Cache, fetch: bool) -> Verdict:
        if not cache.held:
            cache.heard = now
        cache.held += 1
        cache.sent.add(now)
        self.fleet.held += cache not in self.origins and cache.aside_since is None
        if fetch:
            self.origin.held += 1
        rpc.sent.append(Transmission(cache.name, now, fetch))
        return "send", cache.name, rpc.until - now

    def _to_origin(self, now: float, rpc: Rpc, method: dict) -> Verdict:
        origin = next((o for o in self.origins if o.ready), None)
        if origin is None or not self._room(self.origin, rpc):
            return self._later(now, rpc, method)
        return self._send(now, rpc, origin, True)

    def _may_send(self, now: float, rpc: Rpc, method: dict) -> bool:
        """Rule 2: whether another transmission may have an effect twice."""
        first = rpc.first_run()
        if any(tx.outcome is None for tx in rpc.sent):
            return False
        if first is None or method["repeats"] == "retriable":
            return True
        return method["repeats"] == "deduped" and now < first.at + method["window"]

    def _later(self, now: float, rpc: Rpc, method: dict) -> Verdict:
        """Not yet, while an answer within the soft deadline is likely; else never."""
        patience = (0.25 if rpc.within_share else 0.0) * method["soft_deadline"]
        if rpc.sent:
            patience *= 2
        if now - rpc.arrived < patience and rpc.until - now > 20.0:
            return "wait", 10.0
        return self._give_up(rpc, method)

    def _give_up(self, rpc: Rpc, method: dict) -> Verdict:
        """Exhausted where a repeat is harmless, errored where it might not be."""
        repeats = method["repeats"]
        if repeats == "retriable" or rpc.first_run() is None or \
                (repeats == "deduped" and method.get("group") == "all"):
            longest = (self.caps.get("max_retry_after") or 0.0) if self.caps.get("retry_after") else 0.0
            return "exhausted", longest * self.chance.uniform(0.3, 0.6)
        return ("errored",)

    # What to do after this outcome

    def after(self, now: float, rpc: Rpc, number: int, took: float, note: str | None,
              report: object) -> Verdict | None:
        tx = rpc.sent[number]
        outcome, method = tx.outcome, self.methods[rpc.method]
        cache = self.caches.get(tx.cache)
        if tx.fetch:
            self.origin.held -= 1
        if cache is None:
            self._from_origin(now, rpc, outcome, took)
        else:
            cache.held, cache.heard = cache.held - 1, now
            self._learn(now, rpc, cache, outcome, took, note, tx.fetch)
        if rpc.over or rpc.bound:
            return None
        if outcome == "missed":
            rpc.missed = True
            return self.where(now, rpc)
        if outcome in ("full", "unconnected", "moot") or self._may_retry(now, rpc):
            return self.where(now, rpc)
        return self._give_up(rpc, method)

    def _may_retry(self, now: float, rpc: Rpc) -> bool:
        # Guards against retry storms: retries are a part of what comes in, not of what fails.
        if self.retries < 1 or rpc.until - now < self.typical[rpc.method]:
            return False
        self.retries -= 1
        return True

    def _learn(self, now: float, rpc: Rpc, cache: Cache, outcome: str, took: float, note: str | None,
               fetch: bool) -> None:
        self.fleet.held -= cache.ready and cache.aside_since is None
        pace = min(took / max(self.typical[rpc.method], 1.0), 10.0)
        # Guards against a few sick caches shrinking the limit for all.
        load = self.fleet.present if cache.aside_since is None else Ring(1000.0, 1)
        # A slow origin is not the cache's: an answer that took a fetch is measured apart.
        fetched = note == "fetched" or (rpc.write and not self.aside)
        if outcome == "completed":
            cache.streak = 0
            cache.done.add(now)
            if fetched:
                self._fetched(now, took)
            else:
                self.usual[rpc.method].add(now, took)
                cache.pace.add(now, min(pace, 6.0))
                load.add(now, min(pace, 5.0))
            if rpc.key is not None:
                if rpc.write:
                    self._void(rpc.key)
                else:
                    self.holders[0].add((rpc.key, cache.name))
        elif outcome == "missed":
            cache.streak = 0
        elif outcome == "full":
            load.add(now, 8.0)
        elif outcome in ("error", "timeout"):
            if fetch:
                self.origin.present.add(now, 6.0)
            else:
                cache.pace.add(now, pace)
                load.add(now, 6.0 if outcome == "error" else pace)
        elif outcome in ("unconnected", "reset"):
            cache.streak += 1
            if cache.streak == 2:
                self.review_at = now
        if cache.aside_since is not None and outcome != "cancelled":
            fine = outcome in ("completed", "missed", "full") and pace < 2.0 * self.middle
            self._trickled(now, cache, fine)

    def _void(self, key: int) -> None:
        for cache in self._ranking(key):
            for held in self.holders:
                held.discard((key, cache.name))

    def _fetched(self, now: float, took: float) -> None:
        self.fetches.add(now, took)
        self.origin.present.add(now, min(took / max(self.fetch_usual, 1.0), 10.0))

    def _from_origin(self, now: float, rpc: Rpc, outcome: str, took: float) -> None:
        if outcome == "completed":
            self._fetched(now, took)
            if rpc.write and rpc.key is not None:
                self._void(rpc.key)
            elif not rpc.write:  # what the origin answered is stored where it missed first
                self.holders[0].update((rpc.key, tx.cache) for tx in rpc.sent[:2] if tx.outcome == "missed")
        elif outcome == "timeout":
            self.origin.present.add(now, min(took / max(self.fetch_usual, 1.0), 10.0))
        elif outcome != "cancelled":
            self.origin.present.add(now, 4.0)
