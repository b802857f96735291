"""The operators' endpoints about trials.  Their first use imports trial_service.py, which serves them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ivymux.data_plane.frontend import Answer
from ivymux.transport.http_calls import HttpRequest, endpoint

if TYPE_CHECKING:
    from ivymux.registry.trial_service import TrialService


class TrialEndpoints:
    """The part of `Registry` that declares these endpoints, as a base class."""

    max_trial_s: float
    loaded_trial_service: TrialService | None = None

    def trial_service(self) -> TrialService:
        """The service, imported and created on first use."""
        if self.loaded_trial_service is None:
            from ivymux.registry.trial_service import TrialService

            registry: Any = self
            self.loaded_trial_service = TrialService(registry, self.max_trial_s)
        return self.loaded_trial_service

    @endpoint("PUT", "/trials/{}")
    async def put_trial(self, request: HttpRequest) -> Answer:
        return await self.trial_service().handle_put(request)

    @endpoint("DELETE", "/trials/{}")
    async def end_trial(self, request: HttpRequest) -> Answer:
        return await self.trial_service().handle_end(request)

    @endpoint("GET", "/trials")
    async def list_trials(self, request: HttpRequest) -> Answer:
        return await self.trial_service().handle_list()

    @endpoint("GET", "/trials/{}")
    async def get_trial(self, request: HttpRequest) -> Answer:
        return await self.trial_service().handle_get(request.name)
