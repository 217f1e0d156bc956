"""The planner of a data centre: holds the lease and decides roles and models.

Any entry may hold the lease; none is set aside for control.
"""

import uuid
from functools import singledispatchmethod
from typing import Protocol

from attrs import field, frozen, validators

from chivewall.decisions.leases import LEASE_SECONDS, Candidate, Lease, LeaseRecord
from chivewall.decisions.membership import Member
from chivewall.environment import Environment
from chivewall.errors import PlanError, StoreError, VersionConflictError
from chivewall.events import Event
from chivewall.interfaces import ObjectStore
from chivewall.messages import Tick
from chivewall.plan import DesiredState, Plan, decode_plan, encode_plan, plan_key
from chivewall.plugins.base import Plugin
from chivewall.plugins.builtin.directory import Directory, ListMembers
from chivewall.plugins.registry import Registry
from chivewall.task import Task
from chivewall.watch import ObjectChanged, ObjectWatcher

TICK_SECONDS = 1.0


@frozen
class PlannerSettings:
    """How long a lease lasts."""

    lease_seconds: float = field(
        default=LEASE_SECONDS,
        validator=validators.gt(0),
        metadata={"help": "Term of the lease, in seconds."},
    )


@frozen
class Placement:
    """A change of one endpoint, with its reason."""

    endpoint: str
    desired: DesiredState
    reason: str


class PlacementPolicy(Protocol):
    """Decides the next change of a data centre's endpoints."""

    def propose(self, members: tuple[Member, ...], plan: Plan, now: float) -> Placement | None:
        """Return the next change, or ``None`` if all is as it should be."""


class KeepPlacement:
    """A policy that changes nothing."""

    def propose(self, members: tuple[Member, ...], plan: Plan, now: float) -> Placement | None:
        """See ``PlacementPolicy.propose``."""
        return None


class Planner(Task):
    """Owns this process's view of the lease and writes the plan while it holds it."""

    def __init__(self, env: Environment, policy: PlacementPolicy, lease_seconds: float) -> None:
        super().__init__()
        self.env = env
        self.policy = policy
        self.store = env.require(ObjectStore)
        self.directory = env.require(Directory)
        self.home = env.settings.core.data_centre
        self.key = plan_key(self.home)
        token = uuid.uuid4().hex  # a seeded source would repeat it after a restart
        candidate = Candidate(token=token, name=env.settings.core.instance)
        self.record = LeaseRecord(candidate=candidate, term_seconds=lease_seconds)
        self.lease = Lease(self.record)
        self.watcher = ObjectWatcher(env, self.store, self.key, self.inbox)

    def start(self) -> None:
        """Begin to follow the plan."""
        super().start()
        self.watcher.start()
        self._tick_later()

    async def on_stop(self) -> None:
        """Stop following the plan; the lease lapses by its deadline."""
        await self.watcher.stop()

    @singledispatchmethod
    async def receive(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(f"unexpected message {message!r}")

    @receive.register
    async def _(self, message: ObjectChanged) -> None:
        self._observe(message.stored.value, message.stored.version)

    @receive.register
    async def _(self, message: Tick) -> None:
        proposal = self.lease.plan_to_write(self.env.now, self.env.unix_time())
        if proposal is not None:
            await self._write(proposal)
        elif self.lease.may_act(self.env.now):
            await self._plan()
        self._tick_later()

    async def _plan(self) -> None:
        members = await self.directory.ask(ListMembers())
        local = tuple(one for one in members if one.instance.data_centre == self.home)
        plan = self.record.plan
        placement = self.policy.propose(local, plan, self.env.now)
        if placement is None:
            return
        self.env.log.emit(
            Event.PLACEMENT_DECIDED,
            endpoint=placement.endpoint,
            role=placement.desired.role.value,
            targets=list(placement.desired.targets),
            fence=plan.fence,
            reason=placement.reason,
        )
        if self.lease.may_act(self.env.now):  # the process may have been paused since
            await self._write(plan.with_desired(placement.endpoint, placement.desired))

    async def _write(self, plan: Plan) -> None:
        started_at = self.env.now
        value = encode_plan(plan)
        try:
            if self.record.plan is None:
                version = await self.store.create(self.key, value)
            else:
                version = await self.store.update(self.key, value, self.record.version)
        except VersionConflictError:
            await self._read_back(plan, started_at)
        except StoreError as exc:
            self.env.log.emit(Event.STORE_UNAVAILABLE, key=self.key, error=str(exc))
            await self._read_back(plan, started_at)
        else:
            self._wrote(plan, version, started_at)

    async def _read_back(self, written: Plan, started_at: float) -> None:
        """Learn what a write did whose response was lost or refused."""
        try:
            stored = await self.store.get(self.key)
            found = decode_plan(stored.value)
        except (StoreError, PlanError) as exc:
            self.env.log.emit(Event.STORE_UNAVAILABLE, key=self.key, error=str(exc))
            return
        if found == written:
            self._wrote(found, stored.version, started_at)
        else:
            self._observe(stored.value, stored.version)

    def _wrote(self, plan: Plan, version: int, started_at: float) -> None:
        if not self._holds(self.record.plan):
            self.env.log.emit(Event.LEASE_TAKEN, data_centre=self.home, fence=plan.fence)
        self.lease.write_accepted(plan, version, started_at)

    def _observe(self, value: bytes, version: int) -> None:
        if version <= self.record.version:
            return
        try:
            plan = decode_plan(value)
        except PlanError as exc:
            self.env.log.emit(Event.PLAN_REJECTED, error=str(exc))
            return
        held = self._holds(self.record.plan)
        self.lease.observe(plan, version, self.env.now)
        if not self._holds(plan):
            if held:
                self.env.log.emit(Event.LEASE_LOST, data_centre=self.home, to=plan.holder_name)
            self.lease.lost()

    def _holds(self, plan: Plan | None) -> bool:
        """Return whether this version of the plan names this process, even if it has lapsed."""
        return plan is not None and plan.holder == self.record.candidate.token

    def _tick_later(self) -> None:
        delay = TICK_SECONDS * self.env.random.uniform(0.5, 1.5)
        self.env.clock.callLater(delay, self.tell, Tick())


class PlannerPlugin(Plugin):
    """Offers the ``Planner``."""

    name = "planner"
    settings_type = PlannerSettings

    async def setup(self) -> None:
        """Offer the task."""
        policy = self.env.find(PlacementPolicy) or KeepPlacement()
        self.planner = Planner(self.env, policy, self.cfg.lease_seconds)
        self.env.provide(Planner, self.planner)

    async def start(self) -> None:
        """Begin to follow the plan."""
        self.planner.start()

    async def stop(self) -> None:
        """Stop following the plan."""
        await self.planner.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PlannerPlugin)
