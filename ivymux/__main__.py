"""`python -m ivymux VERB`; without a verb, NODE_CONFIG starts the gateway of the operators' platform."""

from __future__ import annotations

import signal
import sys

ROLES = ("proxy", "registry", "config_store")  # programs that import few modules, so that they start fast
# Former names of the roles, for which the error message gives the present one.
FORMER_ROLES = {"switchboard": "proxy", "directory": "registry", "exchange": "config_store"}

if __name__ == "__main__":
    if len(sys.argv) == 1 or sys.argv[1] in ROLES:
        # SIGHUP's default action would end the process.  It can be ignored until the event loop handles it:
        # no settings have been read before that, so there is nothing to reload.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1 and sys.argv[1] in ROLES:
        from ivymux.runtime.early_listener import open_listener

        early = open_listener(sys.argv[1], sys.argv[2:])  # before the slow imports
        from ivymux.runtime.program import main as program

        sys.exit(program(sys.argv[1], sys.argv[2:], early))
    if len(sys.argv) > 1 and sys.argv[1] in FORMER_ROLES:
        former = sys.argv[1]
        print(f"ivymux: the role {former} is named {FORMER_ROLES[former]} now", file=sys.stderr)
        sys.exit(2)
    if len(sys.argv) > 1 and sys.argv[1] == "replay":
        from ivymux.simulation.replay import main as replay

        sys.exit(replay(sys.argv[2:]))
    if len(sys.argv) > 1 and sys.argv[1] == "trial":
        from ivymux.trial_command import main as trial

        sys.exit(trial(sys.argv[2:]))
    from ivymux.cli import main

    sys.exit(main())
