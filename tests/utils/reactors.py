"""Helper that runs a coroutine on Twisted's real reactor from a synchronous test."""

from functools import partial
from threading import Thread

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

LONGEST_STEP = 0.1  # seconds, for which one iteration of the reactor may block


def run(coroutine, timeout=20.0):
    """Return the result of a coroutine, which is cancelled after ``timeout`` seconds.

    The reactor is iterated by hand, since it can be run only once in a process.
    """
    if not reactor.running:
        # Name look-ups use the thread pool; non-daemon threads would keep the process alive.
        reactor.getThreadPool().threadFactory = partial(Thread, daemon=True)
        reactor.startRunning(installSignalHandlers=False)
    results = []
    waiting = ensureDeferred(coroutine).addTimeout(timeout, reactor)
    waiting.addBoth(results.append)
    while not results:
        reactor.runUntilCurrent()
        pause = reactor.timeout()
        reactor.doIteration(LONGEST_STEP if pause is None else min(LONGEST_STEP, pause))
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]
