"""The tally: named counts that expire, in the process or on a socket of its own."""
