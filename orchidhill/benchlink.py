"""Host loop for the simulator: frames in on standard input, replies out on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from orchidhill import interface as i
from orchidhill import wire
from orchidhill.gateway import Gateway

Listed = list[i.Action | wire.Fault]


def answer(gateways: dict[int, Gateway], batch: wire.Batch) -> bytes:
    """Hand a batch's events to their instances and encode what they do."""
    out: dict[int, Listed] = {}
    for instance, event in batch.records:
        listed = out.setdefault(instance, [])
        try:
            if isinstance(event, wire.Configure):
                gateways[instance] = Gateway(wire.parse_settings(event.text), event.seed)
            elif isinstance(event, wire.Crash):
                gateways.pop(instance, None)
                listed.clear()
            elif instance in gateways:
                listed.extend(gateways[instance].handle(batch.now, event))
        except Exception as error:  # any failure of the module is reported, none is hidden
            listed.append(wire.Fault(f"{type(error).__name__}: {error}"))
    return wire.encode_reply(batch.number, out.items())


def read_batch(source: BinaryIO) -> wire.Batch | None:
    """The next batch, or None at a clean end of input."""
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
    gateways: dict[int, Gateway] = {}
    while (batch := read_batch(source)) is not None:
        sink.write(answer(gateways, batch))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
