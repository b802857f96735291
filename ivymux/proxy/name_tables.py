"""Numbers for the names of a configuration, as the module knows them: classes, services, plans.  Pure.

A number once given to a name stays with it: requests that are open keep theirs over any change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from ivymux.routing_config.route_plan import Route, RoutePlan, Tenant
from orchidhill import interface as i

OVER_COST = 2.0  # shares of doors that cannot reach a holder add up to the quota


@dataclass(slots=True)
class NameTables:
    routes: dict[str, int] = field(default_factory=dict)
    classes: list[i.RequestClass] = field(default_factory=list)
    tenants: dict[str, int] = field(default_factory=dict)
    customers: dict[str, int] = field(default_factory=dict)
    plans: list[i.Plan] = field(default_factory=list)
    services: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.plans.append(i.Plan("", 0.0, 0.0, 0, 1.0, OVER_COST, 0.0, 0.0, 0.0, 0.0))  # without a limit

    def enter(self, plan: RoutePlan) -> None:
        """Take in a configuration: names that are new get numbers, what others say is brought up to date."""
        for route in (r for rs in plan.routes_by_host.values() for r in rs):
            number = self.routes.setdefault(key(route), len(self.classes))
            cls = request_class(route)
            if number == len(self.classes):
                self.classes.append(cls)
            else:
                self.classes[number] = cls
        for tenant in plan.tenants.values():
            number = self.tenants.setdefault(tenant.name, len(self.plans))
            self.customers[tenant.name] = customer_number(tenant.name)
            made = tenant_plan(tenant)
            if number == len(self.plans):
                self.plans.append(made)
            else:
                self.plans[number] = made
        for name in plan.services:
            self.service(name)

    def service(self, name: str) -> int:
        return self.services.setdefault(name, len(self.services))

    def cls(self, route: Route) -> int:
        return self.routes[key(route)]


def customer_number(name: str) -> int:
    """A tenant's number, the same at every door; its counts go by it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=7).digest(), "big") + 1


def key(route: Route) -> str:
    return f"{route.host} {route.path_prefix}"


def request_class(route: Route) -> i.RequestClass:
    effect = i.Effect.SAFE if route.is_idempotent else i.Effect.UNSAFE
    return i.RequestClass(
        key(route), route.target_latency_s, route.deadline_s, effect, i.Scope.ALL, 0.0, 1.0, 0.2, False
    )


def tenant_plan(tenant: Tenant) -> i.Plan:
    burst = max(1.0, tenant.burst_size)
    return i.Plan(tenant.name, tenant.rate_per_s, burst, 0, 1.0, OVER_COST, 0.0, 0.0, 0.0, 0.0)
