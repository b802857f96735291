"""Which connections to the workers of all tenants may be read while many bytes of answers are held.  Pure."""

from __future__ import annotations

from ivymux.data_plane.answer_flow import MIN_PAUSED_BYTES, AnswerFlow, Reader


class HostedAnswerFlow(AnswerFlow):
    """The answers that arrive for all tenants: within the room of all, and within a limit for each tenant.

    Beyond its limit a tenant still receives the answer that has been arriving for it for longest, if there is
    room among those of all.
    """

    def __init__(self, max_bytes: int) -> None:
        super().__init__(max_bytes)
        self.tenant_flows: dict[Reader, TenantAnswerFlow] = {}  # by connection, of answers that arrive

    def add(self, reader: Reader, size: int) -> None:
        super().add(reader, size)
        self.pause(reader)  # its tenant's limit may be exceeded while there is room for others

    def may_read(self, reader: Reader) -> bool:
        tenant_flow = self.tenant_flows[reader]
        if self.sizes[reader] >= MIN_PAUSED_BYTES and not tenant_flow.has_room_for(reader):
            return False
        return super().may_read(reader)


class TenantAnswerFlow(AnswerFlow):
    """The answers that arrive for one tenant; they are paused and resumed by the flow of all tenants."""

    def __init__(self, max_bytes: int, hosted_flow: HostedAnswerFlow) -> None:
        super().__init__(max_bytes)
        self.hosted_flow = hosted_flow

    def add(self, reader: Reader, size: int) -> None:
        self.held_bytes += size
        self.sizes[reader] = self.sizes.get(reader, 0) + size
        self.hosted_flow.tenant_flows[reader] = self
        self.hosted_flow.add(reader, size)

    def remove(self, reader: Reader) -> None:
        self.held_bytes -= self.sizes.pop(reader, 0)
        self.hosted_flow.remove(reader)
        self.hosted_flow.tenant_flows.pop(reader, None)

    def has_room_for(self, reader: Reader) -> bool:
        """Whether the tenant's limit allows to read more of an answer."""
        return self.held_bytes <= self.max_bytes or reader is self.first_arriving()
