"""Settings for all tests: generated cases are reproducible, and groups of tests have their own cores."""

import os
from collections.abc import Iterator

import pytest
from hypothesis import settings

# The `xdist_group` marks of tests that start many processes. Each group gets cores of its own; tests without
# a mark share the remaining cores.
PROCESS_GROUPS = ("first row", "second row")
GROUP_FRACTION = 3 / 8  # the fraction of the cores that each group gets

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture(autouse=True)
def own_cores(request: pytest.FixtureRequest) -> Iterator[None]:
    """Runs a test on the cores of its group.

    Without this, the timing of tests that start processes would depend on which tests run beside them.
    """
    initial_cores = os.sched_getaffinity(0)
    cores = sorted(initial_cores)
    group_size = int(GROUP_FRACTION * len(cores))
    if "PYTEST_XDIST_WORKER" in os.environ and group_size > 2:
        mark = request.node.get_closest_marker("xdist_group")
        group_index = PROCESS_GROUPS.index(mark.args[0]) if mark is not None else len(PROCESS_GROUPS)
        end = len(cores) if group_index == len(PROCESS_GROUPS) else (group_index + 1) * group_size
        os.sched_setaffinity(0, cores[group_index * group_size : end])
    yield
    os.sched_setaffinity(0, initial_cores)
