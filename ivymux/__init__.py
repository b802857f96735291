"""ivymux: an admission gateway and load balancer on real sockets around orchidhill's decisions."""

__version__ = "0.3.0"
