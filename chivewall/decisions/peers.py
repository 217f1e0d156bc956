"""Keeps the gateways that one gateway shares its work with."""

import random

from attrs import define, field

SILENCE_SECONDS = 6.0  # after which a gateway is taken to be gone
HELLO_SECONDS = 2.0  # between datagrams that only say that the sender lives
HOSTS_IN_HELLO = 8
# A gateway shares with at most this many others; at more gateways the shares overlap and
# each endpoint's load is known in part.
MAX_PEERS = 40


@define
class PeerTable:
    """Gateways by host, with when they were last heard."""

    own: str
    seeds: frozenset[str]
    _heard: dict[str, float] = field(factory=dict, init=False)
    _named: dict[str, float] = field(factory=dict, init=False)  # by others, not heard yet

    def heard(self, host: str, hosts: tuple[str, ...], now: float) -> None:
        """Take in a datagram and the gateways that it names."""
        self._heard[host] = now
        self._named.pop(host, None)
        for one in hosts:
            if one != self.own and one not in self._heard:
                self._named.setdefault(one, now)

    def targets(self, now: float) -> list[str]:
        """Return the live gateways that get this one's work."""
        self._expire(now)
        return sorted(self._heard)[:MAX_PEERS]

    def live(self, now: float) -> int:
        """Return how many other gateways are live."""
        self._expire(now)
        return len(self._heard)

    def greeted(self, now: float) -> list[str]:
        """Return the gateways that get a hello: live ones, named ones and seeds."""
        self._expire(now)
        found = set(self._heard) | set(self._named) | self.seeds
        return sorted(found - {self.own})[: 2 * MAX_PEERS]

    def named(self, rng: random.Random, now: float) -> tuple[str, ...]:
        """Return some live gateways to name in a hello."""
        hosts = self.targets(now)
        return tuple(rng.sample(hosts, min(HOSTS_IN_HELLO, len(hosts))))

    def comes_first(self, now: float) -> bool:
        """Return whether this gateway comes first among the live ones."""
        return self.own <= min(self.targets(now), default=self.own)

    def _expire(self, now: float) -> None:
        for table in (self._heard, self._named):
            for host in [one for one, at in table.items() if now - at > SILENCE_SECONDS]:
                del table[host]
