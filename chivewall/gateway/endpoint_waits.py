"""Requests that wait until an endpoint of their service can answer them."""

from collections.abc import Collection

from attrs import define, field

from chivewall.decisions.availability import Availability
from chivewall.decisions.endpoint_record import EndpointRecord
from chivewall.gateway.fleet_messages import AwaitEndpoint


@define
class EndpointWaits:
    """Holds the queries of the waiting requests, and the time of the next check for them."""

    next_check: float | None = None
    _waiting: list[AwaitEndpoint] = field(factory=list, init=False)

    def add(self, query: AwaitEndpoint) -> None:
        """Add a waiting request."""
        self._waiting.append(query)

    def end(self, records: Collection[EndpointRecord], now: float) -> float | None:
        """Reply to the requests that an endpoint can answer now.

        Returns the time of a new check for the others, or ``None`` if no further one is needed.
        """
        # The deferred of a request that has ended meanwhile was cancelled, which calls it.
        self._waiting = [one for one in self._waiting if not one.deferred.called]
        checks = []
        for query in list(self._waiting):
            times = [_usable_at(one) for one in records if _suits(one, query)]
            if any(one <= now for one in times) or (not times and query.allowed is not None):
                self._waiting.remove(query)
                query.reply(bool(times))
            else:
                checks += times
        if self.next_check is not None and self.next_check <= now:
            self.next_check = None
        if not checks or (self.next_check is not None and self.next_check <= min(checks)):
            return None
        self.next_check = min(checks)
        return self.next_check


def _suits(record: EndpointRecord, query: AwaitEndpoint) -> bool:
    info = record.info
    return (
        info.service == query.service
        and not record.prefills_first
        and record.availability is not Availability.LEAVING
        and (query.allowed is None or info.id in query.allowed)
    )


def _usable_at(record: EndpointRecord) -> float:
    return max(record.cooldown_until, record.avoid_until, record.paused_until)
