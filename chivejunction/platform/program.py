"""The gateway as a program of the platform; ``__main__`` starts it."""

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

# Named as ``metrics`` in deploy/system.toml.
METRICS_PORT = 9464
# Part of the time to withdraw a key up to which the configuration is taken
# for the newest one. Proofs and requests are dated by when they were asked
# for and arrived, so the rest is only for clocks that run unevenly.
KEY_SHARE = 0.97
# Part of the retry budget of all gateways that is used; gateways do not see
# one another's windows.
RETRY_SHARE = 0.85
RETRY_ALLOWANCE_SHARE = 0.5


def make_options(
    found: settings.Settings,
) -> forward_gateway.GatewayOptions:
    """Returns the options of the gateway from the settings file.

    Raises:
        SettingError: An address is not accepted.
    """
    bounds = found.bounds
    return forward_gateway.GatewayOptions(
        name=found.node_name,
        region=found.region,
        caller_address=settings.split_address(found.listen.front),
        readiness_address=settings.split_address(found.listen.ready),
        metrics_address=(found.ip, METRICS_PORT),
        peer_address=(found.ip, found.internal_ports[0]),
        max_config_age_seconds=KEY_SHARE * bounds.revoke_ms / 1000,
        grace_period_seconds=bounds.grace_period_s,
        retry_share=RETRY_SHARE * bounds.retry_budget_ratio,
        retry_allowance=RETRY_ALLOWANCE_SHARE * bounds.retry_slack,
        retry_window_seconds=bounds.retry_window_s,
        capacity=found.limits.cpu_share * found.limits.cores,
    )


async def run(
    found: settings.Settings,
    file: settings.SettingsFile,
    front: socket.socket | None,
) -> None:
    """Runs the gateway until SIGTERM."""
    client = http_client.Client()
    platform = store.PlatformStore(found.platform.address, client)
    gateway = forward_gateway.ForwardGateway(
        make_options(found),
        platform,
        platform,
        headers.PlatformFormat(),
        configuration.write_status,
    )
    regions = {found.zone: found.region, **found.zones}
    reader = entries.EntryReader(gateway, regions)

    def read_options() -> forward_gateway.GatewayOptions | None:
        changed = file.read_changes()
        return None if changed is None else make_options(changed)

    logs.LOG.info('started', extra={'fields': {'event': 'start'}})
    await gateway.run(reader.apply, read_options, front)


def main(front: socket.socket | None = None) -> None:
    """Starts the program; exits with status 2 on a wrong setting.

    Args:
        front: Listening socket for callers; None to make it here.
    """
    # Made first, so that it notices a change during the start.
    file = settings.SettingsFile()
    try:
        found = settings.read_settings()
        make_options(found)
    except errors.SettingError as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
    logs.configure_bounded_logs(found.node_name)
    anyio.run(run, found, file, front)
