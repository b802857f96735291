"""Rules for the addresses that an installation allows for its tenants' workers.  Pure.

Tenants write their inventories themselves.  Without these rules a tenant could make the gateway send requests
to what only the gateway can reach: its own listeners, the administration API, a cloud's metadata service or
another tenant's machines.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address, ip_network

IpNetwork = IPv4Network | IPv6Network
IpAddress = IPv4Address | IPv6Address


@dataclass(frozen=True, slots=True)
class AddressRules:
    """The networks that workers may be in (empty: any), and the installation's own listeners."""

    networks: tuple[IpNetwork, ...] = ()
    own_addresses: tuple[tuple[str, int], ...] = ()  # host and port

    @classmethod
    def parse(cls, networks: Iterable[str], own_addresses: Iterable[tuple[str, int]]) -> AddressRules:
        """Build rules from networks as text.  Raises ValueError for an invalid network."""
        return cls(tuple(ip_network(text) for text in networks), tuple(own_addresses))

    def violation(self, host: str, port: int) -> str:
        """Return why a worker may not have an address, or an empty text if it may.

        A host name passes here; its addresses are checked once they are resolved.
        """
        try:
            address: IpAddress = ip_address(host)
        except ValueError:
            is_own = host == "localhost" and self.is_own(None, port)
            return "is the installation's own" if is_own else ""
        if isinstance(address, IPv6Address) and address.ipv4_mapped is not None:
            address = address.ipv4_mapped  # another spelling of the same IPv4 address
        if self.is_own(address, port):
            return "is the installation's own"
        if self.networks and not any(address in network for network in self.networks):
            return "is in no network that this installation allows"
        return ""

    def is_own(self, address: IpAddress | None, port: int) -> bool:
        """Return whether an address, or loopback if it is None, with a port is the installation's own."""
        for own_host, own_port in self.own_addresses:
            if port != own_port:
                continue
            try:
                own = ip_address(own_host if own_host != "localhost" else "127.0.0.1")
            except ValueError:
                continue  # the host name of a counter service elsewhere, whose addresses are not known here
            # A listener on all interfaces is reached by loopback and by each address of the machine.  Only
            # loopback can be recognized here; `worker_networks` has to exclude the other addresses.
            is_local = address is None or address.is_loopback or address.is_unspecified
            if address == own or (is_local and (own.is_unspecified or own.is_loopback)):
                return True
        return False


ANY_ADDRESS = AddressRules()
