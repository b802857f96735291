"""`ivymux key`: makes an API key and what a site file keeps of it."""

from __future__ import annotations

import argparse
import json
import secrets
import sys
from typing import Any


def add(verbs: Any) -> None:
    verb = verbs.add_parser("key", help="make an API key for a site file", description=__doc__)
    verb.add_argument("customer")
    verb.add_argument("plan")
    verb.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """The key goes to standard error, once; the entry, which holds only its hash, to standard output."""
    from ivymux.service.callers import KEY_PREFIX, hash_key

    key = KEY_PREFIX + secrets.token_urlsafe(32)
    print(f"the key, shown only now: {key}", file=sys.stderr)
    print("[[callers.keys]]")
    for name, value in (("customer", args.customer), ("plan", args.plan), ("hash", hash_key(key.encode()))):
        print(f"{name} = {json.dumps(value)}")
    return 0
