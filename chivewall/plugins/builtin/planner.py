"""Plans the roles and models of a data centre's endpoints while it holds the lease.

Any entry may hold the lease; no instance is reserved for planning.
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

CHECK_INTERVAL_SECONDS = 1.0  # mean interval of checks of the lease and the plan


@frozen
class PlannerSettings:
    """Settings of the lease."""

    lease_seconds: float = field(
        default=LEASE_SECONDS,
        validator=validators.gt(0),
        metadata={"help": "Duration of the lease, in seconds."},
    )


@frozen
class Placement:
    """A change of one endpoint's desired state, with its reason."""

    endpoint: str
    desired: DesiredState
    reason: str


class PlacementPolicy(Protocol):
    """Policy that decides which endpoint of a data centre changes next."""

    def propose(self, members: tuple[Member, ...], plan: Plan, now: float) -> Placement | None:
        """Return the next change, or ``None`` if none is needed."""


class StaticPlacement:
    """Implements ``PlacementPolicy``: changes nothing."""

    def propose(self, members: tuple[Member, ...], plan: Plan, now: float) -> Placement | None:
        """Return ``None``: no change is needed."""
        return None


class Planner(Task):
    """Task that owns this process's view of the lease and writes the plan while it holds it."""

    def __init__(self, env: Environment, policy: PlacementPolicy, lease_seconds: float) -> None:
        super().__init__()
        self.env = env
        self.policy = policy
        self.store = env.require(ObjectStore)
        self.directory = env.require(Directory)
        self.data_centre = env.settings.core.data_centre
        self.key = plan_key(self.data_centre)
        # Not from ``env.random``: a seeded generator repeats its values after a restart.
        token = uuid.uuid4().hex
        candidate = Candidate(token=token, name=env.settings.core.instance)
        self.record = LeaseRecord(candidate=candidate, term_seconds=lease_seconds)
        self.lease = Lease(self.record)
        self.watcher = ObjectWatcher(env, self.store, self.key, self.inbox)

    def start(self) -> None:
        """Start watching the plan and competing for the lease."""
        super().start()
        self.watcher.start()
        self._schedule_tick()

    async def on_stop(self) -> None:
        """Stop watching the plan; a lease held expires at its deadline."""
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
        self._schedule_tick()

    async def _plan(self) -> None:
        members = await self.directory.query(ListMembers())
        local = tuple(one for one in members if one.instance.data_centre == self.data_centre)
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
        if self.lease.may_act(self.env.now):  # the process may have been paused since the check
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
            self._record_write(plan, version, started_at)

    async def _read_back(self, written: Plan, started_at: float) -> None:
        """Read the plan to learn whether a write without a success response took effect."""
        try:
            stored = await self.store.get(self.key)
            found = decode_plan(stored.value)
        except (StoreError, PlanError) as exc:
            self.env.log.emit(Event.STORE_UNAVAILABLE, key=self.key, error=str(exc))
            return
        if found == written:
            self._record_write(found, stored.version, started_at)
        else:
            self._observe(stored.value, stored.version)

    def _record_write(self, plan: Plan, version: int, started_at: float) -> None:
        if not self._is_holder(self.record.plan):
            self.env.log.emit(Event.LEASE_TAKEN, data_centre=self.data_centre, fence=plan.fence)
        self.lease.write_accepted(plan, version, started_at)

    def _observe(self, value: bytes, version: int) -> None:
        if version <= self.record.version:
            return
        try:
            plan = decode_plan(value)
        except PlanError as exc:
            self.env.log.emit(Event.PLAN_REJECTED, error=str(exc))
            return
        held = self._is_holder(self.record.plan)
        self.lease.observe(plan, version, self.env.now)
        if not self._is_holder(plan):
            if held:
                self.env.log.emit(
                    Event.LEASE_LOST, data_centre=self.data_centre, to=plan.holder_name
                )
            self.lease.lost()

    def _is_holder(self, plan: Plan | None) -> bool:
        """Return whether the plan names this process as lease holder, even if the lease expired."""
        return plan is not None and plan.holder == self.record.candidate.token

    def _schedule_tick(self) -> None:
        delay = CHECK_INTERVAL_SECONDS * self.env.random.uniform(0.5, 1.5)
        self.env.clock.callLater(delay, self.send, Tick())


class PlannerPlugin(Plugin):
    """Provides the ``Planner``."""

    name = "planner"
    settings_type = PlannerSettings

    async def setup(self) -> None:
        """Provide the task to later plug-ins."""
        policy = self.env.find(PlacementPolicy) or StaticPlacement()
        self.planner = Planner(self.env, policy, self.cfg.lease_seconds)
        self.env.provide(Planner, self.planner)

    async def start(self) -> None:
        """Start watching the plan and competing for the lease."""
        self.planner.start()

    async def stop(self) -> None:
        """Stop watching the plan."""
        await self.planner.stop()


def register(registry: Registry) -> None:
    """Register the plug-in."""
    registry.add(PlannerPlugin)
