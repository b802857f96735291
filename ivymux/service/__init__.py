"""The gateway of `ivymux serve`: one site, set up from a site file and an OpenAPI description."""
