"""Connects the limits on answers: those that arrive from backends wait for room among the unread ones."""

from __future__ import annotations

from ivymux.data_plane.answer_flow import AnswerFlow
from ivymux.data_plane.server import Server

# What connections to backends may still bring once there is no room: a read of each of the last to be paused.
# Without it an answer that ends within such a read would cost a client its connection.
READ_AHEAD_BYTES = 1 << 20
READ_AHEAD_PART = 1 / 8  # of the room, at the most


def share_answer_room(server: Server, flow: AnswerFlow) -> None:
    """Let the answers that a server's clients have not read, and those that arrive for them, share the room.

    While there is none, answers are not read from backends, and clients that are slow readers lose their
    connections for those that wait.
    """

    def room_bytes() -> int:
        room = server.answer_room_bytes()
        return room - min(READ_AHEAD_BYTES, int(READ_AHEAD_PART * room))

    flow.unread_bytes = server.unread_answer_bytes
    flow.room_bytes = flow.max_unread_bytes = room_bytes
    server.waiting_answers = lambda: len(flow.paused) if flow.is_held_up else 0
    server.answer_bytes = lambda: flow.held_bytes + server.unread_answer_bytes()
    server.on_answers_read = flow.update
