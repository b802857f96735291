"""Routes, request classes and costs from an OpenAPI description.  Pure: no clock, no sockets, no files."""
