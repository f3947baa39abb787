"""A short seeded run of real gateways under faults."""

import subprocess
import sys

import pytest

# Seeds of runs that have failed, with the cause. ``make forward-soak SEED=N``
# makes a run with the same seed.
FAILED_SEEDS = {
    13: 'set of idle connections changed while expired ones were closed',
    61: 'SIGHUP ended a gateway whose start had just begun',
}


class TestForwardSoak:
    """Guards against violations in runs that have failed before."""

    @pytest.mark.parametrize('seed', FAILED_SEEDS)
    def test_a_run_under_faults_has_no_violation(self, seed, tmp_path):
        command = [sys.executable, '-m', 'bench.forward_soak']
        options = [f'--seed={seed}', '--seconds=8', f'--folder={tmp_path}']
        completed = subprocess.run(
            [*command, *options], capture_output=True, text=True, timeout=100
        )
        assert completed.returncode == 0, (
            completed.stdout[-2000:] + completed.stderr[-2000:]
        )
