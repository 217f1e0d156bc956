"""What endpoints announced of themselves, as the ``Fleet`` task keeps and logs it."""

from attrs import define, field

from chivewall.decisions.availability import LeavingNotice, LeavingNotices, NoticeSource
from chivewall.environment import Environment
from chivewall.events import Event
from chivewall.gateway.announcement_messages import LeavingNews
from chivewall.gateway.http_dialect import ResponseFields
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
    """Records notices of leaving, and logs each new one."""

    env: Environment
    notices: LeavingNotices = field(factory=LeavingNotices)

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

    def record_unlisted(self, endpoint: str) -> None:
        """Record that an endpoint's entry was removed."""
        self.notices.record_unlisted(endpoint, self.env.now)

    def notice(self, endpoint: str) -> LeavingNotice | None:
        """Return the notice of an endpoint id, or ``None``."""
        return self.notices.get(endpoint, self.env.now)

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
