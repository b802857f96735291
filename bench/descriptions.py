"""Generates API descriptions of any size from a seed, similar in structure to large public ones."""

from __future__ import annotations

import json
import random
from typing import Any

NAMES = [
    "meetings",
    "minutes",
    "recordings",
    "drafts",
    "members",
    "groups",
    "rooms",
    "agendas",
    "motions",
    "votes",
    "councils",
    "boards",
    "notes",
    "transcripts",
    "speakers",
    "actions",
    "documents",
    "archives",
    "exports",
    "calendars",
    "invites",
    "notices",
    "forms",
    "reports",
]


def large_description(operations: int, schema_bytes: int = 0, seed: int = 1) -> dict[str, Any]:
    """A description of about `operations` operations, each with at least `schema_bytes` of schemas."""
    rng = random.Random(seed)
    paths: dict[str, Any] = {}
    schemas: dict[str, Any] = {}
    count = 0
    while count < operations:
        depth = rng.randint(1, 4)
        path = f"/{rng.choice(NAMES)}{count // 40}"
        for level in range(depth):
            path += f"/{{{NAMES[level]}_id}}/{rng.choice(NAMES)}"
        item = paths.setdefault(path, {})
        free_methods = [method for method in ("get", "post", "put", "delete") if method not in item]
        if not free_methods:
            continue
        for method in free_methods[: rng.randint(1, 2)]:
            name = f"Shape{count}"
            schemas[name] = make_schema(rng, schema_bytes)
            parameters = [
                {"name": f"{NAMES[level]}_id", "in": "path", "required": True, "schema": {"type": "string"}}
                for level in range(depth)
            ]
            item[method] = {
                "operationId": f"{method}{count}",
                "parameters": parameters,
                "responses": {
                    "200": {
                        "description": "done",
                        "content": {"application/json": {"schema": {"$ref": f"#/components/schemas/{name}"}}},
                    }
                },
            }
            count += 1
    return {
        "openapi": "3.0.3",
        "info": {"title": "A large service", "version": "1"},
        "paths": paths,
        "components": {"schemas": schemas},
    }


def make_schema(rng: random.Random, schema_bytes: int) -> dict[str, Any]:
    properties: dict[str, Any] = {}
    size = 0
    while size < schema_bytes:
        name = f"{rng.choice(NAMES)}_{len(properties)}"
        properties[name] = {
            "type": "object",
            "description": " ".join(rng.choices(NAMES, k=8)),
            "properties": {
                property_name: {
                    "type": "string",
                    "description": " ".join(rng.choices(NAMES, k=6)),
                    "nullable": True,
                }
                for property_name in rng.sample(NAMES, 6)
            },
        }
        size += len(json.dumps(properties[name]))
    return {"type": "object", "properties": properties}


def large_description_text(operations: int, schema_bytes: int = 0, seed: int = 1) -> bytes:
    return json.dumps(large_description(operations, schema_bytes, seed)).encode()
