"""Tests for the start of the program of the users' platform."""

import subprocess
import sys

# Sends SIGHUP to the program when it begins to import the first module that
# is not its own start, then lets it go on.
SIGNAL_AT_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'chivejunction.platform.program':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module('chivejunction.platform', run_name='__main__')
"""


class TestStart:
    def test_reload_signal_during_the_imports_does_not_end_it(self):
        done = subprocess.run(
            [sys.executable, '-c', SIGNAL_AT_IMPORT],
            capture_output=True,
            text=True,
            timeout=30,
            env={},
        )
        # Without a settings file it ends by itself, with a message.
        assert done.returncode == 2
        assert 'CHIVEJUNCTION_NODE_FILE' in done.stderr
