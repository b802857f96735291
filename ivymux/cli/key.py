"""`ivymux key`: creates an API key and its entry for a site file."""

from __future__ import annotations

import argparse
import json
import secrets
import sys
from typing import Any


def add_parser(subparsers: Any) -> None:
    parser = subparsers.add_parser("key", help="create an API key for a site file", description=__doc__)
    parser.add_argument("customer")
    parser.add_argument("plan")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print a new key to standard error, and to standard output its entry, which has only the key's hash."""
    from ivymux.service.callers import KEY_PREFIX, hash_key

    key = KEY_PREFIX + secrets.token_urlsafe(32)
    print(f"the key, shown only now: {key}", file=sys.stderr)
    print("[[callers.keys]]")
    for name, value in (("customer", args.customer), ("plan", args.plan), ("hash", hash_key(key.encode()))):
        print(f"{name} = {json.dumps(value)}")
    return 0
