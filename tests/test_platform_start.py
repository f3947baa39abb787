"""Tests of the gateway's entry point on the users' platform."""

import socket
import subprocess
import sys

import pytest
import yaml

from chivejunction.platform import __main__ as entry_point

# Runs the program and sends it SIGHUP when it starts to import ``program``.
SIGHUP_AT_IMPORT = """
import os, runpy, signal, sys

class SignallingFinder:
    def find_spec(self, name, path, target=None):
        if name == 'chivejunction.platform.program':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignallingFinder())
runpy.run_module('chivejunction.platform', run_name='__main__')
"""


class TestReloadSignal:
    """Guards against a SIGHUP during the imports that ends the process."""

    def test_sighup_during_imports_is_ignored(self):
        process = subprocess.run(
            [sys.executable, '-c', SIGHUP_AT_IMPORT],
            capture_output=True,
            text=True,
            timeout=30,
            env={},
        )
        # Exit status and message of a missing settings file, not of a signal.
        assert process.returncode == 2
        assert 'CHIVEJUNCTION_NODE_FILE' in process.stderr


class TestCallerSocket:
    """Guards against refused connections while the program is imported."""

    def write_settings(self, tmp_path, monkeypatch, text):
        path = tmp_path / 'boot.yaml'
        path.write_text(text)
        monkeypatch.setenv('CHIVEJUNCTION_NODE_FILE', str(path))

    def test_callers_can_connect_before_the_imports(
        self, tmp_path, monkeypatch
    ):
        text = yaml.safe_dump({'listen': {'front': '127.0.0.1:28790'}})
        self.write_settings(tmp_path, monkeypatch, text)
        with entry_point.bind_caller_socket():
            socket.create_connection(('127.0.0.1', 28790), 1).close()

    @pytest.mark.parametrize(
        'text',
        [
            '',
            '[',
            'listen: 3',
            'listen: {front: 7}',
            'listen: {front: nowhere}',
            'listen: {front: "203.0.113.1:80"}',
            'listen: {front: "127.0.0.1:99999999"}',
        ],
    )
    def test_invalid_settings_give_no_socket(
        self, tmp_path, monkeypatch, text
    ):
        self.write_settings(tmp_path, monkeypatch, text)
        assert entry_point.bind_caller_socket() is None

    def test_missing_settings_give_no_socket(self, monkeypatch):
        monkeypatch.delenv('CHIVEJUNCTION_NODE_FILE', raising=False)
        assert entry_point.bind_caller_socket() is None
