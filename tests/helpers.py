"""What the tests share: a deployment as the adapter hands it over, RPCs, and carrying out a verdict."""

from itertools import count

from calicofall.policy import Policy
from calicofall.rpc import Rpc

numbers = count()


def fleet(aside: bool = False, proxies: int = 1, **changes: object) -> dict:
    read = {"name": "read", "repeats": "retriable", "gain": 1.0, "group": "all", "soft_deadline": 500.0,
            "hard_deadline": 2000.0, "late_gain": 0.0, "window": 5000.0, "streaming": False}
    save = read | {"name": "save", "repeats": "deduped", "gain": 3.0}
    order = read | {"name": "order", "repeats": "non-retriable", "gain": 8.0}
    return {"proxies": proxies, "me": 0, "methods": [read, save, order], "tenants": [],
            "kinds": ["box", "origin"], "discovery": "push", "over_share_gain": 0.1,
            "data": {"mode": "aside" if aside else "through", "origin_kind": 1 if aside else -1},
            "caps": {"most_transmissions": 4, "cancel": True, "retry_after": True, "max_retry_after": 2000.0},
            "rules": {"cold_share": 0.2, "cold": 20_000.0, "fall_multiple": 3.0, "fall": 3000.0,
                      "drain_grace": 250.0, "ask_every": 10_000.0, "answer_slack": 20.0}} | changes


def rpc_for(method: str, key: int | None = 7, arrived: float = 0.0, until: float = 1000.0,
            tenant: str | None = None) -> Rpc:
    return Rpc(f"{next(numbers):016x}", method, tenant, key, method != "read", arrived, until)


def send(policy: Policy, now: float, rpc: Rpc) -> tuple | None:
    verdict = policy.where(now, rpc)
    if verdict and verdict[0] in ("exhausted", "errored"):
        rpc.over = True
    return verdict
