"""Starts a program of the system: `python3 -S deploy/start.py ROLE`.

SIGHUP asks a program to read its settings again, but its default action ends the process.  It is ignored
before anything is imported: `_signal` is built into the interpreter, while `-m` and `signal` import modules.
The packages that deploy/build.py installed are found without the caller's help.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

ROOT = __file__.rpartition("/deploy/")[0] or "."  # of the repository
sys.path.insert(0, ROOT)
sys.path.append(f"{ROOT}/target/deps")  # after the caller's PYTHONPATH, which may be unset

from ivymux.__main__ import main  # noqa: E402

sys.exit(main())
