"""Tests of the control exchange between processes."""

import anyio
import pytest

from bench import fleet
from chivejunction import errors
from chivejunction import metrics
from chivejunction.protocol import codecs
from chivejunction.transport import exchanges

CODEC = codecs.CODECS.get('msgpack')


def make_exchange(port: int) -> exchanges.ExchangeClient:
    return exchanges.ExchangeClient(
        f'tcp://127.0.0.1:{port}', 'me', 'i', CODEC
    )


def run_with_server(handler, work):
    """Runs ``work`` with an exchange client of a server with ``handler``."""

    async def start():
        port = fleet.find_port()
        server = exchanges.ExchangeServer(
            f'tcp://127.0.0.1:{port}', handler, CODEC
        )
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            exchange = make_exchange(port)
            result = await work(exchange)
            exchange.close()
            group.cancel_scope.cancel()
        server.close()
        return result

    return anyio.run(start, backend_options={'use_uvloop': True})


class TestInvariantViolation:
    def test_violation_in_a_handler_is_counted(self):
        """Guards against a violation that is logged but not counted."""

        def read_count():
            return (
                metrics.REGISTRY.get_sample_value(
                    'invariant_violations_total', {'name': 'config_in_force'}
                )
                or 0
            )

        async def handler(message):
            raise errors.InvariantViolation('config_in_force', 'test')

        async def work(exchange):
            with pytest.raises(errors.TransportError, match='violated'):
                await exchange.call('sync', {}, 2)

        before = read_count()
        run_with_server(handler, work)
        assert read_count() == before + 1


class TestUnexpectedError:
    """Guards against an odd request that ends the exchange of a process."""

    @pytest.mark.parametrize(
        'odd_response', [AttributeError('no id'), object()]
    )
    def test_exchange_serves_on(self, odd_response):
        responses = [odd_response, {'revision': 7}]

        async def handler(message):
            response = responses.pop(0)
            if isinstance(response, Exception):
                raise response
            return response

        async def work(exchange):
            with pytest.raises(errors.TransportError):
                await exchange.call('sync', {}, 2)
            return await exchange.call('sync', {}, 2)

        assert run_with_server(handler, work) == {'revision': 7}


class TestExchange:
    def test_timeout_raises_an_error_and_does_not_end_the_task(self):
        """Guards against the bare CancelledError of pynng after a timeout.

        anyio does not recognise it, so the task would end without an error.
        """

        async def work():
            exchange = make_exchange(fleet.find_port())
            with pytest.raises(errors.TransportError):
                await exchange.call('sync', {}, 0.2)
            return True

        assert anyio.run(work, backend_options={'use_uvloop': True})

    def test_close_during_a_call_raises_an_error(self):
        """Guards against a call that hangs after another closed the socket."""
        outcomes = []

        async def handler(message):
            await anyio.sleep(5)
            return {}

        async def work(exchange):
            async def call():
                try:
                    await exchange.call('sync', {}, 3)
                except errors.TransportError:
                    outcomes.append('error')

            with anyio.fail_after(2):
                async with anyio.create_task_group() as group:
                    group.start_soon(call)
                    await anyio.sleep(0.3)
                    exchange.close()

        run_with_server(handler, work)
        assert outcomes == ['error']

    def test_many_delayed_responses_do_not_block_another(self):
        """Guards against a fixed number of contexts.

        Each request whose response is delayed occupies one context.
        """

        async def handler(message):
            if message['kind'] == 'held':
                await anyio.sleep(5)
            return {'kind': message['kind']}

        async def work(exchange):
            async with anyio.create_task_group() as group:
                for _ in range(40):
                    group.start_soon(exchange.call, 'held', {}, 6)
                await anyio.sleep(0.3)
                response = await exchange.call('now', {}, 1)
                group.cancel_scope.cancel()
            return response

        assert run_with_server(handler, work) == {'kind': 'now'}


class TestOddAddresses:
    """Guards against a listed address that ends the exchanges of a process."""

    @pytest.mark.parametrize(
        'address', ['', 'bad', 'tcp://\x00', 'tcp://' + '9' * 300, 'udp://1']
    )
    def test_call_fails_with_its_declared_error(self, address):
        async def run():
            exchange = exchanges.ExchangeClient(address, 'me', 'i', CODEC)
            for _ in range(2):
                with pytest.raises(errors.TransportError, match='failed'):
                    await exchange.call('sync', {}, 0.2)
                assert exchange._socket is None

        anyio.run(run)
