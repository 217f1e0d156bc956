"""Options of TCP connections that make a dead or silent peer show within seconds."""

import socket
from typing import Any

KEEPALIVE_IDLE = 1  # seconds without traffic before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
KEEPALIVE_PROBES = 2  # unanswered ones that end the connection
# Longest time without an acknowledgement; several retransmissions on a lossy link fit in.
UNACKNOWLEDGED_MS = 2_500


def configure(transport: Any) -> None:
    """Set keepalive probes, the limit of unacknowledged time, and no delay."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
