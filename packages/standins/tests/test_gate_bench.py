"""Guards against a gate bench that shows no effect of protection.

The figures of protection and passthrough would not differ if the load did not make the
gate shed, or if both variants built the same gate.
"""

from dataclasses import replace

import pytest

from knapweedspring_standins._gate_bench import SCENARIOS, VARIANTS, run_once


@pytest.mark.parametrize("variant, shed_last", [("base", True), ("passthrough", False)])
def test_top_class_is_shed_last_only_with_protection(variant, shed_last):
    scenario = replace(SCENARIOS["surge"], duration_s=4.0)
    top, _, low = run_once(scenario, VARIANTS[variant], seed=1).success_shares
    assert (top > 0.9 and low < 0.5) is shed_last
