"""Idempotency records of actions that carry a caller's key, and conversation affinity."""

CONVERSATIONS = "conversations"  # name of the replicated setting that holds their settings
