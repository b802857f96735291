"""Fault injection: in a trial, all proxies fail or delay the requests of one named caller."""

TRIALS = "trials"  # name of the replicated setting that holds all trials
