"""A door's first step: clients wait in the system's queue while the door is loaded.

After a loss of all doors each client that finds none listening loses one of its few tries.  Reading YAML,
and all that checks it, is a third of a start: here one line of the file is known by its look.  The whole is
read and checked in a moment, and a socket that does not fit it is given up (`fitting`).
"""

from __future__ import annotations

import os
import socket
from collections.abc import Sequence

VARIABLE = "IVYMUX_NODE_FILE"
LINE = "front_addr:"
MOST = 1 << 20  # bytes of a settings file that are looked at
BACKLOG = 1024  # connections that wait


def front(text: str) -> tuple[str, int] | None:
    """The address at which clients arrive, by the first line that names it; None where none does plainly."""
    for line in text.splitlines():
        name, _, value = line.strip().partition(" ")
        if name == LINE:
            host, _, port = value.strip().strip("\"'").rpartition(":")
            plain = port.isascii() and port.isdigit() and host.replace(".", "").isdigit()
            return (host, int(port)) if plain else None
    return None


def listening(role: str, arguments: Sequence[str]) -> socket.socket | None:
    """A socket that listens for clients; None where none can be had, which is told when the door starts."""
    if role != "proxy" or arguments:
        return None
    try:
        with open(os.environ[VARIABLE], encoding="utf-8") as file:
            address = front(file.read(MOST))
        return socket.create_server(address, backlog=BACKLOG) if address is not None else None
    except (KeyError, ValueError, OverflowError, OSError):
        return None


def fitting(early: socket.socket | None, host: str, port: int) -> socket.socket | None:
    """The socket, where the settings as they were checked name its address; else it is closed."""
    if early is not None and early.getsockname() != (host, port):
        early.close()
        return None
    return early
