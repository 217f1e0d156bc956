"""TCP options that detect a dead or silent peer within seconds."""

import socket
from typing import Any

KEEPALIVE_IDLE_SECONDS = 1  # seconds without traffic before the first probe
KEEPALIVE_INTERVAL_SECONDS = 1  # seconds between probes
KEEPALIVE_PROBES = 2  # unanswered probes after which the connection is closed
# Maximum time that sent data may stay unacknowledged, in ms; leaves time for several
# retransmissions on a lossy link.
ACK_TIMEOUT_MS = 2_500


def set_tcp_options(transport: Any) -> None:
    """Enable keepalive probes, the acknowledgement timeout, and ``TCP_NODELAY``."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
