"""Tokens that operators and other chivewall processes must present."""

import hmac
from pathlib import Path

from attrs import field, frozen
from twisted.web.server import Request as HttpRequest

from chivewall.errors import RequestError, SettingsError
from chivewall.plugins.base import Plugin
from chivewall.plugins.registry import Registry
from chivewall.results import ResultCode

BEARER = "Bearer "


@frozen
class CredentialSettings:
    """Settings of the token files; authentication is on unless turned off explicitly."""

    peer_token_file: str | None = field(
        default=None,
        metadata={
            "help": "File with the token between entries and agents; relative to the settings file."
        },
    )
    operator_token_file: str | None = field(
        default=None,
        metadata={"help": "File with the token of operators; relative to the settings file."},
    )
    disabled: bool = field(default=False, metadata={"help": "True turns authentication off."})


@frozen
class Credentials:
    """Tokens in force; a token of ``None`` turns its check off."""

    peer_token: str | None
    operator_token: str | None

    def peer_allowed(self, presented: str | None) -> bool:
        """Return whether another process may send requests to this one."""
        return _is_valid(self.peer_token, presented)

    def operator_allowed(self, presented: str | None) -> bool:
        """Return whether an operator may use the operator API."""
        return _is_valid(self.operator_token, presented)


class CredentialsPlugin(Plugin):
    """Provides ``Credentials``."""

    name = "credentials"
    settings_type = CredentialSettings

    async def setup(self) -> None:
        """Read the token files and provide the tokens to later plug-ins."""
        if self.cfg.disabled:
            self.env.provide(Credentials, Credentials(peer_token=None, operator_token=None))
            return
        if self.cfg.peer_token_file is None or self.cfg.operator_token_file is None:
            raise SettingsError(
                f"{self.env.settings.source}: credentials: set peer_token_file and "
                "operator_token_file, or set disabled to true"
            )
        folder = Path(self.env.settings.source).parent
        self.env.provide(
            Credentials,
            Credentials(
                peer_token=_read_token(folder / self.cfg.peer_token_file),
                operator_token=_read_token(folder / self.cfg.operator_token_file),
            ),
        )


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(CredentialsPlugin)


def authenticate(credentials: Credentials, http: HttpRequest) -> None:
    """Check the operator token; raises ``RequestError``."""
    header = http.getHeader("Authorization") or ""
    token = header.removeprefix(BEARER) if header.startswith(BEARER) else None
    if not credentials.operator_allowed(token):
        raise RequestError(ResultCode.UNAUTHENTICATED, "the operator token is missing or wrong")


def _read_token(path: Path) -> str:
    try:
        token = path.read_text(encoding="utf-8").strip()
    except OSError as exc:
        raise SettingsError(f"credentials: can't read {path}: {exc.strerror}") from exc
    if not token:
        raise SettingsError(f"credentials: {path} is empty")
    return token


def _is_valid(expected: str | None, presented: str | None) -> bool:
    if expected is None:
        return True
    return presented is not None and hmac.compare_digest(expected.encode(), presented.encode())
