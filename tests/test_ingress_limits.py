"""Callers' connections while the limits of the routing configuration change."""

import pytest
from attrs import evolve
from twisted.internet.task import Clock

from chivewall.gateway.caller_messages import SendResponse
from chivewall.gateway.ingress_connection import IDLE_MARGIN_SECONDS, IngressConnection
from chivewall.gateway.routing_configuration import IngressLimits
from chivewall.task import Inbox
from tests.utils.ingress import SHORT, SocketTransport, apply, make_gateway

LONG = evolve(SHORT, version=2, limits=IngressLimits(idle_timeout_ms=8000))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def gateway(clock):
    return make_gateway(clock)


def connect(gateway):
    connection = IngressConnection(gateway.env, gateway, gateway.context.dialect)
    connection.makeConnection(SocketTransport())
    return connection


def test_idle_connection_stays_open_for_a_raised_limit(clock, gateway):
    """Guards against a request lost on a connection that its caller may still use."""
    apply(gateway, SHORT)
    connection = connect(gateway)
    clock.advance(1.0)
    apply(gateway, LONG)
    clock.advance(6.9)
    assert not connection.transport.disconnecting
    clock.advance(0.1 + IDLE_MARGIN_SECONDS)
    assert connection.transport.disconnecting


def test_idle_connection_keeps_the_limit_that_its_caller_was_promised(clock, gateway):
    """Guards against a connection that a lowered limit closes before its caller learns of it."""
    apply(gateway, evolve(LONG, version=1))
    connection = connect(gateway)
    apply(gateway, evolve(SHORT, version=2))
    clock.advance(7.9)
    assert not connection.transport.disconnecting


def test_kept_connection_takes_headers_up_to_a_raised_limit(gateway):
    """Guards against a 431 that only an older configuration allows."""
    apply(gateway, evolve(SHORT, limits=IngressLimits(header_bytes=2000)))
    connection = connect(gateway)
    apply(gateway, evolve(SHORT, version=2, limits=IngressLimits(header_bytes=20_000)))
    connection.dataReceived(b"GET /1 HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 6000)
    connection.dataReceived(b"\r\n\r\n")
    assert connection.transport.value().startswith(b"HTTP/1.1 404 ")


def test_endless_head_is_rejected_at_the_limit(gateway):
    """Guards against a head that takes ever more memory."""
    apply(gateway, evolve(SHORT, limits=IngressLimits(header_bytes=2000)))
    connection = connect(gateway)
    connection.dataReceived(b"GET /1 HTTP/1.1\r\nHost: a\r\nX-Long: ")
    for _ in range(4):
        connection.dataReceived(b"x" * 1000)
    assert connection.transport.value().startswith(b"HTTP/1.1 431 ")


def announce(gateway, size):
    """Return a connection whose caller has announced a body of this size."""
    connection = connect(gateway)
    connection.dataReceived(b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size)
    return connection


def test_announced_bodies_count_until_their_requests_end(gateway):
    """Guards against bodies that are taken in part, and against a limit that leaks.

    Small requests must not be refused because of a few large ones.
    """
    apply(gateway, SHORT)
    gateway.bodies.limit = 10_000_000
    first, second = announce(gateway, 4_000_000), announce(gateway, 4_000_000)
    refused = announce(gateway, 4_000_000)
    assert refused.transport.value().startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in refused.transport.value()
    small = announce(gateway, 2)
    small.dataReceived(b"xx")
    assert small.transport.value().startswith(b"HTTP/1.1 404 ")
    first.connectionLost(None)
    assert announce(gateway, 4_000_000).transport.value() == b""
    second.dataReceived(b"x" * 4_000_000)
    assert second.transport.value().startswith(b"HTTP/1.1 404 ")
    assert gateway.bodies.used == 4_000_000


def test_body_of_unknown_length_is_refused_once_it_is_too_large(gateway):
    """Guards against chunked bodies that count against no limit."""
    apply(gateway, SHORT)
    gateway.bodies.limit = 1_000_000
    connection = connect(gateway)
    connection.dataReceived(b"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    connection.dataReceived(b"%x\r\n%s\r\n" % (900_000, b"x" * 900_000))
    assert connection.transport.value().startswith(b"HTTP/1.1 503 ")
    assert gateway.bodies.used == 0


def test_bytes_after_the_last_request_leave_it_alone(gateway):
    """Guards against a request in progress that gets no answer, and whose body isn't counted."""
    apply(gateway, SHORT)
    gateway.accept = lambda *_: Inbox()
    connection = connect(gateway)
    head = b"POST /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
    connection.dataReceived(head + b"xx")
    connection.dataReceived(b"\r\n")
    assert gateway.bodies.used == 2
    connection.put(SendResponse(1, 200, (), b"ok"))
    assert connection.transport.value().endswith(b"\r\n\r\nok")
    assert gateway.bodies.used == 0


def test_many_slow_readers_are_cut_after_a_lowered_limit(clock, gateway):
    """Guards against an error in place of the cuts when hundreds of callers have to go at once."""
    connections = [connect(gateway) for _ in range(500)]
    for one in connections:
        clock.advance(0.001)
        one.pauseProducing()
    gateway.cfg = evolve(gateway.cfg, memory_mb=100.0)
    limit = gateway.cfg.memory_limits.unread
    assert gateway.unread_bytes > 3 * limit
    connect(gateway).pauseProducing()
    assert limit / 2 < gateway.unread_bytes <= limit
    left = [one for one in connections if one.blocked_since is not None]
    assert left == connections[-len(left) :]
