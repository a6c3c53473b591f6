"""Guards against an open connection that is attributed to no process.

The kernel's table may list a closed connection (TIME_WAIT, inode 0) before an open one
with the same local port. The lookup must skip the closed one.
"""

import os
import socket

from knapweedspring_standins import _port_owners
from knapweedspring_standins._port_owners import PortOwners

#: Line of /proc/net/tcp with state 06 (TIME_WAIT) and inode 0.
CLOSED_LINE = "   0: 0100007F:{port:04X} 0100007F:0050 06 0:0 03:1 0 0 0 0 3 x\n"


def test_closed_connection_with_the_same_port_does_not_hide_the_owner(
    tmp_path, monkeypatch
):
    owners = PortOwners()
    owners.add(os.getpid(), "pretoria")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        inode = os.fstat(listener.fileno()).st_ino
        # Only the inode of the open connection's line differs; the lookup does not
        # read the state.
        open_line = CLOSED_LINE.format(port=port).replace(" 0 3 x", f" {inode} 3 x")
        table = tmp_path / "tcp"
        table.write_text("header\n" + CLOSED_LINE.format(port=port) + open_line)
        monkeypatch.setattr(_port_owners, "TCP_TABLE", str(table))
        assert owners.owner_of(port) == "pretoria"
