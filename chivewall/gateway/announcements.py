"""What endpoints announced of themselves, as the ``Fleet`` task keeps and logs it."""

from attrs import define, evolve, field

from chivewall.decisions.availability import LeavingNotice, LeavingNotices, NoticeSource
from chivewall.decisions.stated_limits import (
    LimitSource,
    LimitStatement,
    StatedLimits,
    effective_rate,
)
from chivewall.decisions.stated_pauses import StatedPauses
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.announcement_messages import EndpointLimit, EndpointPause, LeavingNews
from chivewall.gateway.http_dialect import ResponseFields
from chivewall.gateway.rate_limit_messages import LimitNews
from chivewall.gateway.routing_configuration import EndpointInfo


def is_from(endpoint: EndpointInfo, status: int, fields: ResponseFields) -> bool:
    """Return whether a response to a request for this endpoint comes from it.

    Another endpoint that now has its address refuses the request with status 421.
    """
    if fields.endpoint is not None:
        return fields.endpoint == endpoint.id
    return status != 421


@define
class Announcements:
    """Records notices of leaving, stated limits and pauses, and logs each new one."""

    env: Environment
    notices: LeavingNotices = field(factory=LeavingNotices)
    limits: StatedLimits = field(factory=StatedLimits)
    pauses: StatedPauses = field(factory=StatedPauses)

    def record_response(self, info: EndpointInfo, *, listed: bool) -> LeavingNews | None:
        """Record that an endpoint said that it leaves; return the news if it was not known."""
        news = LeavingNews(info.id, info.started_ms or 0)
        return news if self._record(news, NoticeSource.RESPONSE, listed=listed) else None

    def record_entry(self, info: EndpointInfo) -> None:
        """Record that an endpoint's entry says that it leaves.

        Without the start of its process, a new one could not be told from the one that leaves.
        """
        self.notices.record_listed(info.id, self.env.now)
        if info.draining and info.started_ms is not None:
            news = LeavingNews(info.id, info.started_ms)
            self._record(news, NoticeSource.ENTRY, listed=True)

    def record_news(self, news: LeavingNews, *, listed: bool) -> None:
        """Record that another gateway reported an endpoint as leaving."""
        self._record(news, NoticeSource.PEER, listed=listed)

    def forget(self, replaced: EndpointInfo) -> None:
        """Drop a notice about a process that another one under the same id has replaced.

        The clock of the new one may have stepped back, so its start doesn't tell it from the other.
        """
        self.notices.forget(replaced.id, replaced.started_ms or 0)
        self.forget_requests(replaced.id)

    def forget_requests(self, endpoint: str) -> None:
        """Drop what a process that has been replaced or has left said about its requests."""
        self.pauses.forget(endpoint)
        known = self.limits.statement(endpoint)
        if known is None:
            return
        self.limits.forget(endpoint)
        self._log_limit(evolve(known, rate=None, source=LimitSource.LIST))

    def record_unlisted(self, endpoint: str) -> None:
        """Record that an endpoint's entry was removed."""
        self.notices.record_unlisted(endpoint, self.env.now)

    def notice(self, endpoint: str) -> LeavingNotice | None:
        """Return the notice of an endpoint id, or ``None``."""
        return self.notices.get(endpoint, self.env.now)

    def record_pause(self, message: EndpointPause) -> None:
        """Record that an endpoint asked for a pause."""
        info = message.endpoint
        pause = self.pauses.record(
            info.id, info.started_ms or 0, seconds=message.seconds, now=self.env.now
        )
        if pause is not None:
            self.env.log.emit(
                Event.ENDPOINT_PAUSED,
                endpoint=info.id,
                started_ms=pause.started_ms,
                source=NoticeSource.RESPONSE.value,
                seconds=round(pause.until - self.env.now, 3),
            )

    def record_limit(self, message: EndpointLimit) -> LimitNews | None:
        """Record what a response says of the endpoint's limit; return the news if it changes.

        A value that can't be read neither sets a limit nor ends one.
        """
        info, limit = message.endpoint, message.limit
        if limit is not None and limit.rate is None:
            self.env.log.emit(
                Event.ENDPOINT_LIMIT_REJECTED, endpoint=info.id, value=ascii(limit.text)
            )
            return None
        statement = LimitStatement(
            endpoint=info.id,
            started_ms=info.started_ms or 0,
            rate=None if limit is None else limit.rate,
            sent_at=message.sent_at,
            received_at=self.env.now,
            source=LimitSource.RESPONSE,
        )
        return self._limit_news(statement) if self._record_limit(statement) else None

    def record_limit_news(self, news: LimitNews) -> bool:
        """Record a limit that another gateway reported; return whether it changes."""
        statement = LimitStatement(
            endpoint=news.endpoint,
            started_ms=news.started_ms,
            rate=news.rate,
            sent_at=self.env.now - news.sent_age,
            received_at=self.env.now - news.received_age,
            source=LimitSource.PEER,
        )
        return self._record_limit(statement)

    def limit_news(self) -> tuple[LimitNews, ...]:
        """Return the limits that are known, for other gateways."""
        return tuple(self._limit_news(one) for one in self.limits)

    def _limit_news(self, statement: LimitStatement) -> LimitNews:
        return LimitNews(
            endpoint=statement.endpoint,
            started_ms=statement.started_ms,
            rate=effective_rate(statement.rate),
            sent_age=self.env.now - statement.sent_at,
            received_age=self.env.now - statement.received_at,
        )

    def _record_limit(self, statement: LimitStatement) -> bool:
        changed = self.limits.record(statement)
        if changed:
            self._log_limit(statement)
        return changed

    def _log_limit(self, statement: LimitStatement) -> None:
        self.env.log.emit(
            Event.ENDPOINT_LIMIT,
            endpoint=statement.endpoint,
            started_ms=statement.started_ms,
            rate=effective_rate(statement.rate),
            source=statement.source.value,
            age=round(self.env.now - statement.received_at, 3),
            limited_endpoints=len(self.limits),
        )

    def _record(self, news: LeavingNews, source: NoticeSource, *, listed: bool) -> bool:
        notice = LeavingNotice(news.endpoint, news.started_ms, source, self.env.now)
        is_new = self.notices.record(notice, listed=listed)
        if is_new:
            self.env.log.emit(
                Event.ENDPOINT_LEAVING,
                endpoint=notice.endpoint,
                started_ms=notice.started_ms,
                source=source.value,
                until="its process ends",
            )
        return is_new
