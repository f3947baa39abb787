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

from chivejunction.transport import listening

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_descriptors() -> None:
    """Opens the null device for standard descriptors that are closed.

    Otherwise a socket would get such a descriptor, and with it the log lines.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest closed descriptor is used.
            os.open(os.devnull, os.O_RDWR)


def find_caller_address(text: str) -> str:
    """Returns the address for callers in a settings file.

    Files are written in block style, where the address is found without the
    YAML parser, whose import takes as long as all else before the socket.

    Args:
        text: Content of the settings file.

    Returns:
        ``IP:PORT``.

    Raises:
        Exception: The file names none. The YAML parser raises errors of many
            types, depending on the text.
    """
    _, _, section = f'\n{text}'.partition('\nlisten:\n')
    for line in section.splitlines():
        if not line.startswith(' '):
            break
        name, _, value = line.partition(':')
        if name.strip() == 'front':
            return value.strip().strip('\'"')
    import yaml

    return yaml.safe_load(text)['listen']['front']


def bind_caller_socket() -> socket.socket | None:
    """Returns the listening socket for callers.

    Returns:
        The socket; None if the settings file has no usable address, or the
        address is in use. The program then reports the error or binds the
        address itself.
    """
    path = os.environ.get('CHIVEJUNCTION_NODE_FILE', '')
    try:
        with open(path, encoding='utf-8') as file:
            address, _, port = find_caller_address(file.read()).rpartition(':')
        return listening.bind_socket(address, int(port))
    except Exception:
        return None


def main() -> None:
    """Ignores SIGHUP, binds the address for callers, runs the program."""
    open_standard_descriptors()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = bind_caller_socket()
    from chivejunction.platform import program

    program.main(listener)


if __name__ == '__main__':
    main()
