"""Intercept: trials, in which every door fails one named caller's requests, and nobody else's."""

TRIALS = "trials"  # the note that holds them
