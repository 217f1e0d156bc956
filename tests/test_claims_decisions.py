"""Tests of the claim decisions, alone and under random interleavings of several agents."""

from collections import Counter

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from chivewall.decisions import claims
from chivewall.decisions.claims import (
    Claim,
    ClaimKey,
    ClaimState,
    Outcome,
    RecordOutcome,
    ReleaseClaim,
    ShardState,
    Verdict,
)
from chivewall.work import Answer, Call, Header

NOW = 1_000.0
KEYS = ("a", "b")
AGENTS = 3
# Fates of a write: applied, applied with a lost response, lost, or delivered later.
WRITE_FATES = ("confirmed", "unconfirmed", "dropped", "late")
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ("read", "claim", "claim", "give_up", "record", "release", "kill", "deliver_late")
        ),
        st.integers(0, AGENTS - 1),
        st.sampled_from(KEYS),
        st.sampled_from(WRITE_FATES),
    ),
    max_size=60,
)


def claim(token, **changes):
    values = {"workspace": "w", "fingerprint": "f", "run_until": NOW + 10, "expires_at": NOW + 100}
    return Claim(token=token, **{**values, **changes})


def verdict(state, key, wanted, unix_time=NOW):
    return claims.decide(state, (ClaimKey(key, wanted),), unix_time).results[wanted.token].verdict


@define
class Process:
    """One agent with its copy of the shard and the tokens of its claims."""

    shard_copy: ShardState = field(factory=ShardState)
    version: int = 0
    open_tokens: dict = field(factory=dict)  # key -> token of a claim without a known verdict
    granted_tokens: dict = field(factory=dict)  # key -> token of the claim that let it run
    releases: list = field(factory=list)  # changes that are not known to be written


@define
class ShardModel:
    """A shard object with conditional updates and the processes that change it."""

    conditional: bool = True
    state: ShardState = field(factory=ShardState)
    version: int = 0
    late_writes: list = field(factory=list)  # (expected version, state) of undelivered writes
    processes: list = field(factory=lambda: [Process() for _ in range(AGENTS)])
    run_counts: Counter = field(factory=Counter)
    run_tokens: set = field(factory=set)
    refused_tokens: set = field(factory=set)  # tokens reported as not run
    lost_keys: set = field(factory=set)  # keys with a token of a killed process
    token_count: int = 0

    def apply(self, version, state):
        if self.conditional and version != self.version:
            return False
        self.state, self.version = state, self.version + 1
        return True

    def commit(self, process, change, fate):
        """Write a change; return the decision if the process learns that it took effect."""
        decision = claims.decide(process.shard_copy, (change,), NOW)
        if not decision.must_write:
            return decision
        if fate == "late":
            self.late_writes.append((process.version, decision.state))
        elif fate != "dropped" and self.apply(process.version, decision.state):
            if fate != "confirmed":
                return None
            process.shard_copy, process.version = decision.state, self.version
            return decision
        return None

    def step(self, action, agent, key, fate):
        process = self.processes[agent]
        getattr(self, action)(process, key, fate)

    def read(self, process, key, fate):
        process.shard_copy, process.version = self.state, self.version

    def claim(self, process, key, fate):
        if key not in process.open_tokens:
            self.token_count += 1
            process.open_tokens[key] = f"t{self.token_count}"
        token = process.open_tokens[key]
        decision = self.commit(process, ClaimKey(key, claim(token)), fate)
        if decision is None:
            return
        del process.open_tokens[key]
        if decision.results[token].verdict is Verdict.GRANTED:
            self.run_counts[key] += 1
            self.run_tokens.add(token)
            process.granted_tokens[key] = token

    def give_up(self, process, key, fate):
        token = process.open_tokens.pop(key, None)
        if token is not None:
            self.refused_tokens.add(token)
            process.releases.append(ReleaseClaim(key, token))

    def record(self, process, key, fate):
        if key in process.granted_tokens:
            change = RecordOutcome(key, process.granted_tokens[key], Outcome(inline="x"))
            self.commit(process, change, fate)

    def release(self, process, key, fate):
        if process.releases and self.commit(process, process.releases[0], fate) is not None:
            process.releases.pop(0)

    def kill(self, process, key, fate):
        self.lost_keys.update(
            process.open_tokens, process.granted_tokens, (one.key for one in process.releases)
        )
        index = self.processes.index(process)
        self.processes[index] = Process()

    def deliver_late(self, process, key, fate):
        if self.late_writes:
            self.apply(*self.late_writes.pop(0))

    def end_faults(self):
        """End every fault: processes give up and release open claims, late writes arrive."""
        for process in self.processes:
            for key in KEYS:
                self.give_up(process, key, "confirmed")
            while process.releases:
                self.read(process, "", "confirmed")
                self.release(process, "", "confirmed")
        while self.late_writes:
            self.deliver_late(None, "", "")

    def violations(self):
        found = [f"{key} ran {count} times" for key, count in self.run_counts.items() if count > 1]
        found += [
            f"{token} ran after its refusal" for token in self.run_tokens & self.refused_tokens
        ]
        for key, one in self.state.claims.items():
            if (
                one.state is ClaimState.CLAIMED
                and not self.run_counts[key]
                and key not in self.lost_keys
            ):
                found.append(f"{key} never ran and is blocked")
        return found


class InterleavingTest(TestCase):
    """Guards against double runs, false refusals and keys that stay blocked."""

    @settings(max_examples=400, deadline=None)
    @given(ACTIONS)
    def test_keys_run_at_most_once(self, steps):
        """Guards against losses and delays of writes that let two agents run one key."""
        model = ShardModel()
        for step in steps:
            model.step(*step)
        model.end_faults()
        self.assertThat(model.violations(), Equals([]))

    def test_update_without_condition_is_caught(self):
        """Guards against a model that finds no double run even with unconditional writes."""
        model = ShardModel(conditional=False)
        for agent in (0, 1):
            model.step("claim", agent, "a", "confirmed")
        self.assertThat(model.violations(), Equals(["a ran 2 times"]))

    def test_late_write_of_a_released_claim_fails(self):
        """Guards against a key blocked by a write that arrives after its claimant gave up."""
        model = ShardModel()
        model.step("claim", 0, "a", "late")
        model.step("give_up", 0, "a", "confirmed")
        model.step("release", 0, "a", "confirmed")
        model.step("deliver_late", 0, "a", "confirmed")
        self.assertThat(model.state.claims, Equals({}))


class DecisionTest(TestCase):
    """Guards against wrong verdicts on repeats, and shards that lose or mix up claims."""

    def setUp(self):
        super().setUp()
        self.claimed = ShardState({"k": claim("t1")})

    def test_repeat_while_the_first_runs(self):
        """Guards against a second run beside the first."""
        self.assertThat(verdict(self.claimed, "k", claim("t2")), Equals(Verdict.IN_PROGRESS))

    def test_repeat_of_a_dead_claimant_is_unknown(self):
        """Guards against a second run when the claimant's time is up and its outcome unknown."""
        got = verdict(self.claimed, "k", claim("t2"), unix_time=NOW + 11)
        self.assertThat(got, Equals(Verdict.UNKNOWN))

    def test_other_request_under_the_same_key(self):
        """Guards against an outcome given to a different request."""
        other = claim("t2", fingerprint="g")
        self.assertThat(verdict(self.claimed, "k", other), Equals(Verdict.KEY_REUSED))

    def test_released_key_runs(self):
        """Guards against a key that stays blocked after its claim was released."""
        state = claims.decide(self.claimed, (ReleaseClaim("k", "t1"),), NOW).state
        self.assertThat(verdict(state, "k", claim("t2")), Equals(Verdict.GRANTED))

    def test_release_by_another_token_changes_nothing(self):
        """Guards against a late release that frees the claim of another attempt."""
        state = claims.decide(self.claimed, (ReleaseClaim("k", "t9"),), NOW).state
        self.assertThat(state, Equals(self.claimed))

    def test_expired_claims_are_pruned_after_the_clock_skew(self):
        """Guards against a claim pruned while a process with a slow clock may still run it."""
        soon, late = NOW + 100, NOW + 100 + claims.MAX_CLOCK_SKEW_SECONDS
        self.assertThat(claims.prune(self.claimed, soon), Equals(self.claimed))
        self.assertThat(claims.prune(self.claimed, late), Equals(ShardState()))
        self.assertFalse(claims.may_send(claim("t1"), soon, deadline=9.0, now=1.0))

    def test_full_shard_refuses_and_keeps_room_for_outcomes(self):
        """Guards against a shard over the object API's limit, which could record no outcome."""
        batch = tuple(ClaimKey(f"{index:032}", claim(f"t{index}")) for index in range(600))
        decision = claims.decide(ShardState(), batch, NOW)
        granted = [key for key, one in decision.state.claims.items()]
        refused = [one for one in decision.results.values() if one.verdict is Verdict.SHARD_FULL]
        self.assertThat(len(granted) + len(refused), Equals(600))
        self.assertTrue(refused)
        outcome = Outcome(inline="x" * claims.MAX_INLINE_BYTES)
        records = tuple(
            RecordOutcome(key, one.token, outcome) for key, one in decision.state.claims.items()
        )
        done = claims.decide(decision.state, records, NOW).state
        self.assertThat(len(claims.encode(done)), LessThan(1_000_000))

    def test_encoded_shard_is_decoded_unchanged(self):
        """Guards against a shard that is read back with different content."""
        change = RecordOutcome("k", "t1", Outcome(object_key="outcomes/x"))
        state = claims.decide(self.claimed, (change,), NOW).state
        self.assertThat(claims.decode(claims.encode(state)), Equals(state))

    def test_encoded_answer_is_decoded_unchanged(self):
        """Guards against a stored answer whose bytes or header characters change."""
        answer = Answer(status=201, headers=(Header("X-A", "\u00e9"),), body=b"\xff\x00")
        self.assertThat(claims.decode_answer(claims.encode_answer(answer)), Equals(answer))

    def test_unreadable_shards_raise(self):
        """Guards against a damaged shard taken for an empty one, which would let keys run again."""
        for value in (b"[]", b"{", b'{"format": 2, "claims": {}}'):
            self.assertRaises(ValueError, claims.decode, value)

    def test_workspaces_have_separate_keys(self):
        """Guards against a workspace that gets the outcome of another workspace's call."""
        hashed_keys = {claims.hashed_key(*one) for one in (("s", "v", "k"), ("s", "w", "k"))}
        self.assertThat(len(hashed_keys), Equals(2))

    def test_fingerprint_covers_method_path_and_body(self):
        """Guards against different calls that count as repeats of each other."""
        calls = [
            Call("s", "POST", "/a", body=b"1"),
            Call("s", "PUT", "/a", body=b"1"),
            Call("s", "POST", "/b", body=b"1"),
            Call("s", "POST", "/a", body=b"2"),
        ]
        self.assertThat(len({claims.work_fingerprint(one) for one in calls}), Equals(4))
