"""Entry point of the gateway on the users' platform.

Run as ``python3 -m chivejunction.platform``. Importing the program takes most
of the start-up time, so this module first ignores SIGHUP and opens the
listening socket. Otherwise a reload signal during the imports would end the
process, and connections during the imports would be refused; after a power
failure, by all gateways at once.
"""

import os
import signal
import socket

import yaml

from chivejunction.transport import listening

# Raised for a settings file that is missing, is not YAML or has an unexpected
# structure, and for an address that does not belong to this host.
SETTING_ERRORS = (
    OSError,
    yaml.YAMLError,
    LookupError,
    TypeError,
    AttributeError,
    ValueError,
    OverflowError,
)


def bind_caller_socket() -> socket.socket | None:
    """Returns the listening socket for callers.

    Returns:
        The socket; None if the settings file has no usable address. The
        program then reports the error or binds the address itself.
    """
    path = os.environ.get('CHIVEJUNCTION_NODE_FILE', '')
    try:
        with open(path, encoding='utf-8') as file:
            endpoint = yaml.safe_load(file)['listen']['front']
        address, _, port = endpoint.rpartition(':')
        return listening.bind_socket(address, int(port))
    except SETTING_ERRORS:
        return None


def main() -> None:
    """Ignores SIGHUP, binds the address for callers, runs the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = bind_caller_socket()
    from chivejunction.platform import program

    program.main(listener)


if __name__ == '__main__':
    main()
