"""Decides which requests a gateway that shuts down still takes, and until when they may last."""

from attrs import frozen

# Shares of the grace period. Work in progress gets as much of it as possible: a fixed margin took
# a fifth of a short one. Callers read their last responses between the two times.
RESPONSES_SHARE = 7 / 8
CLOSE_SHARE = 0.9125


@frozen
class ShutdownSchedule:
    """The times of a graceful shutdown.

    The load balancer sends new connections for a while, so requests are taken until ``late_from``
    even if they could outlast the process; most of them end in time. A later request comes on a
    kept connection or was slow to arrive. It is taken only if its own deadline is in time, as its
    caller can send it to another gateway at once.

    Example: ``schedule_shutdown(0.0, 8.0, 2.6).takes(received_at=5.0, deadline=5.8)``.
    """

    late_from: float
    end_by: float  # every request has its final response by then
    close_by: float  # all connections are closed by then

    def takes(self, received_at: float, deadline: float) -> bool:
        """Return whether a request is passed on; otherwise it is refused at once."""
        return received_at < self.late_from or deadline <= self.end_by


def schedule_shutdown(
    now: float, grace_seconds: float, balancer_seconds: float
) -> ShutdownSchedule:
    """Return the schedule of a shutdown that begins now.

    ``grace_seconds``: time until the process is killed; ``balancer_seconds``: how long the load
    balancer may go on sending connections.
    """
    end_by = now + RESPONSES_SHARE * grace_seconds
    return ShutdownSchedule(
        late_from=min(now + balancer_seconds, end_by),
        end_by=end_by,
        close_by=now + CLOSE_SHARE * grace_seconds,
    )
