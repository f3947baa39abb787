"""Tests for the start of the program of the users' platform."""

import socket
import subprocess
import sys

import pytest
import yaml

from chivejunction.platform import __main__ as start

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


class TestFront:
    def write(self, tmp_path, monkeypatch, text):
        path = tmp_path / 'boot.yaml'
        path.write_text(text)
        monkeypatch.setenv('CHIVEJUNCTION_NODE_FILE', str(path))

    def test_callers_may_connect_before_the_program_is_imported(
        self, tmp_path, monkeypatch
    ):
        text = yaml.safe_dump({'listen': {'front': '127.0.0.1:28790'}})
        self.write(tmp_path, monkeypatch, text)
        with start.bind_front():
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
    def test_wrong_settings_are_left_to_the_program(
        self, tmp_path, monkeypatch, text
    ):
        self.write(tmp_path, monkeypatch, text)
        assert start.bind_front() is None

    def test_without_settings(self, monkeypatch):
        monkeypatch.delenv('CHIVEJUNCTION_NODE_FILE', raising=False)
        assert start.bind_front() is None
