"""Numbers that stand for a configuration's names in the decision module: classes, services, plans.  Pure.

A name keeps its number once it has one, so that open requests keep theirs over any change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from ivymux.routing_config.route_plan import Route, RoutePlan, Tenant
from orchidhill import interface as i

# Cost of a unit beyond the quota.  At this cost, local shares of a quota add up to at most the quota.
OVER_QUOTA_COST = 2.0


@dataclass(slots=True)
class NameTables:
    """The numbers in use, with the classes and plans that they stand for."""

    class_numbers: dict[str, int] = field(default_factory=dict)  # by route
    classes: list[i.RequestClass] = field(default_factory=list)
    plan_numbers: dict[str, int] = field(default_factory=dict)  # by tenant
    customer_numbers: dict[str, int] = field(default_factory=dict)  # by tenant
    plans: list[i.Plan] = field(default_factory=list)
    service_numbers: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        unlimited = i.Plan("", 0.0, 0.0, 0, 1.0, OVER_QUOTA_COST, 0.0, 0.0, 0.0, 0.0)
        self.plans.append(unlimited)

    def update(self, plan: RoutePlan) -> None:
        """Apply a configuration: number its new names, and replace the classes and plans of known names."""
        for route in (route for routes in plan.routes_by_host.values() for route in routes):
            number = self.class_numbers.setdefault(route_key(route), len(self.classes))
            cls = request_class(route)
            if number == len(self.classes):
                self.classes.append(cls)
            else:
                self.classes[number] = cls
        for tenant in plan.tenants.values():
            number = self.plan_numbers.setdefault(tenant.name, len(self.plans))
            self.customer_numbers[tenant.name] = customer_number(tenant.name)
            quota = tenant_plan(tenant)
            if number == len(self.plans):
                self.plans.append(quota)
            else:
                self.plans[number] = quota
        for name in plan.services:
            self.service_number(name)

    def service_number(self, name: str) -> int:
        return self.service_numbers.setdefault(name, len(self.service_numbers))

    def class_number(self, route: Route) -> int:
        return self.class_numbers[route_key(route)]


def customer_number(name: str) -> int:
    """Return the number that identifies a tenant's counts; it is the same at all proxies."""
    return int.from_bytes(blake2b(name.encode(), digest_size=7).digest(), "big") + 1


def route_key(route: Route) -> str:
    return f"{route.host} {route.path_prefix}"


def request_class(route: Route) -> i.RequestClass:
    effect = i.Effect.SAFE if route.is_idempotent else i.Effect.UNSAFE
    return i.RequestClass(
        route_key(route), route.target_latency_s, route.deadline_s, effect, i.Scope.ALL, 0.0, 1.0, 0.2, False
    )


def tenant_plan(tenant: Tenant) -> i.Plan:
    burst = max(1.0, tenant.burst_size)
    return i.Plan(tenant.name, tenant.rate_per_s, burst, 0, 1.0, OVER_QUOTA_COST, 0.0, 0.0, 0.0, 0.0)
