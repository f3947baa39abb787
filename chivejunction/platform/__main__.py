"""Start of the gateway as a program of the users' platform.

Run as ``python3 -m chivejunction.platform``.
"""

import signal

# A reload that is asked for during the start would end the process: the
# imports take longer than all else, and the settings are read after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from chivejunction.platform import program  # noqa: E402

program.main()
