"""The users' configuration as the core takes it: read by pyserde besides, before the plan is made.  Pure.

A configuration has to pass both readers, so that none is taken that a door then cannot use.  This module
costs 0.4 s to import: whoever needs it imports it when the start is over.
"""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.routing_config import route_plan
from ivymux.routing_config.route_plan import Plan, PlanError

for _part in (
    route_plan.Split,
    route_plan.RouteEntry,
    route_plan.ServiceEntry,
    route_plan.TenantEntry,
    route_plan.LimitsEntry,
    route_plan.Document,
):
    serde(_part)


def plan_of(text: bytes) -> Plan:
    """The plan of a configuration's text.  Raises PlanError."""
    made = route_plan.plan_of(text)
    try:
        from_dict(route_plan.Document, msgspec.json.decode(text))
    except SerdeError as error:
        raise PlanError(f"the configuration: {' '.join(str(error).split())}") from None
    return made
