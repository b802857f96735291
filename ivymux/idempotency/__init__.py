"""Toll tickets: what is known of each action that carries a caller's key, and where its conversation goes."""

CONVERSATIONS = "conversations"  # the note that holds their settings
