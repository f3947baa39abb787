"""Gateway process of the platform, started by ``__main__``."""

import contextlib
import os
import socket
import sys

import anyio

from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import forward_gateway
from chivejunction.platform import configuration
from chivejunction.platform import entries
from chivejunction.platform import headers
from chivejunction.platform import settings
from chivejunction.platform import store
from chivejunction.transport import http_client

# Must match ``metrics`` in deploy/system.toml.
METRICS_PORT = 9464
# Share of the key revocation time up to which a configuration counts as
# current. A confirmation is dated by when it was requested and a request by
# its arrival, so the remainder only covers clocks that run at uneven rates.
CONFIG_AGE_SHARE = 0.97
# Share of the retry budget that the gateways use together. They do not see
# one another's counting windows.
RETRY_BUDGET_SHARE = 0.85
RETRY_ALLOWANCE_SHARE = 0.5
BYTES_PER_MB = 1_000_000
STANDARD_ERROR = 2
MAX_ERROR_CHARACTERS = 4000


def make_options(
    node_settings: settings.Settings,
) -> forward_gateway.GatewayOptions:
    """Returns the gateway options for the settings of this process.

    Raises:
        SettingError: An address is not of the form ``IP:PORT``, a feature is
            unknown, or the cost of a link is not valid.
    """
    bounds, limits = node_settings.bounds, node_settings.limits
    memory_bytes = None
    if limits.memory_mb is not None:
        memory_bytes = BYTES_PER_MB * limits.memory_mb
    return forward_gateway.GatewayOptions(
        name=node_settings.node_name,
        region=node_settings.region,
        caller_address=settings.split_address(node_settings.listen.front),
        readiness_address=settings.split_address(node_settings.listen.ready),
        metrics_address=(node_settings.ip, METRICS_PORT),
        peer_address=(node_settings.ip, node_settings.internal_ports[0]),
        max_config_age_seconds=CONFIG_AGE_SHARE * bounds.revoke_ms / 1000,
        grace_period_seconds=bounds.grace_period_s,
        retry_share=RETRY_BUDGET_SHARE * bounds.retry_budget_ratio,
        retry_allowance=RETRY_ALLOWANCE_SHARE * bounds.retry_slack,
        retry_window_seconds=bounds.retry_window_s,
        failure_domain=node_settings.zone,
        features=settings.read_features(node_settings.policies),
        domain_regions=node_settings.zones,
        link_costs=settings.read_link_costs(),
        capacity=limits.cpu_share * limits.cores,
        memory_bytes=memory_bytes,
        max_descriptors=limits.max_fds,
    )


async def run(
    node_settings: settings.Settings,
    file: settings.SettingsFile,
    listener: socket.socket | None,
) -> None:
    """Runs the gateway until SIGTERM.

    Args:
        node_settings: Settings of this process.
        file: Settings file, checked for changes at run time.
        listener: Listening socket for callers; None to open one.
    """
    client = http_client.Client()
    platform = store.PlatformStore(node_settings.platform.address, client)
    gateway = forward_gateway.ForwardGateway(
        make_options(node_settings),
        platform,
        platform,
        headers.PlatformFormat(),
        configuration.encode_move_status,
    )
    regions = {node_settings.zone: node_settings.region, **node_settings.zones}
    reader = entries.EntryReader(gateway, regions)

    def read_options() -> forward_gateway.GatewayOptions | None:
        changed = file.read_if_changed()
        return None if changed is None else make_options(changed)

    logs.LOG.info('started', extra={'fields': {'event': 'start'}})
    await gateway.run(
        reader.apply,
        read_options,
        listener,
        frozenset([configuration.CONFIG_KEY]),
    )


def report_invalid_settings(error: errors.SettingError) -> None:
    """Writes an error as one line to standard error, if that is possible.

    A write through ``sys.stderr`` that fails would change the exit status.
    """
    line = ' '.join(str(error).split())[:MAX_ERROR_CHARACTERS]
    with contextlib.suppress(OSError):
        os.write(STANDARD_ERROR, f'{line}\n'.encode(errors='replace'))


def main(listener: socket.socket | None = None) -> None:
    """Runs the gateway; exits with status 2 if the settings are not valid.

    Args:
        listener: Listening socket for callers; None to open one.
    """
    # Created before the settings are read, so that a change of the file
    # during the start is detected.
    file = settings.SettingsFile()
    try:
        node_settings = settings.read_settings()
        make_options(node_settings)
    except errors.SettingError as exc:
        report_invalid_settings(exc)
        sys.exit(2)
    logs.configure_bounded_logs(node_settings.node_name)
    anyio.run(run, node_settings, file, listener)
