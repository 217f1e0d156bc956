"""Tracks the other gateways with which a gateway shares records of the work it sent."""

import random

from attrs import define, field

PEER_TIMEOUT_SECONDS = 6.0  # a gateway that sent nothing for this long is removed
HELLO_INTERVAL_SECONDS = 2.0  # between hello datagrams, which only show that the sender is live
ADDRESSES_IN_HELLO = 8  # other gateways named in a hello
# A gateway sends its records to at most this many others; in a larger system, each gateway
# knows only part of an endpoint's load.
MAX_PEERS = 40


@define
class PeerTable:
    """Other gateways by address, with the time of their last datagram."""

    own_address: str  # address of this gateway
    seeds: frozenset[str]  # addresses from the settings
    _last_heard: dict[str, float] = field(factory=dict, init=False)  # time of the last datagram
    # Gateways that others named and that have sent nothing yet, with the time of the naming.
    _named: dict[str, float] = field(factory=dict, init=False)

    def record_datagram(self, address: str, named: tuple[str, ...], now: float) -> None:
        """Record a datagram and the gateways that it names."""
        self._last_heard[address] = now
        self._named.pop(address, None)
        for one in named:
            if one != self.own_address and one not in self._last_heard:
                self._named.setdefault(one, now)

    def sharing_targets(self, now: float) -> list[str]:
        """Return the live gateways to which this one sends its records."""
        self._expire(now)
        return sorted(self._last_heard)[:MAX_PEERS]

    def live_count(self, now: float) -> int:
        """Return the number of other live gateways."""
        self._expire(now)
        return len(self._last_heard)

    def hello_targets(self, now: float) -> list[str]:
        """Return the gateways to send a hello to: live ones, named ones and seeds."""
        self._expire(now)
        found = set(self._last_heard) | set(self._named) | self.seeds
        return sorted(found - {self.own_address})[: 2 * MAX_PEERS]

    def sample_addresses(self, rng: random.Random, now: float) -> tuple[str, ...]:
        """Return a random sample of live gateways to name in a hello."""
        addresses = self.sharing_targets(now)
        return tuple(rng.sample(addresses, min(ADDRESSES_IN_HELLO, len(addresses))))

    def has_lowest_address(self, now: float) -> bool:
        """Return whether this gateway has the lowest address of the live ones."""
        return self.own_address <= min(self.sharing_targets(now), default=self.own_address)

    def _expire(self, now: float) -> None:
        for table in (self._last_heard, self._named):
            for address in [one for one, at in table.items() if now - at > PEER_TIMEOUT_SECONDS]:
                del table[address]
