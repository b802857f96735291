"""`python -m ivymux VERB`; without a verb, NODE_CONFIG starts the gateway of the operators' platform."""

from __future__ import annotations

import os
import signal
import sys

ROLES = ("proxy", "registry", "config_store")  # programs that import few modules, so that they start fast
# Former names of the roles, for which the error message gives the present one.
FORMER_ROLES = {"switchboard": "proxy", "directory": "registry", "exchange": "config_store"}


def open_standard_streams() -> None:
    """Open the standard descriptors that were closed, on the null device.

    Otherwise the first sockets would get their numbers, and the event loop's library (libuv) aborts the
    process when it closes one of those.
    """
    for number in range(3):
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # takes the lowest free number


def main() -> int:
    """Run what the command line names; return the exit code."""
    open_standard_streams()
    verb, arguments = "".join(sys.argv[1:2]), sys.argv[2:]
    if not verb or verb in ROLES:
        # SIGHUP's default action would end the process.  It can be ignored until the event loop handles it:
        # no settings have been read before that, so there is nothing to reload.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if verb in ROLES:
        from ivymux.runtime.early_listener import open_listener

        early = open_listener(verb, arguments)  # before the slow imports
        from ivymux.runtime.program import main as program

        return program(verb, arguments, early)
    if verb in FORMER_ROLES:
        print(f"ivymux: the role {verb} is named {FORMER_ROLES[verb]} now", file=sys.stderr)
        return 2
    if verb == "replay":
        from ivymux.simulation.replay import main as replay

        return replay(arguments)
    if verb == "soak":
        from ivymux.simulation.soak import main as soak

        return soak(arguments)
    if verb == "trial":
        from ivymux.trial_command import main as trial

        return trial(arguments)
    from ivymux.cli import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(main())
