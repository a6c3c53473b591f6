"""The owner of a port is found among the lines that the kernel shows for it."""

import os
import socket

from knapweedspring_standins import _port_owners
from knapweedspring_standins._port_owners import PortOwners

CLOSED = "   0: 0100007F:{port:04X} 0100007F:0050 06 0:0 03:1 0 0 0 0 3 x\n"


def test_closed_connection_with_the_same_port_does_not_hide_the_owner(
    tmp_path, monkeypatch
):
    owners = PortOwners()
    owners.add(os.getpid(), "pretoria")
    with socket.create_server(("127.0.0.1", 0)) as held:
        port = held.getsockname()[1]
        inode = os.fstat(held.fileno()).st_ino
        open_line = CLOSED.format(port=port).replace(" 0 3 x", f" {inode} 3 x")
        table = tmp_path / "tcp"
        table.write_text("header\n" + CLOSED.format(port=port) + open_line)
        monkeypatch.setattr(_port_owners, "TCP_TABLE", str(table))
        assert owners.owner_of(port) == "pretoria"
