"""`python -m ivymux VERB`; without a verb, NODE_CONFIG starts the front door of the operators' platform."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    if len(sys.argv) == 1:
        # The default would end the process.  Until the loop hears it nothing has been read that could be old.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ivymux.cli import main

    sys.exit(main())
