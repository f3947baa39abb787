"""Spread of the configuration over gateways and agents."""

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import configuration
from chivejunction.protocol import resources
from chivejunction.state import views
from chivejunction.transport import exchanges
from chivejunction.transport import host_list
from chivejunction.transport import http_client

POLL_SECONDS = 0.5
EXCHANGE_SECONDS = 2.0


async def poll_store(
    view: views.ConfigView, source: configuration.Configuration
) -> None:
    """Applies the newest configuration of the store until cancelled."""
    while True:
        try:
            document, _ = await source.read()
            view.apply(document)
        except errors.StoreError as exc:
            logs.LOG.warning('store cannot be read: %s', exc)
        await anyio.sleep(clock.jitter(POLL_SECONDS))


async def answer_exchange(view: views.ConfigView, message: dict) -> dict:
    """Returns the configuration if it is newer than the sender's."""
    if view.revision <= message['body'].get('revision', 0):
        return {'revision': view.revision}
    return {
        'revision': view.revision,
        'document': view.document.model_dump_json(),
    }


async def pull_from_gateways(
    view: views.ConfigView,
    client: http_client.Client,
    hosts_url: str,
    make_exchange,
) -> None:
    """Applies the newest configuration of the gateways until cancelled.

    Args:
        view: View to apply it to.
        client: HTTP client for the host list.
        hosts_url: URL of the host list.
        make_exchange: Returns an Exchange for an address.
    """
    open_exchanges: dict[str, exchanges.Exchange] = {}
    while True:
        try:
            listed = await host_list.fetch_hosts(client, hosts_url)
        except errors.TransportError as exc:
            logs.LOG.warning('host list cannot be read: %s', exc)
            listed = []
        for host in listed:
            if host.role != 'gateway':
                continue
            exchange = open_exchanges.setdefault(
                host.host, make_exchange(host.control_address)
            )
            await _pull(view, exchange)
        await anyio.sleep(clock.jitter(POLL_SECONDS))


async def _pull(view: views.ConfigView, exchange: exchanges.Exchange) -> None:
    try:
        answer = await exchange.call(
            'pull', {'revision': view.revision}, EXCHANGE_SECONDS
        )
    except errors.TransportError as exc:
        logs.LOG.info('%s', exc)
        return
    if 'document' in answer:
        view.apply(resources.Document.model_validate_json(answer['document']))
