"""etcd by TLS, with certificates of both sides."""

from __future__ import annotations

import ssl
from pathlib import Path

import pytest
import trustme

from ivymux.desired.etcd.store import EtcdStore
from ivymux.desired.model import StoreError
from standins.etcd import serving
from tests.desired.etcd_fixtures import access, begin
from tests.desired.store_contract import put


def test_etcd_by_tls_with_its_own_authority(tmp_path: Path) -> None:
    ours, others = trustme.CA(), trustme.CA()
    ours.cert_pem.write_to_path(tmp_path / "ca.pem")
    others.cert_pem.write_to_path(tmp_path / "other.pem")
    server_side = ours.issue_cert("127.0.0.1")
    server_side.private_key_and_cert_chain_pem.write_to_path(tmp_path / "server.pem")
    client_side = ours.issue_cert("front-door.example")
    client_side.private_key_and_cert_chain_pem.write_to_path(tmp_path / "client.pem")
    terms = {
        "ssl_certfile": str(tmp_path / "server.pem"), "ssl_ca_certs": str(tmp_path / "ca.pem"),
        "ssl_cert_reqs": ssl.CERT_REQUIRED,
    }  # fmt: skip
    with serving(ssl=terms) as server:
        ca, cert = str(tmp_path / "ca.pem"), str(tmp_path / "client.pem")
        store = EtcdStore(access(server, ca=ca, cert=cert))
        begin(store)
        assert put(store, "a") == 2 and store.get("a") is not None
        store.close()
        for wrong in ({"ca": str(tmp_path / "other.pem"), "cert": cert}, {"ca": ca}):
            nobody = EtcdStore(access(server, **wrong))
            with pytest.raises(StoreError):
                nobody.revision()
            nobody.close()
        with pytest.raises(StoreError, match="certificates can't be read"):
            EtcdStore(access(server, ca=str(tmp_path / "none.pem")))
