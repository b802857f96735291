"""Opens a proxy's listening socket before all else, so that clients queue in the kernel during the start.

When all proxies are down, a client that each of them refuses uses up its few attempts.  Importing the YAML
reader and the settings checks takes a third of a start, so this module recognises one line of the settings
file without parsing it.  The whole file is read and checked later; a socket that doesn't match the checked
settings is closed (`listening_sockets`).
"""

from __future__ import annotations

import os
import socket
from collections.abc import Sequence

SETTINGS_FILE_VARIABLE = "IVYMUX_NODE_FILE"
ADDRESS_KEY = "front_addr:"
MAX_SCANNED_CHARS = 1 << 20  # of a settings file
BACKLOG = 1024  # connections that the kernel queues


def find_client_address(text: str) -> tuple[str, int] | None:
    """Return the address on the first line for ADDRESS_KEY; None if it isn't a plain IP address and port."""
    for line in text.splitlines():
        key, _, value = line.strip().partition(" ")
        if key == ADDRESS_KEY:
            host, _, port = value.strip().strip("\"'").rpartition(":")
            is_plain = port.isascii() and port.isdigit() and host.replace(".", "").isdigit()
            return (host, int(port)) if is_plain else None
    return None


def open_listener(role: str, arguments: Sequence[str]) -> socket.socket | None:
    """Listen for clients if this process is a proxy.

    Returns None if that isn't possible; the proxy reports the cause when it opens its listener itself.
    """
    if role != "proxy" or arguments:
        return None
    try:
        with open(os.environ[SETTINGS_FILE_VARIABLE], encoding="utf-8") as file:
            address = find_client_address(file.read(MAX_SCANNED_CHARS))
        return socket.create_server(address, backlog=BACKLOG) if address is not None else None
    except (KeyError, ValueError, OverflowError, OSError):
        return None
