"""Decides which requests a gateway that shuts down still takes, and until when they may last."""

from attrs import frozen


@frozen
class ShutdownSchedule:
    """The times of a graceful shutdown.

    The load balancer sends new connections for a while, so requests are taken until ``late_from``
    even if they could outlast the process; most of them end in time. A later request comes on a
    kept connection or was slow to arrive. It is taken only if its own deadline is in time, as its
    caller can send it to another gateway at once.

    Example: ``ShutdownSchedule(late_from=2.6, end_by=7.0).takes(received_at=5.0, deadline=5.8)``.
    """

    late_from: float
    end_by: float  # every request has its final response by then

    def takes(self, received_at: float, deadline: float) -> bool:
        """Return whether a request is passed on; otherwise it is refused at once."""
        return received_at < self.late_from or deadline <= self.end_by


def schedule_shutdown(now: float, balancer_seconds: float, end_by: float) -> ShutdownSchedule:
    """Return the schedule of a shutdown that begins now.

    ``balancer_seconds``: how long the load balancer may go on sending connections.
    """
    return ShutdownSchedule(late_from=min(now + balancer_seconds, end_by), end_by=end_by)
