"""Twisted's asyncio reactor on a clock that changes of the system's time don't affect."""

import time
from typing import Any

from twisted.internet import asyncioreactor
from twisted.internet.main import installReactor


def boot_time() -> float:
    """Return seconds on a clock that also advances while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeReactor(asyncioreactor.AsyncioSelectorReactor):
    """Times its calls by the time since the boot.

    Twisted's own reactors use the time of day: when it is set back by some seconds, every pending
    call is late by as much, such as the next watch of the endpoint list, and when it is set
    forward, requests time out early.
    """

    seconds = staticmethod(boot_time)


def install_reactor() -> Any:
    """Install and return the reactor; it uses the event loop that grpclib uses too."""
    reactor = BootTimeReactor()
    installReactor(reactor)
    return reactor
