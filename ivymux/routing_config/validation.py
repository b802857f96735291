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
    document = route_plan.decode_document(text)
    plan = route_plan.compile_document(document)
    check_unused_service_names(document)
    try:
        from_dict(route_plan.Document, msgspec.json.decode(text))
    except SerdeError as error:
        raise RoutingConfigError(f"the configuration: {' '.join(str(error).split())}") from None
    return plan


def check_unused_service_names(document: route_plan.Document) -> None:
    """Check the service names that routes give beside a split, which replaces them.

    Proxies do not check them: they apply what earlier releases have acknowledged.  Raises
    RoutingConfigError.
    """
    services = {entry.name for entry in document.service_table}
    for number, route in enumerate(document.route_table):
        if route.service_name is not None and route.service_name not in services:
            raise RoutingConfigError(
                f"route_table[{number}].service_name: service {route.service_name!r} is not in"
                " service_table; leave it out, as weighted_split replaces it"
            )
