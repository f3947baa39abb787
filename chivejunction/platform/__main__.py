"""Start of the gateway as a program of the users' platform.

Run as ``python3 -m chivejunction.platform``. The imports of the program take
most of the start. What must not wait for them is done here: a reload that is
asked for meanwhile would end the process, and callers that connect meanwhile
would be refused, by all gateways at once after a loss of power.
"""

import os
import signal
import socket

import yaml

from chivejunction.transport import listening

# What a file that is missing, no YAML, of another shape or with an address
# that is not one of this host leads to.
SETTING_ERRORS = (
    OSError,
    yaml.YAMLError,
    LookupError,
    TypeError,
    AttributeError,
    ValueError,
    OverflowError,
)


def bind_front() -> socket.socket | None:
    """Returns the socket for callers; None if the settings do not tell.

    The program checks the settings after its imports, and then reports what
    is wrong with them or binds the address itself.
    """
    path = os.environ.get('CHIVEJUNCTION_NODE_FILE', '')
    try:
        with open(path, encoding='utf-8') as file:
            front = yaml.safe_load(file)['listen']['front']
        address, _, port = front.rpartition(':')
        return listening.bind_socket(address, int(port))
    except SETTING_ERRORS:
        return None


def main() -> None:
    """Starts the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    front = bind_front()
    from chivejunction.platform import program

    program.main(front)


if __name__ == '__main__':
    main()
