"""One profile for all property tests: how fast a machine draws says nothing of what is tested."""

from hypothesis import HealthCheck, settings

settings.register_profile("any machine", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("any machine")
