"""Tests of the gateway's entry point on the users' platform."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import time

import pytest
import yaml

from bench import fleet
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


# Prints the bound port; fails if the YAML parser is needed.
BIND_WITHOUT_YAML = """
import sys

sys.modules['yaml'] = None
from chivejunction.platform import __main__

print(__main__.bind_caller_socket().getsockname()[1])
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
        port = fleet.find_port()
        text = yaml.safe_dump({'listen': {'front': f'127.0.0.1:{port}'}})
        self.write_settings(tmp_path, monkeypatch, text)
        with entry_point.bind_caller_socket():
            socket.create_connection(('127.0.0.1', port), 1).close()

    @pytest.mark.parametrize('quote', ['', '"', "'"])
    def test_address_in_block_style_needs_no_yaml_parser(
        self, tmp_path, quote
    ):
        port = fleet.find_port()
        address = f'{quote}127.0.0.1:{port}{quote}'
        path = tmp_path / 'boot.yaml'
        path.write_text(f'role: a\nlisten:\n  ready: x\n  front: {address}\n')
        result = subprocess.run(
            [sys.executable, '-S', '-c', BIND_WITHOUT_YAML],
            capture_output=True,
            text=True,
            timeout=30,
            env={'CHIVEJUNCTION_NODE_FILE': str(path)},
        )
        assert result.stdout.strip() == str(port)

    @pytest.mark.parametrize(
        'text',
        [
            '',
            '[',
            'listen:\n  front: nowhere\n',
            'listen:\n  ready: 127.0.0.1:1\nfront: 127.0.0.1:80\n',
            'listen:\n  front:\n    a: 1\n',
            'listen: 3',
            'listen: {front: 7}',
            'listen: {front: nowhere}',
            'listen: {front: "203.0.113.1:80"}',
            'listen: {front: "127.0.0.1:99999999"}',
            '[' * 100_000,
            'listen: {front: !!bool x}',
            'listen: {front: !!timestamp x}',
            'listen: {front: !!int ""}',
            'listen: {front: "127.0.0.1:%s"}' % ('1' * 5000),
        ],
    )
    def test_invalid_settings_give_no_socket(
        self, tmp_path, monkeypatch, text
    ):
        self.write_settings(tmp_path, monkeypatch, text)
        assert entry_point.bind_caller_socket() is None

    def test_file_that_is_not_utf_8_gives_no_socket(
        self, tmp_path, monkeypatch
    ):
        path = tmp_path / 'boot.yaml'
        path.write_bytes(b'listen: {front: "\xff"}')
        monkeypatch.setenv('CHIVEJUNCTION_NODE_FILE', str(path))
        assert entry_point.bind_caller_socket() is None

    def test_port_that_is_held_gives_no_socket(self, tmp_path, monkeypatch):
        with socket.create_server(('127.0.0.1', 0)) as holder:
            port = holder.getsockname()[1]
            text = yaml.safe_dump({'listen': {'front': f'127.0.0.1:{port}'}})
            self.write_settings(tmp_path, monkeypatch, text)
            assert entry_point.bind_caller_socket() is None

    def test_missing_settings_give_no_socket(self, monkeypatch):
        monkeypatch.delenv('CHIVEJUNCTION_NODE_FILE', raising=False)
        assert entry_point.bind_caller_socket() is None


class TestInvalidSettings:
    """Guards against a start that ends with a traceback, or not at all."""

    def run(self, content, tmp_path, redirection=''):
        path = tmp_path / 'boot.yaml'
        path.write_bytes(content)
        return subprocess.run(
            ['sh', '-c', f'exec "$0" -m chivejunction.platform {redirection}']
            + [sys.executable],
            capture_output=True,
            text=True,
            timeout=30,
            env={'CHIVEJUNCTION_NODE_FILE': str(path)},
        )

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'7',
            b'a: [',
            b'[' * 100_000,
            b'\xff',
            b'a: \x00',
            b'a: !!bool x',
            b'a: !!timestamp x',
            b'a: !!int ""',
            b'a: 2026-99-99',
            b'a: ' + b'1' * 5000,
            b'listen: {front: "127.0.0.1:0"}',
        ],
    )
    def test_status_2_and_one_line(self, tmp_path, content):
        result = self.run(content, tmp_path)
        assert result.returncode == 2
        assert result.stderr.endswith('\n')
        assert result.stderr.count('\n') == 1
        assert 'boot.yaml' in result.stderr

    @pytest.mark.parametrize('redirection', ['2>&-', '2>/dev/full', '1>&-'])
    def test_status_2_without_a_usable_output(self, tmp_path, redirection):
        assert self.run(b'7', tmp_path, redirection).returncode == 2


class GatewayProcess:
    """Gateway process without a store.

    Args:
        folder: Folder for its files.
        redirection: Redirections of the shell.
        limits: Commands of the shell to run before.
        output: File for its output; one in the folder by default.

    Attributes:
        address: IP address and port for callers.
        ready_address: Those of the readiness endpoint.
    """

    def __init__(self, folder, redirection='', limits='', output=None):
        # The port for metrics is the same at each gateway.
        octets = [random.randint(1, 254) for _ in range(3)]
        ip = '127.' + '.'.join(map(str, octets))
        ports = [fleet.find_port() for _ in range(4)]
        self.address, self.ready_address = (ip, ports[0]), (ip, ports[1])
        path = folder / 'boot.yaml'
        settings = {
            'node_name': 'gw-1',
            'zone': 'bkk-a',
            'region': 'bkk',
            'ip': ip,
            'listen': {
                'front': f'{ip}:{ports[0]}',
                'ready': f'{ip}:{ports[1]}',
            },
            'internal_ports': ports[2:],
            'platform': {'address': '127.0.0.1:9'},
        }
        path.write_text(yaml.safe_dump(settings))
        command = f'exec "$0" -m chivejunction.platform {redirection}'
        with (folder / 'log').open('wb') as log:
            self._process = subprocess.Popen(
                ['sh', '-c', limits + command, sys.executable],
                stdout=output or log,
                stderr=output or log,
                env={'CHIVEJUNCTION_NODE_FILE': str(path)},
            )

    def __enter__(self):
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline and self.is_running():
            with contextlib.suppress(OSError):
                self.connect(self.ready_address).close()
                break
            time.sleep(0.05)
        return self

    def __exit__(self, *exc):
        self._process.kill()
        self._process.wait()

    def connect(self, address=None):
        """Returns a connection of a caller."""
        return socket.create_connection(address or self.address, 2)

    def call(self, connection=None):
        """Returns the response to a request."""
        with contextlib.ExitStack() as stack:
            if connection is None:
                connection = stack.enter_context(self.connect())
            connection.settimeout(5)
            connection.sendall(b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n')
            return connection.recv(65536)

    def is_running(self):
        """Returns whether the process has not ended."""
        return self._process.poll() is None

    def find_file(self, descriptor):
        """Returns what a descriptor of the process refers to."""
        return os.readlink(f'/proc/{self._process.pid}/fd/{descriptor}')

    def stop(self):
        """Stops the process; returns its status."""
        self._process.send_signal(signal.SIGTERM)
        return self._process.wait(20)


class TestStandardStreams:
    """Guards against log lines that are written to a caller's socket."""

    @pytest.mark.parametrize(
        'closed', [[0], [1], [2], [0, 1], [1, 2], [0, 1, 2]]
    )
    def test_closed_streams_are_replaced(self, tmp_path, closed):
        redirection = ' '.join(f'{number}>&-' for number in closed)
        with GatewayProcess(tmp_path, redirection) as gateway:
            assert gateway.call().startswith(b'HTTP/1.1 503 ')
            assert [gateway.find_file(n) for n in closed] == [
                os.devnull for n in closed
            ]
            assert gateway.is_running()


class TestFewDescriptors:
    """Guards against idle callers that use up the descriptors."""

    def test_process_goes_on_and_serves_new_callers(self, tmp_path):
        with (
            GatewayProcess(tmp_path, limits='ulimit -n 150; ') as gateway,
            contextlib.ExitStack() as stack,
        ):
            for _ in range(400):
                stack.enter_context(gateway.connect())
            time.sleep(2)
            assert gateway.is_running()
            for _ in range(20):
                assert gateway.call().startswith(b'HTTP/1.1 503 ')
            with gateway.connect(gateway.ready_address) as ready:
                assert gateway.call(ready).startswith(b'HTTP/1.1 503 ')
            assert gateway.stop() == 0


class TestFailingOutput:
    """Guards against an output whose errors end the process."""

    def check(self, tmp_path, **streams):
        with GatewayProcess(tmp_path, **streams) as gateway:
            for _ in range(20):
                assert gateway.call().startswith(b'HTTP/1.1 503 ')
            assert gateway.is_running()
            assert gateway.stop() == 0

    def test_full_device(self, tmp_path):
        self.check(tmp_path, redirection='>/dev/full 2>&1')

    def test_pipe_without_a_reader(self, tmp_path):
        reader, writer = os.pipe()
        os.close(reader)
        with open(writer, 'wb') as output:
            self.check(tmp_path, output=output)

    def test_pipe_that_is_not_read(self, tmp_path):
        reader, writer = os.pipe()
        with open(reader, 'rb'), open(writer, 'wb') as output:
            os.set_blocking(writer, False)
            with contextlib.suppress(BlockingIOError):
                while os.write(writer, bytes(4096)):
                    continue
            os.set_blocking(writer, True)
            self.check(tmp_path, output=output)
