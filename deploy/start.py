"""Starts a program of the system: `python3 -S deploy/start.py ROLE`.

SIGHUP asks a program to read its settings again, but its default action ends the process.  It is ignored
before anything is imported: `_signal` is built into the interpreter, while `-m` and `signal` import modules.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

sys.path.insert(0, __file__.rpartition("/deploy/")[0] or ".")  # the root of the repository

from ivymux.__main__ import main  # noqa: E402

sys.exit(main())
