"""Tracks the other gateways with which a gateway shares records of the work it sent."""

import random

from attrs import define, field

SILENCE_SECONDS = 6.0  # a gateway that sent nothing for this long is removed
HELLO_SECONDS = 2.0  # between hello datagrams, which only show that the sender is live
HOSTS_IN_HELLO = 8  # other gateways named in a hello
# A gateway sends its records to at most this many others; in a larger system, each gateway
# knows only part of an endpoint's load.
MAX_PEERS = 40


@define
class PeerTable:
    """Other gateways by address, with the time of their last datagram."""

    own: str  # address of this gateway
    seeds: frozenset[str]  # addresses from the settings
    _heard: dict[str, float] = field(factory=dict, init=False)  # time of the last datagram
    # Gateways that others named and that have sent nothing yet, with the time of the naming.
    _named: dict[str, float] = field(factory=dict, init=False)

    def heard(self, host: str, hosts: tuple[str, ...], now: float) -> None:
        """Record a datagram and the gateways that it names."""
        self._heard[host] = now
        self._named.pop(host, None)
        for one in hosts:
            if one != self.own and one not in self._heard:
                self._named.setdefault(one, now)

    def targets(self, now: float) -> list[str]:
        """Return the live gateways to which this one sends its records."""
        self._expire(now)
        return sorted(self._heard)[:MAX_PEERS]

    def live(self, now: float) -> int:
        """Return the number of other live gateways."""
        self._expire(now)
        return len(self._heard)

    def greeted(self, now: float) -> list[str]:
        """Return the gateways to send a hello to: live ones, named ones and seeds."""
        self._expire(now)
        found = set(self._heard) | set(self._named) | self.seeds
        return sorted(found - {self.own})[: 2 * MAX_PEERS]

    def named(self, rng: random.Random, now: float) -> tuple[str, ...]:
        """Return a random sample of live gateways to name in a hello."""
        hosts = self.targets(now)
        return tuple(rng.sample(hosts, min(HOSTS_IN_HELLO, len(hosts))))

    def comes_first(self, now: float) -> bool:
        """Return whether this gateway has the lowest address of the live ones."""
        return self.own <= min(self.targets(now), default=self.own)

    def _expire(self, now: float) -> None:
        for table in (self._heard, self._named):
            for host in [one for one, at in table.items() if now - at > SILENCE_SECONDS]:
                del table[host]
