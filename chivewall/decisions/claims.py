"""Claims of non-idempotent calls with an idempotency key, stored in sharded objects."""

import base64
import hashlib
import json
from enum import Enum

from attrs import evolve, field, frozen

from chivewall.work import Answer, Call, Header, Request

DEFAULT_SHARDS = 64  # default number of shard objects of a service
FORMAT = 1  # version of the JSON format of a shard
MAX_SHARD_BYTES = 900_000  # largest shard; below the object API's limit of 1 MB for a value
MAX_INLINE_BYTES = 2_048  # larger outcomes are stored in separate objects
MAX_OUTCOME_BYTES = 1_000_000  # the object API's limit; larger outcomes can't be stored
OUTCOME_RESERVE_BYTES = MAX_INLINE_BYTES + 128  # space reserved for the outcome of each open claim
MAX_CLOCK_SKEW_SECONDS = 60.0  # between clocks of instances, for the expiry of claims


class ClaimState(Enum):
    """State of the call that a claim covers."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class Verdict(Enum):
    """Result of trying to claim a key."""

    GRANTED = "granted"
    REPEAT = "repeat"  # the call already ran; return its stored outcome
    IN_PROGRESS = "in progress"  # another run holds the claim
    UNKNOWN = "unknown"  # a run held the claim past its deadline without an outcome
    KEY_REUSED = "key reused"  # the key was used for a different request
    SHARD_FULL = "shard full"


@frozen
class Outcome:
    """A stored response: inline or in a separate object; neither if it was too large."""

    inline: str | None = None
    object_key: str | None = None


@frozen
class Claim:
    """Record of one idempotency key; the times are Unix times."""

    workspace: str
    fingerprint: str
    token: str
    run_until: float  # the request's deadline; the claimant doesn't send the call after it
    expires_at: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: Outcome | None = None


@frozen
class ShardState:
    """All claims of one shard, by hashed key."""

    claims: dict[str, Claim] = field(factory=dict)


@frozen
class ClaimKey:
    """Change that claims the key for one run."""

    key: str
    claim: Claim


@frozen
class RecordOutcome:
    """Change that stores the outcome of the run that holds the claim."""

    key: str
    token: str
    outcome: Outcome


@frozen
class ReleaseClaim:
    """Change that gives up the claim of a run that never happened and never will."""

    key: str
    token: str


ClaimChange = ClaimKey | RecordOutcome | ReleaseClaim


@frozen
class ClaimResult:
    """Result of a ``ClaimKey`` change, with the claim now stored in the shard."""

    verdict: Verdict
    claim: Claim


@frozen
class ShardUpdate:
    """The updated shard, the results by token and whether the shard must be written."""

    state: ShardState
    results: dict[str, ClaimResult]
    must_write: bool


def hashed_key(service: str, workspace: str, key: str) -> str:
    """Return the stored form of a key, which differs between services and workspaces."""
    return _digest(json.dumps([service, workspace, key]).encode())


def shard_number(service: str, workspace: str, key: str, shards: int) -> int:
    """Return the number of the shard that holds a key."""
    return int(hashed_key(service, workspace, key)[:8], 16) % shards


def claim_affinity_key(request: Request) -> str:
    """Return the rendezvous hashing key of a keyed call; it is the same for a whole shard.

    It assumes the default number of shards; a service with another number only gets
    more write conflicts.
    """
    service = request.work.service
    return (
        f"{service}/"
        f"{shard_number(service, request.workspace, request.idempotency_key, DEFAULT_SHARDS)}"
    )


def work_fingerprint(call: Call) -> str:
    """Return a hash of the method, path and body, which a repeated call must share."""
    return _digest(json.dumps([call.method, call.path]).encode() + b"\0" + call.body)


def needs_claim(request: Request) -> bool:
    """Return whether the request must claim its key before it runs."""
    return (
        isinstance(request.work, Call)
        and not request.work.idempotent
        and request.idempotency_key is not None
    )


def decide(state: ShardState, changes: tuple[ClaimChange, ...], unix_time: float) -> ShardUpdate:
    """Apply a batch of changes to a shard.

    A release always requires a write: the new version of the object makes a delayed
    write of the released claim fail, even if the claim isn't in the shard yet.
    """
    claims = dict(prune(state, unix_time).claims)
    size = len(encode(ShardState(claims)))
    size += OUTCOME_RESERVE_BYTES * sum(one.state is ClaimState.CLAIMED for one in claims.values())
    results: dict[str, ClaimResult] = {}
    must_write = False
    for change in changes:
        found = claims.get(change.key)
        if isinstance(change, ClaimKey):
            needed = (
                len(change.key)
                + len(json.dumps(_claim_to_json(change.claim)))
                + OUTCOME_RESERVE_BYTES
            )
            result = _try_claim(
                found, change.claim, unix_time, room=MAX_SHARD_BYTES - size - needed
            )
            results[change.claim.token] = result
            if result.verdict is Verdict.GRANTED and found != result.claim:
                claims[change.key] = result.claim
                size += needed
                must_write = True
        elif isinstance(change, ReleaseClaim):
            must_write = True
            if _is_open(found, change.token):
                claims[change.key] = evolve(found, state=ClaimState.RELEASED)
        elif _is_open(found, change.token):
            claims[change.key] = evolve(found, state=ClaimState.DONE, outcome=change.outcome)
            must_write = True
    return ShardUpdate(state=ShardState(claims), results=results, must_write=must_write)


def prune(state: ShardState, unix_time: float) -> ShardState:
    """Remove released claims, and expired ones after a margin for clock skew."""
    return ShardState(
        {
            key: one
            for key, one in state.claims.items()
            if one.state is not ClaimState.RELEASED
            and unix_time < one.expires_at + MAX_CLOCK_SKEW_SECONDS
        }
    )


def may_send(claim: Claim, unix_time: float, deadline: float, now: float) -> bool:
    """Return whether the claimant may still send the call; check just before sending."""
    return now < deadline and unix_time < claim.expires_at


def encode(state: ShardState) -> bytes:
    """Encode a shard as JSON."""
    claims = {key: _claim_to_json(one) for key, one in state.claims.items()}
    return json.dumps({"format": FORMAT, "claims": claims}, separators=(",", ":")).encode()


def decode(value: bytes) -> ShardState:
    """Decode a shard from JSON; raises ``ValueError`` if it is damaged or of another format."""
    try:
        raw = json.loads(value)
        found = raw["format"]
        claims = raw["claims"]
        if found == FORMAT:
            return ShardState({key: _claim_from_json(one) for key, one in claims.items()})
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"claims shard is damaged: {exc!r}") from exc
    raise ValueError(f"claims shard has format {found}, expected {FORMAT}")


def encode_answer(answer: Answer) -> str:
    """Encode a response as JSON."""
    headers = [[one.name, one.value] for one in answer.headers]
    body = base64.b64encode(answer.body).decode()
    return json.dumps([answer.status, headers, body], separators=(",", ":"))


def decode_answer(text: str | bytes) -> Answer:
    """Decode a response from JSON."""
    status, headers, body = json.loads(text)
    return Answer(
        status=status,
        headers=tuple(Header(name=name, value=value) for name, value in headers),
        body=base64.b64decode(body),
    )


def _try_claim(found: Claim | None, wanted: Claim, unix_time: float, room: int) -> ClaimResult:
    if found is None or found.state is ClaimState.RELEASED:
        if room < 0:
            return ClaimResult(Verdict.SHARD_FULL, wanted)
        return ClaimResult(Verdict.GRANTED, wanted)
    if found.token == wanted.token:
        return ClaimResult(Verdict.GRANTED, found)
    if found.fingerprint != wanted.fingerprint:
        return ClaimResult(Verdict.KEY_REUSED, found)
    if found.state is ClaimState.DONE:
        return ClaimResult(Verdict.REPEAT, found)
    late = unix_time >= found.run_until
    return ClaimResult(Verdict.UNKNOWN if late else Verdict.IN_PROGRESS, found)


def _is_open(found: Claim | None, token: str) -> bool:
    return found is not None and found.token == token and found.state is ClaimState.CLAIMED


def _claim_to_json(claim: Claim) -> list:
    outcome = claim.outcome and [claim.outcome.inline, claim.outcome.object_key]
    return [
        claim.workspace,
        claim.fingerprint,
        claim.token,
        claim.run_until,
        claim.expires_at,
        claim.state.value,
        outcome,
    ]


def _claim_from_json(raw: list) -> Claim:
    *values, state, outcome = raw
    return Claim(*values, ClaimState(state), outcome and Outcome(*outcome))


def _digest(value: bytes) -> str:
    return hashlib.sha256(value).hexdigest()[:32]
