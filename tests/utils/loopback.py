"""An entry and an agent that run in the asyncio loop of a test and talk over loopback sockets."""

import asyncio
import random

from attrs import define, field
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer

from bench.fakes import EngineEndpoint
from bench.site import QuietLog
from chivewall.configuration import default_configuration
from chivewall.environment import Environment
from chivewall.interfaces import Endpoint, Instance, InstanceKind, ObjectStore
from chivewall.kernel import Application
from chivewall.plugins.builtin.configuration import seed_configuration
from chivewall.plugins.builtin.gate import AgentServerPlugin
from chivewall.settings import CoreSettings, Role, Settings
from chivewall.standins.engine import EngineSpeed
from chivewall.standins.objects import MemoryStore

AGENT_PLUGINS = ("credentials", "configuration", "admission", "gate")
ENTRY_PLUGINS = ("credentials", "configuration", "links_grpc", "directory", "dispatch")
CREDENTIALS = {"disabled": True}
CHUNK_BYTES = 65536


@define(eq=False)
class LoopTimer:
    """Timer of an asyncio loop, with those methods of ``IDelayedCall`` that tasks use."""

    handle: asyncio.TimerHandle | None = None
    called: bool = False

    def active(self):
        return not self.called and not self.handle.cancelled()

    def cancel(self):
        self.handle.cancel()


@implementer(IReactorTime)
class LoopClock:
    """Twisted clock that takes the time and timers of the running asyncio loop."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()

    def seconds(self):
        return self.loop.time()

    def callLater(self, delay, function, *args):  # noqa: N802 - name of the interface
        call = LoopTimer()

        def fire():
            call.called = True
            function(*args)

        call.handle = self.loop.call_later(delay, fire)
        return call


class Relay:
    """TCP relay that can silence all connections open at that time."""

    def __init__(self, port):
        self.port = port
        self.accepted_count = 0
        self.silenced_count = 0  # connections up to this number forward no more bytes
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def silence(self):
        self.silenced_count = self.accepted_count

    def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _accept(self, reader, writer):
        self.accepted_count += 1
        number = self.accepted_count
        upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers += [writer, upstream_writer]
        await asyncio.gather(
            self._pump(number, reader, upstream_writer), self._pump(number, upstream_reader, writer)
        )

    async def _pump(self, number, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if number > self.silenced_count:
                    writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()


@define(eq=False, slots=False)
class LoopbackSite:
    """One entry and one agent with a slow engine, connected by a relay."""

    clock: LoopClock = field(factory=LoopClock)
    apps: list = field(factory=list)
    log: QuietLog = field(factory=QuietLog)

    async def start(self):
        self.store = MemoryStore(clock=self.clock)
        seed_configuration(self.store, default_configuration())
        speed = EngineSpeed(step_seconds=0.05)
        self.engine = EngineEndpoint(clock=self.clock, targets=("m",), speed=speed)
        agent = await self._start(
            "engine-1", Role.AGENT, AGENT_PLUGINS, {"admission": {"endpoint": "engine-1"}}
        )
        self.relay = Relay(agent.find(AgentServerPlugin).port)
        self.instance = Instance(
            name="engine-1",
            kind=InstanceKind.ENGINE,
            data_centre="Mombasa",
            host="127.0.0.1",
            port=await self.relay.start(),
            targets=("m",),
        )
        self.store.instance_list = (self.instance,)
        self.entry = await self._start("entry-1", Role.ENTRY, ENTRY_PLUGINS, {})
        return self

    async def stop(self):
        while self.apps:
            await self._await(self.apps.pop().stop())
        self.relay.stop()

    async def wait_until(self, condition):
        """Wait until a condition holds, and check it after every log event."""
        changed = asyncio.Event()
        self.log.subscribe(lambda *_: self.clock.callLater(0, changed.set))
        while not condition():
            await changed.wait()
            changed.clear()

    async def _start(self, name, role, plugins, sections):
        core = CoreSettings(role=role, instance=name, data_centre="Mombasa", plugins=plugins)
        env = Environment(
            settings=Settings(core=core, sections={"credentials": CREDENTIALS, **sections}),
            clock=self.clock,
            random=random.Random(name),
            log=self.log,
        )
        env.provide(ObjectStore, self.store)
        env.provide(Endpoint, self.engine if role is Role.AGENT else None)
        app = Application(env)
        await self._await(app.start())
        self.apps.append(app)
        return app

    async def _await(self, coroutine):
        await ensureDeferred(coroutine).asFuture(asyncio.get_running_loop())
