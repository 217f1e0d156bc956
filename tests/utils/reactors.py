"""Helper that runs a coroutine on Twisted's real reactor from a synchronous test."""

from functools import partial
from threading import Thread

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

MAX_STEP_SECONDS = 0.1  # longest time for which one iteration of the reactor blocks


def run_on_reactor(coroutine, timeout=20.0):
    """Return the result of a coroutine, which is cancelled after ``timeout`` seconds.

    The reactor is iterated by hand, since it can be run only once in a process.
    """
    if not reactor.running:
        # Name look-ups use the thread pool; non-daemon threads would keep the process alive.
        reactor.getThreadPool().threadFactory = partial(Thread, daemon=True)
        reactor.startRunning(installSignalHandlers=False)
    results = []
    deferred = ensureDeferred(coroutine).addTimeout(timeout, reactor)
    deferred.addBoth(results.append)
    while not results:
        reactor.runUntilCurrent()
        delay = reactor.timeout()
        reactor.doIteration(MAX_STEP_SECONDS if delay is None else min(MAX_STEP_SECONDS, delay))
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]
