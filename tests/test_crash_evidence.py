"""Evidence about prompt parts that crash engines, alone and spread over many gateways."""

import random

import pytest

from chivewall.decisions.crash_evidence import (
    BLOCK_SECONDS,
    FORGET_SECONDS,
    MAX_MAIN_NEWS,
    MAX_SUCCESSES,
    MAX_SUSPECTS,
    TRIAL_SECONDS,
    CrashEvidence,
    EngineRun,
    PartKey,
    Verdict,
)
from chivewall.gateway.peer_codec import MAX_DATAGRAM_BYTES, decode, encode, part_batches


def key(name):
    return PartKey("engines", name)


# The users' platform allows three requests this long after the fifth crash.
FREE_CRASHES = 5
STABLE_SECONDS = 3.0

FIRST, DEADLY, OTHER, SOUND = (key(one) for one in ("first", "deadly", "other", "sound"))


def engine(number):
    return EngineRun(f"engine-{number}", 1)


def convicted(*keys, at=1.0):
    """Return evidence after two crashes at which requests with these parts were starting."""
    evidence = CrashEvidence()
    for number in range(2):
        evidence.record_crash(engine(number), keys, at, begun=True)
    return evidence


def verdict(evidence, *keys, now, in_trial=False):
    return evidence.check(keys, now, in_trial=in_trial).verdict


def test_second_crash_blocks_a_part():
    """Guards against a third engine that a part crashes."""
    evidence = CrashEvidence()
    evidence.record_crash(engine(1), (DEADLY,), 1.0, begun=True)
    assert verdict(evidence, DEADLY, now=1.1) is Verdict.TRIAL
    evidence.record_crash(engine(2), (DEADLY,), 2.0, begun=True)
    check = evidence.check((DEADLY,), 2.1)
    assert check.verdict is Verdict.REFUSE
    assert check.until == 2.0 + BLOCK_SECONDS


def test_one_crash_seen_by_several_gateways_counts_once():
    """Guards against a part that is blocked after a single crash."""
    evidence = CrashEvidence()
    for now in (1.0, 1.01, 1.02):
        evidence.record_crash(engine(1), (DEADLY,), now, begun=True)
    assert verdict(evidence, DEADLY, now=1.1) is Verdict.TRIAL


def test_requests_that_waited_at_the_engine_are_weaker_evidence():
    """Guards against bystanders that are held up or refused."""
    evidence = CrashEvidence()
    evidence.record_crash(engine(1), (SOUND,), 1.0, begun=False)
    assert verdict(evidence, SOUND, now=1.1) is Verdict.PASS
    for number in (2, 3, 4):
        evidence.record_crash(engine(number), (SOUND,), number, begun=False)
    assert verdict(evidence, SOUND, now=4.1) is Verdict.REFUSE


def test_success_clears_a_part():
    """Guards against a block that outlives its reason."""
    evidence = convicted(DEADLY)
    assert evidence.record_success((DEADLY,), 2.0) == (DEADLY,)
    assert verdict(evidence, DEADLY, now=2.1) is Verdict.PASS
    assert evidence.blocked(2.1) == ()


def test_recently_served_part_is_not_held_up():
    """Guards against sound requests that wait because a common part is near a crash."""
    evidence = CrashEvidence()
    evidence.record_success((FIRST,), 0.5)
    for number in range(3):
        evidence.record_crash(engine(number), (FIRST, DEADLY), 1.0, begun=True)
    assert verdict(evidence, FIRST, SOUND, now=1.1) is Verdict.PASS
    assert verdict(evidence, FIRST, DEADLY, now=1.1) is Verdict.REFUSE


def test_part_that_becomes_deadly_after_successes_is_blocked():
    """Guards against a part that crashes engines for as long as its earlier successes count."""
    evidence = CrashEvidence()
    evidence.record_success((FIRST,), 0.5)
    for number in range(4):
        evidence.record_crash(engine(number), (FIRST, key(f"own-{number}")), 1.0, begun=True)
    assert verdict(evidence, FIRST, now=1.1) is Verdict.REFUSE


def test_request_without_a_companion_shows_which_part_is_deadly():
    """Guards against sound requests that share one part of a deadly prompt and are refused."""
    evidence = convicted(FIRST, DEADLY)
    assert verdict(evidence, FIRST, DEADLY, now=1.1) is Verdict.REFUSE
    assert verdict(evidence, FIRST, OTHER, now=1.1) is Verdict.TRIAL
    evidence.start_trial((FIRST,), 1.1)
    assert verdict(evidence, FIRST, SOUND, now=1.2) is Verdict.WAIT
    evidence.record_success((FIRST, OTHER), 1.3)
    assert verdict(evidence, FIRST, SOUND, now=1.4) is Verdict.PASS
    assert verdict(evidence, FIRST, DEADLY, now=1.4) is Verdict.REFUSE


def test_deadly_first_part_is_blocked_whatever_follows():
    """Guards against a deadly part that hides behind ever new other parts."""
    evidence = convicted(DEADLY, OTHER)
    for number, other in ((8, SOUND), (9, key("more"))):
        assert verdict(evidence, DEADLY, other, now=2.0) is Verdict.TRIAL
        evidence.record_crash(engine(number), (DEADLY, other), 2.0, begun=True)
    assert verdict(evidence, DEADLY, key("new"), now=2.1) is Verdict.REFUSE
    assert verdict(evidence, SOUND, now=2.1) is Verdict.PASS
    assert verdict(evidence, OTHER, SOUND, now=2.1) is Verdict.TRIAL


def test_two_deadly_parts_of_one_caller_leave_its_other_requests_alone():
    """Guards against a common part that is blocked for the crashes of two others."""
    evidence = CrashEvidence()
    evidence.record_crash(engine(1), (FIRST, DEADLY), 1.0, begun=True, request="r1")
    evidence.record_crash(engine(2), (FIRST, OTHER), 1.0, begun=True, request="r2")
    assert verdict(evidence, FIRST, SOUND, now=1.1) is Verdict.TRIAL


def test_bystander_of_two_crashes_is_tried_alone():
    """Guards against a sound request that is refused since it was near the same two crashes."""
    evidence = convicted(DEADLY)
    for number in range(2):
        evidence.record_crash(engine(number), (SOUND,), 1.0, begun=True, request="r2")
    assert verdict(evidence, SOUND, now=1.1) is Verdict.TRIAL
    evidence.record_success((SOUND,), 1.2)
    assert verdict(evidence, DEADLY, now=1.3) is Verdict.REFUSE


def test_one_trial_follows_each_block():
    """Guards against a part that stays blocked for good, or is tried by many at once."""
    evidence = convicted(DEADLY)
    after = 1.0 + BLOCK_SECONDS
    assert verdict(evidence, DEADLY, now=after) is Verdict.TRIAL
    evidence.start_trial((DEADLY,), after)
    assert verdict(evidence, DEADLY, now=after + 0.1) is Verdict.REFUSE
    assert verdict(evidence, DEADLY, now=after + 0.1, in_trial=True) is Verdict.TRIAL
    assert verdict(evidence, DEADLY, now=after + TRIAL_SECONDS) is Verdict.TRIAL
    evidence.record_crash(engine(3), (DEADLY,), after + 0.5, begun=True)
    assert evidence.check((DEADLY,), after + 1).until == after + 0.5 + 2 * BLOCK_SECONDS


def test_trial_spares_the_last_sound_engine():
    """Guards against a service without an engine while the first crashed one restarts."""
    evidence = CrashEvidence()
    evidence.record_crash(engine(1), (FIRST, DEADLY), 1.0, begun=True)
    check = evidence.check((FIRST, DEADLY), 2.0)
    assert not evidence.may_try(check, 1, now=2.0)
    assert evidence.may_try(check, 2, now=2.0)
    assert evidence.may_try(check, 1, now=60.0)
    assert evidence.may_try(evidence.check((FIRST, SOUND), 2.0), 1, now=2.0)


def test_evidence_is_forgotten():
    """Guards against memory that grows with the number of parts or crashes."""
    evidence = convicted(DEADLY)
    assert evidence.expire(1.0 + BLOCK_SECONDS + FORGET_SECONDS) == ()
    assert evidence.expire(1.1 + BLOCK_SECONDS + FORGET_SECONDS) == (DEADLY,)
    for number in range(10_000):
        evidence.record_crash(engine(number), (key(f"p{number}"), DEADLY), number, begun=True)
        evidence.record_success((key(f"s{number}"),), number)
    assert len(evidence._suspects) == MAX_SUSPECTS
    assert len(evidence._successes) == MAX_SUCCESSES
    batches = list(part_batches(evidence.main_news(10_000.0)))
    assert sum(len(one.parts) for one in batches) == MAX_MAIN_NEWS
    assert DEADLY in {one.key for batch in batches for one in batch.parts}
    assert max(len(encode(one)) for one in batches) <= MAX_DATAGRAM_BYTES


def test_news_survives_its_encoding():
    """Guards against a gateway that learns less than another knows."""
    evidence = convicted(DEADLY)
    evidence.start_trial((DEADLY,), 21.0)
    (message,) = part_batches(evidence.main_news(21.0))
    other = CrashEvidence()
    for one in decode(encode(message)).parts:
        assert other.merge(one, 51.0)
        assert not other.merge(one, 51.0)
    assert verdict(other, DEADLY, now=51.1) is Verdict.REFUSE
    assert other.check((DEADLY,), 51.1).until == pytest.approx(51.0 + TRIAL_SECONDS)


class Service:
    """Gateways before the engines of one service; requests of several callers, some deadly."""

    STEP_SECONDS = 0.05
    PREFILL_SECONDS = 0.4
    START_SECONDS = 0.1  # from the arrival at an engine to the first event
    DOWN_SECONDS = 3.0
    ATTEMPTS = 2
    LOSS = 0.05  # share of the news that is lost
    CALLERS = 12

    def __init__(self, seed, gateways, engines, deadly, *, rare_partners):
        self.rng = random.Random(seed)
        self.gateways = [CrashEvidence() for _ in range(gateways)]
        self.up_at = dict.fromkeys(range(engines), 0.0)
        self.runs = dict.fromkeys(range(engines), 1)
        self.deadly = set(deadly)
        self.rare_partners = rare_partners  # deadly prompts also have parts that few others have
        self.now = 0.0
        self.steps = []  # time, and what happens then
        self.crashes = []  # time of each crash, and the deadly parts behind it
        self.refused = {}  # sound requests by verdict
        self.served = 0

    def play(self, seconds, rate, deadly_rate):
        """Let requests arrive for a time, and finish all."""
        while self.now < seconds or self.steps:
            if self.now < seconds and self.rng.random() < rate * self.STEP_SECONDS:
                self.arrive(None)
            for one in sorted(self.deadly):
                if self.now < seconds and self.rng.random() < deadly_rate * self.STEP_SECONDS:
                    self.arrive(one)
            due = [one for one in self.steps if one[0] <= self.now]
            self.steps = [one for one in self.steps if one[0] > self.now]
            for _, step, args in due:
                step(*args)
            self.now += self.STEP_SECONDS

    def arrive(self, deadly):
        caller = self.rng.randrange(self.CALLERS)
        parts = [key(f"caller-{caller}")]
        if deadly is not None:
            parts.append(deadly)
        if deadly is None or self.rare_partners:
            parts.append(key(f"topic-{caller}-{self.rng.randrange(40)}"))
        gateway = self.rng.randrange(len(self.gateways))
        self.at(0.0, self.send, gateway, tuple(parts), self.now + 6.0, 0, False)

    def at(self, seconds, step, *args):
        self.steps.append((self.now + seconds, step, args))

    def send(self, gateway, parts, deadline, attempt, in_trial):
        """Check a request's parts, prefill it, check again and send it to an engine."""
        self.check(gateway, parts, deadline, attempt, in_trial, self.prefilled)

    def prefilled(self, gateway, parts, deadline, attempt, in_trial):
        self.at(
            self.PREFILL_SECONDS,
            self.check,
            gateway,
            parts,
            deadline,
            attempt,
            in_trial,
            self.arrive_at_engine,
        )

    def check(self, gateway, parts, deadline, attempt, in_trial, then):
        evidence = self.gateways[gateway]
        found = evidence.check(parts, self.now, in_trial=in_trial)
        up = [one for one, at in self.up_at.items() if at <= self.now]
        if found.verdict is Verdict.REFUSE or self.now > deadline:
            self.end(parts, "refused")
            return
        blocked = found.verdict is Verdict.TRIAL and not evidence.may_try(found, len(up), self.now)
        if blocked or found.verdict is Verdict.WAIT or not up:
            self.at(0.1, self.check, gateway, parts, deadline, attempt, in_trial, then)
            return
        if found.verdict is Verdict.TRIAL and not in_trial:
            evidence.start_trial(found.suspects, self.now)
            self.tell(gateway, found.suspects)
        then(gateway, parts, deadline, attempt, found.verdict is Verdict.TRIAL)

    def arrive_at_engine(self, gateway, parts, deadline, attempt, in_trial):
        up = [one for one, at in self.up_at.items() if at <= self.now]
        chosen = self.rng.choice(up)
        request = (gateway, parts, deadline, attempt, in_trial)
        self.at(self.START_SECONDS, self.begin, chosen, self.runs[chosen], request)

    def begin(self, chosen, run, request):
        """Begin the response, unless the engine has crashed meanwhile."""
        gateway, parts, deadline, attempt, _ = request
        if self.runs[chosen] != run:
            begun = self.rng.random() < 0.2
        elif self.deadly & set(parts):
            self.crash(chosen, *(self.deadly & set(parts)))
            begun = True
        else:
            self.tell(gateway, self.gateways[gateway].record_success(parts, self.now))
            self.served += 1
            return
        crashed = EngineRun(f"engine-{chosen}", run)
        evidence = self.gateways[gateway]
        tag = f"{gateway}-{deadline}"
        self.tell(
            gateway, evidence.record_crash(crashed, parts, self.now, begun=begun, request=tag)
        )
        if attempt + 1 < self.ATTEMPTS:
            self.send(gateway, parts, deadline, attempt + 1, False)
        else:
            self.end(parts, "failed")

    def crash(self, chosen, *deadly):
        self.up_at[chosen] = self.now + self.DOWN_SECONDS
        self.runs[chosen] += 1
        self.crashes.append((self.now, deadly))

    def end(self, parts, outcome):
        if not self.deadly & set(parts):
            self.refused[outcome] = self.refused.get(outcome, 0) + 1

    def tell(self, gateway, keys):
        """Send what a gateway knows about parts to the others."""
        news = [self.gateways[gateway].news(one, self.now) for one in keys]
        for other, evidence in enumerate(self.gateways):
            if other != gateway and self.rng.random() >= self.LOSS:
                for one in news:
                    evidence.merge(one, self.now)

    def restart(self, gateway):
        """Restart a gateway, which then learns from the hello of another one."""
        fresh = CrashEvidence()
        other = self.gateways[(gateway + 1) % len(self.gateways)]
        self.gateways[gateway] = fresh
        for one in other.main_news(self.now):
            fresh.merge(one, self.now)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("gateways", [5, 68])
@pytest.mark.parametrize("rare_partners", [False, True])
def test_several_parts_among_crashes_and_restarts(seed, gateways, rare_partners):
    """Guards against series of crashes, and against sound requests that are refused for them."""
    service = Service(
        seed,
        gateways,
        engines=6,
        deadly=(key("bad-1"), key("bad-2")),
        rare_partners=rare_partners,
    )
    for at in (4.0, 4.1, 11.0):
        service.at(at, lambda: service.crash(service.rng.randrange(6)))
    for at in (6.0, 9.0, 12.0):
        service.at(at, lambda: service.restart(service.rng.randrange(gateways)))
    service.play(22.0, rate=15.0, deadly_rate=1.0)
    for deadly in service.deadly:
        times = [at for at, parts in service.crashes if deadly in parts]
        assert (
            sum(at > times[FREE_CRASHES - 1] + STABLE_SECONDS for at in times[FREE_CRASHES:]) <= 3
        )
    assert service.refused.get("refused", 0) == 0
    assert service.served > 250
