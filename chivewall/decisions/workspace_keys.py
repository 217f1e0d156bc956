"""Finds the workspace of a request by the key that its caller sent.

Keys are kept and compared by their digests only, so that neither the time of a look-up nor a
printed table tells anything about a key.
"""

import hmac
from enum import Enum
from hashlib import blake2b

from attrs import define, field, frozen

from chivewall.gateway.routing_configuration import Route, RoutingConfiguration, Workspace

DIGEST_BYTES = 16
MAX_KEY_CHARS = 256  # longer keys are neither taken from the configuration nor looked up


class KeyVerdict(Enum):
    """Whether a request may be served, by its key."""

    NOT_NEEDED = "not needed"  # the route is public, or the configuration has no workspaces
    GRANTED = "granted"
    DENIED = "denied"  # the configuration in force doesn't know such a key
    UNDECIDED = "undecided"  # a key may be missing here though the operator has added it


@frozen
class KeyRuling:
    """What the configuration in force says of one request's key."""

    verdict: KeyVerdict
    workspace: Workspace | None = None  # if the key was granted
    # The gateway alone says which workspace a request is from, and drops what callers say of it.
    workspaces_in_use: bool = False
    reason: str = ""  # of a denied or undecided key; never contains it

    @property
    def allows(self) -> bool:
        """Return whether the request may be sent to an endpoint."""
        return self.verdict in (KeyVerdict.NOT_NEEDED, KeyVerdict.GRANTED)


@define
class WorkspaceKeys:
    """The keys of one routing configuration.

    If several workspaces hold a key, it belongs to the first of them in the configuration: a
    refusal would be wrong in any case, and so all gateways agree.

    Example: ``WorkspaceKeys(configuration).rule(("k1",), route).workspace``.
    """

    configuration: RoutingConfiguration = field(repr=False)
    shared: frozenset[tuple[str, str]] = field(factory=frozenset, init=False)
    _by_digest: dict[bytes, tuple[bytes, Workspace]] = field(factory=dict, init=False, repr=False)
    _public: frozenset[tuple[str, str]] = field(factory=frozenset, init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        shared = set()
        for workspace in self.configuration.workspaces:
            for key in workspace.keys:
                digest = _digest(key)
                holder = self._by_digest.setdefault(digest, (digest, workspace))[1]
                if holder.name != workspace.name:
                    shared.add((holder.name, workspace.name))
        self._public = frozenset(
            (one.host, one.path_prefix) for one in self.configuration.routes if one.public
        )
        self.shared = frozenset(shared)  # names of workspaces with a common key, the holder first

    @property
    def count(self) -> int:
        """Return the number of different keys."""
        return len(self._by_digest)

    def rule(self, sent: tuple[str, ...], route: Route, *, may_be_old: bool = False) -> KeyRuling:
        """Return what holds for a request with these values of the key's header.

        ``may_be_old``: the operator may have written a newer configuration that isn't known here.
        No request is denied then, as a newer one may allow it.
        """
        in_use = self.configuration.keys_required
        # The route of a request in progress may be that of an earlier configuration.
        became_public = (route.host, route.path_prefix) in self._public
        if not in_use or route.public or became_public:
            return KeyRuling(KeyVerdict.NOT_NEEDED, workspaces_in_use=in_use)
        workspace, reason = self._find(sent)
        if workspace is not None:
            return KeyRuling(KeyVerdict.GRANTED, workspace, workspaces_in_use=True)
        verdict = KeyVerdict.DENIED
        if may_be_old:
            verdict = KeyVerdict.UNDECIDED
            reason += ", and a newer configuration may be in force"
        elif self.configuration.odd_workspaces:
            verdict = KeyVerdict.UNDECIDED
            reason += ", and a part of the workspaces can't be read"
        return KeyRuling(verdict, workspaces_in_use=True, reason=reason)

    def _find(self, sent: tuple[str, ...]) -> tuple[Workspace | None, str]:
        if len(sent) != 1:
            return None, "more than one key was sent" if sent else "no key was sent"
        (key,) = sent
        if not 0 < len(key) <= MAX_KEY_CHARS:
            return None, "the key is too long" if key else "the key is empty"
        digest = _digest(key)
        known, workspace = self._by_digest.get(digest, (b"", None))
        if workspace is None or not hmac.compare_digest(known, digest):
            return None, "the key is unknown"
        return workspace, ""


def _digest(key: str) -> bytes:
    return blake2b(key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES).digest()
