"""Tracks the other gateways, and chooses with which of them a gateway exchanges datagrams.

Small systems exchange hellos all to all. In larger ones a gateway sends its hellos to a random
sample, and each hello says of other gateways how long ago they were known to be live (gossip of
ages, as in the gossip-style failure detection of van Renesse et al.), so that the cost of a
gateway doesn't grow with their number.
"""

import random
from hashlib import blake2b

from attrs import define, field

# Interval between hello datagrams, which show that the sender is live and name other gateways.
HELLO_INTERVAL_SECONDS = 2.0
HELLO_FANOUT = 16  # gateways that get a hello in each interval
# Gateways that send their first datagram are answered by a hello, at most this many in an
# interval: a gateway that starts knows the seeds only.
MAX_GREETINGS = 32
# A gateway of which nothing is known for this long is removed. In a larger system, news of it
# passes through others and is a few intervals old.
PEER_TIMEOUT_SECONDS = 6.0
GOSSIP_TIMEOUT_SECONDS = 12.0
ADDRESSES_IN_HELLO = 40  # other gateways named in a hello, with the age of the news of them
# Gateways that fell silent are remembered for this long: they may live behind a partition.
REMEMBERED_SECONDS = 60.0
# Another gateway may still name one that has ended: its news is under way, and ages are rounded.
LEFT_MARGIN_SECONDS = 1.0
# A gateway sends its records to at most this many others. In a larger system, each gateway
# estimates an endpoint's load from a part of it.
MAX_PEERS = 40


def record_weight(gateways: int) -> float:
    """Return for how many requests a record of another gateway stands.

    Of many gateways each gets the records of ``MAX_PEERS`` others, which stand for all others.
    """
    return max(1.0, (gateways - 1) / MAX_PEERS)


@define
class PeerTable:
    """Other gateways by address, with the latest time at which each was known to be live."""

    own_address: str  # address of this gateway
    seeds: frozenset[str]  # addresses from the settings
    _live_at: dict[str, float] = field(factory=dict, init=False)
    _namings: dict[str, int] = field(factory=dict, init=False)  # how often each was named
    _silent_since: dict[str, float] = field(factory=dict, init=False)
    _left_at: dict[str, float] = field(factory=dict, init=False)  # gateways that said so
    _newcomers: set[str] = field(factory=set, init=False)  # gateways to be answered by a hello

    def record_datagram(
        self, address: str, known: tuple[tuple[str, float], ...], now: float
    ) -> None:
        """Record a datagram, and the ages in seconds of what its sender knows of others."""
        if address not in self._live_at:
            self._newcomers.add(address)
        self._live_at[address] = now
        self._left_at.pop(address, None)
        for one, age in known:
            if one != self.own_address and 0 <= age < GOSSIP_TIMEOUT_SECONDS:
                self._record_named(one, now - age)

    def _record_named(self, address: str, live_at: float) -> None:
        left_at = self._left_at.get(address)
        if left_at is None or live_at > left_at + LEFT_MARGIN_SECONDS:
            self._live_at[address] = max(self._live_at.get(address, live_at), live_at)

    def record_left(self, address: str, now: float) -> None:
        """Record that a gateway said that it ends; others may still name it for a while."""
        self._live_at.pop(address, None)
        self._silent_since.pop(address, None)
        self._left_at = {
            one: at for one, at in self._left_at.items() if now - at < GOSSIP_TIMEOUT_SECONDS
        }
        self._left_at[address] = now

    def is_known(self, address: str) -> bool:
        """Return whether a gateway was known to be live before."""
        return address in self._live_at

    def sharing_targets(self, now: float) -> list[str]:
        """Return the live gateways to which this one sends its records.

        Of many gateways each takes others by a hash of both addresses, so that each of them gets
        the records of about as many others.
        """
        live = self._live(now)
        if len(live) <= MAX_PEERS:
            return live
        return sorted(live, key=self._pair_hash)[:MAX_PEERS]

    def live_gateways(self, now: float) -> tuple[str, ...]:
        """Return the addresses of the live gateways, including this one."""
        return (self.own_address, *self._live(now))

    def remembered_count(self, now: float) -> int:
        """Return the number of gateways that are live or fell silent not long ago."""
        live = self._live(now)
        self._silent_since = {
            one: at
            for one, at in self._silent_since.items()
            if now - at < REMEMBERED_SECONDS and one not in self._live_at
        }
        return 1 + len(live) + len(self._silent_since)

    def live_count(self, now: float) -> int:
        """Return the number of other live gateways."""
        return len(self._live(now))

    def hello_targets(self, rng: random.Random, now: float) -> list[str]:
        """Return the gateways to send a hello to: live ones, a sample of many, and the seeds."""
        live = self._live(now)
        chosen = set(live if len(live) <= HELLO_FANOUT else rng.sample(live, HELLO_FANOUT))
        self._newcomers &= set(live)
        newcomers = sorted(self._newcomers)
        greeted = rng.sample(newcomers, min(MAX_GREETINGS, len(newcomers)))
        self._newcomers -= chosen.union(greeted)
        chosen.update(greeted)
        return sorted((chosen | self.seeds) - {self.own_address})

    def known_ages(self, rng: random.Random, now: float) -> tuple[tuple[str, float], ...]:
        """Return the live gateways to name in a hello, with their ages.

        Those that were named least often come first, so that news of a new one spreads fast.
        """
        live = sorted(self._live(now), key=lambda one: (self._namings.get(one, 0), rng.random()))
        chosen = live[:ADDRESSES_IN_HELLO]
        self._namings = {one: self._namings.get(one, 0) + (one in chosen) for one in live}
        return tuple((one, now - self._live_at[one]) for one in chosen)

    def has_lowest_address(self, now: float) -> bool:
        """Return whether this gateway has the lowest address of the live ones."""
        return self.own_address <= min(self._live(now), default=self.own_address)

    def _live(self, now: float) -> list[str]:
        timeout = (
            PEER_TIMEOUT_SECONDS if len(self._live_at) <= HELLO_FANOUT else GOSSIP_TIMEOUT_SECONDS
        )
        for address in [one for one, at in self._live_at.items() if now - at > timeout]:
            del self._live_at[address]
            self._silent_since[address] = now
        return sorted(self._live_at)

    def _pair_hash(self, address: str) -> bytes:
        pair = "|".join(sorted((self.own_address, address)))
        return blake2b(pair.encode(), digest_size=8).digest()
