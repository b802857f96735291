"""The sample service of `ivymux demo`."""
