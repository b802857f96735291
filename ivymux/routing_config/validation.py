"""Validation of the users' configuration on core machines, by msgspec and by pyserde.  Pure.

Both have to accept a configuration, so that none is stored that a proxy can't use.  Importing this module
takes 0.4 s: import it only after the process has started.
"""

from __future__ import annotations

import msgspec
from serde import SerdeError, from_dict, serde

from ivymux.routing_config import route_plan
from ivymux.routing_config.route_plan import RoutePlan, RoutingConfigError

for _document_class in (
    route_plan.Split,
    route_plan.RouteEntry,
    route_plan.ServiceEntry,
    route_plan.TenantEntry,
    route_plan.LimitsEntry,
    route_plan.Document,
):
    serde(_document_class)


def parse_route_plan(text: bytes) -> RoutePlan:
    """Decode and compile a configuration's text.  Raises RoutingConfigError."""
    plan = route_plan.parse_route_plan(text)
    try:
        from_dict(route_plan.Document, msgspec.json.decode(text))
    except SerdeError as error:
        raise RoutingConfigError(f"the configuration: {' '.join(str(error).split())}") from None
    return plan
