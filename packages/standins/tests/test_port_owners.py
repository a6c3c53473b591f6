"""Guards against attributing a connection to no process.

A closed connection in TIME_WAIT has the same local port and no inode; when its
line comes first in the kernel's table, the lookup must go on to the open one.
"""

import os
import socket

from knapweedspring_standins import _port_owners
from knapweedspring_standins._port_owners import PortOwners

CLOSED_LINE = "   0: 0100007F:{port:04X} 0100007F:0050 06 0:0 03:1 0 0 0 0 3 x\n"


def test_closed_connection_with_the_same_port_does_not_hide_the_owner(
    tmp_path, monkeypatch
):
    owners = PortOwners()
    owners.add(os.getpid(), "pretoria")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        inode = os.fstat(listener.fileno()).st_ino
        open_line = CLOSED_LINE.format(port=port).replace(" 0 3 x", f" {inode} 3 x")
        table = tmp_path / "tcp"
        table.write_text("header\n" + CLOSED_LINE.format(port=port) + open_line)
        monkeypatch.setattr(_port_owners, "TCP_TABLE", str(table))
        assert owners.owner_of(port) == "pretoria"
