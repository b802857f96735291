"""Connections to etcd over TLS with server and client certificates."""

from __future__ import annotations

import ssl
from pathlib import Path

import pytest
import trustme

from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.model import StoreError
from standins.etcd import etcd_server
from tests.desired.etcd_fixtures import access, begin
from tests.desired.store_contract import put


def test_etcd_over_tls_with_a_private_ca(tmp_path: Path) -> None:
    own_ca, foreign_ca = trustme.CA(), trustme.CA()
    own_ca.cert_pem.write_to_path(tmp_path / "ca.pem")
    foreign_ca.cert_pem.write_to_path(tmp_path / "other.pem")
    server_side = own_ca.issue_cert("127.0.0.1")
    server_side.private_key_and_cert_chain_pem.write_to_path(tmp_path / "server.pem")
    client_side = own_ca.issue_cert("front-door.example")
    client_side.private_key_and_cert_chain_pem.write_to_path(tmp_path / "client.pem")
    tls_options = {
        "ssl_certfile": str(tmp_path / "server.pem"), "ssl_ca_certs": str(tmp_path / "ca.pem"),
        "ssl_cert_reqs": ssl.CERT_REQUIRED,
    }  # fmt: skip
    with etcd_server(ssl=tls_options) as server:
        ca, cert = str(tmp_path / "ca.pem"), str(tmp_path / "client.pem")
        store = EtcdStore(access(server, ca=ca, cert=cert))
        begin(store)
        assert put(store, "a") == 2 and store.get("a") is not None
        store.close()
        for wrong in ({"ca": str(tmp_path / "other.pem"), "cert": cert}, {"ca": ca}):
            refused = EtcdStore(access(server, **wrong))
            with pytest.raises(StoreError):
                refused.revision()
            refused.close()
        with pytest.raises(StoreError, match="certificates can't be read"):
            EtcdStore(access(server, ca=str(tmp_path / "none.pem")))
