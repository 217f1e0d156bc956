"""Finds the route of a request and the service that gets it."""

import random

from attrs import define, field

from chivewall.gateway.routing_configuration import Route, RoutingConfiguration


@define
class RouteTable:
    """Routes of one routing configuration by host, longest path prefix first.

    Example: ``table.match("desk.example:80", "/book/7")``.
    """

    configuration: RoutingConfiguration
    _by_host: dict[str, list[Route]] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        for route in self.configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda one: len(one.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or ``None``."""
        for route in self._by_host.get(host_name(host), []):
            if path.startswith(route.path_prefix):
                return route
        return None


def host_name(host: str) -> str:
    """Return the host name in a Host header, in lower case and without the port."""
    name, _, port = host.strip().rpartition(":")
    return (name if name and port.isdigit() else host.strip()).lower()


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose a random service by the weights of the route."""
    weights = [max(0.0, one.weight) for one in route.services]
    if len(route.services) == 1 or sum(weights) <= 0:
        return route.services[0].service
    return rng.choices(route.services, weights)[0].service
