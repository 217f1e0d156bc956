"""TCP options that detect a dead or silent peer within seconds."""

import fcntl
import socket
import struct
import termios
from typing import Any

KEEPALIVE_IDLE_SECONDS = 1  # seconds without traffic before the first probe
KEEPALIVE_INTERVAL_SECONDS = 1  # seconds between probes
KEEPALIVE_PROBES = 2  # unanswered probes after which the connection is closed
# Maximum time that sent data may stay unacknowledged, in ms; leaves time for several
# retransmissions on a lossy link.
ACK_TIMEOUT_MS = 2_500


# The same for a peer that may stop reading: while its window is closed, the kernel counts the time
# as one without an answer, although the peer acknowledges each probe.
READ_TIMEOUT_MS = 30_000


def set_tcp_options(transport: Any, ack_timeout_ms: int = ACK_TIMEOUT_MS) -> None:
    """Enable keepalive probes, the acknowledgement timeout, and ``TCP_NODELAY``."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, ack_timeout_ms),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def is_delivered(transport: Any) -> bool:
    """Return whether the peer has received all that the kernel holds, and reported no error."""
    handle = transport.getHandle()
    if handle is not None and handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    return unsent_bytes(transport) == 0


def unsent_bytes(transport: Any) -> int:
    """Return how many bytes of a connection its peer has not acknowledged; 0 if it can't be told.

    Bytes that the transport itself still holds count too: when a peer reads again after a pause,
    the kernel's buffer may be empty until the transport writes more.
    """
    handle = transport.getHandle()
    if handle is None or handle.fileno() < 0:
        return 0
    try:
        found = fcntl.ioctl(handle.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("i", found)[0] + _held_bytes(transport)


def _held_bytes(transport: Any) -> int:
    """Return how many bytes a transport of Twisted has not handed to the kernel."""
    first = len(getattr(transport, "dataBuffer", b"")) - getattr(transport, "offset", 0)
    return first + getattr(transport, "_tempDataLen", 0)
