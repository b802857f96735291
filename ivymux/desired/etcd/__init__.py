"""The desired state in etcd v3, through its JSON gateway, shared by gateways on several machines."""
