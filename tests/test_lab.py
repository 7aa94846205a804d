"""Simulation of two hundred routers before modelled cache nodes: their combined load and limits."""

from typing import Any

import pytest
from helpers import deployment_settings

from calicofall.testbed.routing_simulation import RoutingSimulation, SimulatedRequest
from calicofall.testbed.server_models import CacheModel, OriginModel

SLOTS, HIT_S = 2, 0.04  # a cache node serves 50 requests a second


def simulate(
    load: float,
    proxies: int = 200,
    caches: int = 60,
    cold: tuple[int, ...] = (),
    skew: float = 0.6,
    keys: int = 3000,
    warm: bool = True,
    **options: Any,
) -> RoutingSimulation:
    origin = OriginModel(120, 0.06)
    cache_models = [
        CacheModel(origin, SLOTS, 16, 600, 0.004, HIT_S, 4000, 0.2, 20.0, 3.0, 3.0) for _ in range(caches)
    ]
    for number in cold:
        cache_models[number].start(0.001)
    simulation = RoutingSimulation(
        deployment_settings(proxies=proxies),
        cache_models,
        origin,
        load * caches * SLOTS / HIT_S,
        keys,
        skew,
        zones=3,
        **options,
    )
    if warm:
        simulation.fill_caches()
        for number in cold:
            cache_models[number].stored_keys.clear()
    return simulation


def served_fraction(simulation: RoutingSimulation, seconds: float) -> float:
    """Return the share of the requests of the next seconds that is served in time."""
    requests_before, in_time_before = simulation.request_count, simulation.in_time
    simulation.run(simulation.now + seconds * 1000.0)
    return (simulation.in_time - in_time_before) / (simulation.request_count - requests_before)


def test_fleet_without_faults_is_served_and_ejects_next_to_nothing() -> None:
    simulation = simulate(0.5, caches=40)
    assert served_fraction(simulation, 6.0) > 0.9 and served_fraction(simulation, 6.0) > 0.99
    assert (
        len(simulation.ejections) < 0.01 * simulation.request_count and simulation.ejected_fraction() < 0.001
    )


def test_overloaded_fleet_has_in_flight_within_a_stated_factor_of_capacity() -> None:
    """The load is 1.5 times the capacity of the cache nodes, with keys that are requested once."""
    simulation = simulate(1.5, caches=20, keys=60_000, skew=0.0, warm=False)
    simulation.origin.limit = 10_000
    simulation.run(6000.0)
    capacity = 20 * SLOTS * (1.0 + 0.06 / HIT_S)  # a miss also waits for its fetch
    in_flight = []
    for _ in range(20):
        simulation.run(simulation.now + 200.0)
        in_flight.append(simulation.requests_in_flight())
    assert capacity / 2 <= sum(in_flight) / len(in_flight) <= 6.0 * capacity, (capacity, in_flight)


def test_cold_nodes_that_all_proxies_send_to_do_not_collapse() -> None:
    simulation = simulate(0.6, caches=40, cold=tuple(range(0, 40, 4)))
    simulation.run(12_000.0)
    assert not any(cache.collapses for cache in simulation.caches.values())
    stored_key_counts = [len(simulation.caches[f"c{number}"].stored_keys) for number in range(0, 40, 4)]
    assert min(stored_key_counts) > 0  # they receive requests that warm them up


@pytest.mark.parametrize("seed", [1, 2])
def test_proxies_with_one_request_in_two_seconds_are_served(seed: int) -> None:
    simulation = simulate(0.5, caches=4, seed=seed)
    assert simulation.per_s == pytest.approx(100.0)
    served_fraction(simulation, 8.0)
    assert served_fraction(simulation, 12.0) > 0.97


def test_proxy_with_several_times_the_mean_load_is_served() -> None:
    simulation = simulate(0.5, caches=40, weights=[20.0] + [1.0] * 199)
    served_in_time: list[bool] = []
    carry_out = simulation.carry_out

    def record_and_carry_out(simulated: SimulatedRequest, endpoint: str | None) -> None:
        carry_out(simulated, endpoint)
        answer = simulated.request.answer
        if simulated.proxy == 0 and endpoint is None and answer and simulation.now > 6000.0:
            served_in_time.append(answer == "completed" and simulation.now - simulated.intended_at <= 500.0)

    simulation.carry_out = record_and_carry_out
    simulation.run(12_000.0)
    assert len(served_in_time) > 300 and sum(served_in_time) / len(served_in_time) > 0.97


def test_half_of_the_fleet_restarted_at_once_recovers_within_seconds() -> None:
    simulation = simulate(0.5, caches=40)
    served_fraction(simulation, 6.0)
    for number in range(0, 200, 2):
        simulation.restart_proxy(number)
    first, later = served_fraction(simulation, 3.0), served_fraction(simulation, 5.0)
    assert first > 0.7 and later > 0.97, (first, later)
