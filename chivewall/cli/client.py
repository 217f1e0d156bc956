"""Calls the operator API of an entry and maps every failure to an exit status."""

from pathlib import Path
from typing import Any

import treq
from attrs import frozen
from click import ClickException
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from chivewall.exits import ExitStatus

CALL_TIMEOUT = 10.0  # seconds
FIRST_ERROR_STATUS = 400
STATUS_OF_HTTP = {
    401: ExitStatus.UNAUTHENTICATED,
    409: ExitStatus.CONFLICT,
    422: ExitStatus.INVALID_SETTINGS,
}


class CommandError(ClickException):
    """Ends a command with an exit status and a message that says what to do."""

    def __init__(self, message: str, status: ExitStatus) -> None:
        super().__init__(message)
        self.exit_code = int(status)


@frozen
class Client:
    """Address of an entry and the operator token."""

    base: str
    token_file: Path | None = None

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the JSON answer of one call; raises ``CommandError``."""
        answers: list[Any] = []

        def run(_reactor: Any) -> Deferred:
            return ensureDeferred(self._call(method, path, body, answers))

        try:
            react(run)
        except SystemExit as exc:
            if exc.code:
                raise CommandError("the call failed", ExitStatus.FAILED) from exc
        answer = answers[0]
        if isinstance(answer, CommandError):
            raise answer
        return answer

    async def _call(self, method: str, path: str, body: Any, answers: list[Any]) -> None:
        url = f"{self.base}{path}"
        try:
            response = await treq.request(
                method, url, json=body, headers=self._headers(), timeout=CALL_TIMEOUT
            )
            answer = await treq.json_content(response)
        except Exception as exc:
            message = f"no entry answers at {self.base} ({exc}); check --address"
            answers.append(CommandError(message, ExitStatus.UNREACHABLE))
            return
        if response.code >= FIRST_ERROR_STATUS:
            answers.append(_refused(response.code, answer))
            return
        answers.append(answer)

    def _headers(self) -> dict[str, str]:
        if self.token_file is None:
            return {}
        token = self.token_file.read_text(encoding="utf-8").strip()
        return {"Authorization": f"Bearer {token}"}


def _refused(http_status: int, answer: Any) -> CommandError:
    error = answer.get("error", {}) if isinstance(answer, dict) else {}
    message = f"{error.get('name', http_status)} ({error.get('code', '?')}): {error.get('message')}"
    advice = error.get("advice", "")
    status = STATUS_OF_HTTP.get(http_status, ExitStatus.FAILED)
    return CommandError(f"{message}\n{advice}".strip(), status)
