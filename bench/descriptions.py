"""Descriptions of any size, made from a seed: what large public ones look like, by shape and weight."""

from __future__ import annotations

import json
import random
from typing import Any

WORDS = [
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


def large_description(operations: int, weight: int = 0, seed: int = 1) -> dict[str, Any]:
    """A description with about so many operations; `weight` is the bytes of schemas beside each."""
    rng = random.Random(seed)
    paths: dict[str, Any] = {}
    schemas: dict[str, Any] = {}
    made = 0
    while made < operations:
        depth = rng.randint(1, 4)
        path = f"/{rng.choice(WORDS)}{made // 40}"
        for level in range(depth):
            path += f"/{{{WORDS[level]}_id}}/{rng.choice(WORDS)}"
        item = paths.setdefault(path, {})
        free = [m for m in ("get", "post", "put", "delete") if m not in item]
        if not free:
            continue
        for method in free[: rng.randint(1, 2)]:
            name = f"Shape{made}"
            schemas[name] = shape(rng, weight)
            parameters = [
                {"name": f"{WORDS[level]}_id", "in": "path", "required": True, "schema": {"type": "string"}}
                for level in range(depth)
            ]
            item[method] = {
                "operationId": f"{method}{made}",
                "parameters": parameters,
                "responses": {
                    "200": {
                        "description": "done",
                        "content": {"application/json": {"schema": {"$ref": f"#/components/schemas/{name}"}}},
                    }
                },
            }
            made += 1
    return {
        "openapi": "3.0.3",
        "info": {"title": "A large service", "version": "1"},
        "paths": paths,
        "components": {"schemas": schemas},
    }


def shape(rng: random.Random, weight: int) -> dict[str, Any]:
    properties: dict[str, Any] = {}
    size = 0
    while size < weight:
        name = f"{rng.choice(WORDS)}_{len(properties)}"
        properties[name] = {
            "type": "object",
            "description": " ".join(rng.choices(WORDS, k=8)),
            "properties": {
                word: {"type": "string", "description": " ".join(rng.choices(WORDS, k=6)), "nullable": True}
                for word in rng.sample(WORDS, 6)
            },
        }
        size += len(json.dumps(properties[name]))
    return {"type": "object", "properties": properties}


def large_description_text(operations: int, weight: int = 0, seed: int = 1) -> bytes:
    return json.dumps(large_description(operations, weight, seed)).encode()
