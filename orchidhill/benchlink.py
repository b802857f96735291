"""Simulator adapter: reads batches of events from standard input, writes replies to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from orchidhill import interface as i
from orchidhill import wire
from orchidhill.gateway import Gateway

InstanceActions = list[i.Action | wire.Fault]  # of one gateway instance, in order


def answer(gateways: dict[int, Gateway], batch: wire.Batch) -> bytes:
    """Pass a batch's events to their gateway instances and encode the reply."""
    actions_by_instance: dict[int, InstanceActions] = {}
    for instance, event in batch.records:
        actions = actions_by_instance.setdefault(instance, [])
        try:
            if isinstance(event, wire.Configure):
                gateways[instance] = Gateway(wire.parse_settings(event.text), event.seed)
            elif isinstance(event, wire.Crash):
                gateways.pop(instance, None)
                actions.clear()
            elif instance in gateways:
                actions.extend(gateways[instance].handle(batch.now, event))
        except Exception as error:  # every failure is reported to the simulator
            actions.append(wire.Fault(f"{type(error).__name__}: {error}"))
    return wire.encode_reply(batch.number, actions_by_instance.items())


def read_batch(source: BinaryIO) -> wire.Batch | None:
    """Read the next batch; None at the end of input.  Raises WireError."""
    head = source.read(wire.HEADER.size)
    if not head:
        return None
    if len(head) < wire.HEADER.size:
        raise wire.WireError("the input ends inside a header")
    size = wire.HEADER.unpack(head)[1] + wire.LENGTH_END - wire.HEADER.size
    if size < 0:
        raise wire.WireError("the batch's length is shorter than its header")
    body = source.read(size)
    if len(body) < size:
        raise wire.WireError("the input ends inside a batch")
    return wire.decode_batch(head, body)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches in order until the input ends.  Raises WireError."""
    gateways: dict[int, Gateway] = {}
    while (batch := read_batch(source)) is not None:
        sink.write(answer(gateways, batch))
        sink.flush()


def main() -> int:
    """Serve the simulator; return the exit status, 1 after malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
