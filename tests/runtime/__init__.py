"""Tests of what all programs of the system share."""
