"""One request's dealings with the guard of prompt parts."""

from attrs import define

from chivewall.decisions.crash_evidence import PartCheck, PartKey, Verdict
from chivewall.gateway.part_guard import PartGuard
from chivewall.gateway.part_messages import (
    CheckParts,
    EngineCrashed,
    GuardedRequestEnded,
    PartsServed,
)
from chivewall.gateway.routing_configuration import EndpointInfo
from chivewall.task import Inbox


@define
class GuardedPrompt:
    """Asks whether a request may be sent, and reports what came of it."""

    guard: PartGuard
    keys: tuple[PartKey, ...]  # empty for a request without shared parts
    sender: Inbox  # of the request's task
    request_id: str | None
    last_verdict: Verdict = Verdict.PASS

    async def check(self) -> PartCheck:
        """Return whether the request may be sent now."""
        if not self.keys:
            return PartCheck(Verdict.PASS)
        check = await self.guard.query(
            CheckParts(
                self.keys,
                sender=self.sender,
                request_id=self.request_id,
                last_verdict=self.last_verdict,
            )
        )
        self.last_verdict = check.verdict
        return check

    def record_served(self) -> None:
        """Report that an engine sent the request's first event."""
        if self.keys:
            self.guard.send(PartsServed(self.keys, self.sender))
            self.last_verdict = Verdict.PASS

    def record_crash(self, engine: EndpointInfo, *, begun: bool) -> None:
        """Report that the engine crashed before the first event; ``begun``: it had sent a head."""
        self.guard.send(EngineCrashed(engine, self.keys, request_id=self.request_id, begun=begun))
        self.last_verdict = Verdict.PASS

    def end(self) -> None:
        """Report the end of the request."""
        if self.keys:
            in_trial = self.last_verdict is Verdict.TRIAL
            self.guard.send(GuardedRequestEnded(self.keys, self.sender, in_trial=in_trial))
