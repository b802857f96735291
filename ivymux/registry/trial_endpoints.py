"""The operators' calls about trials, declared; the first one loads trial_service.py, which runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ivymux.data_plane.frontend import Answer
from ivymux.transport.http_calls import HttpRequest, endpoint

if TYPE_CHECKING:
    from ivymux.registry.trial_service import Trials


class TrialCalls:
    longest_trial: float  # seconds
    intercepts: Trials | None = None

    def trials(self) -> Trials:
        if self.intercepts is None:
            from ivymux.registry.trial_service import Trials

            registry: Any = self
            self.intercepts = Trials(registry, self.longest_trial)
        return self.intercepts

    @endpoint("PUT", "/trials/{}")
    async def put_trial(self, request: HttpRequest) -> Answer:
        return await self.trials().put(request)

    @endpoint("DELETE", "/trials/{}")
    async def end_trial(self, request: HttpRequest) -> Answer:
        return await self.trials().end(request)

    @endpoint("GET", "/trials")
    async def list_trials(self, request: HttpRequest) -> Answer:
        return await self.trials().list()

    @endpoint("GET", "/trials/{}")
    async def get_trial(self, request: HttpRequest) -> Answer:
        return await self.trials().get(request.name)
