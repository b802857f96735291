"""Where lines are tried out: models of what the system does, without clocks and sockets."""
