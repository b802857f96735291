"""The operators' calls about trials, declared; the first one loads trial_service.py, which runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ivymux.data_plane.frontend import Answer
from ivymux.transport.http_calls import Asked, declare

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

    @declare("PUT", "/trials/{}")
    async def put_trial(self, asked: Asked) -> Answer:
        return await self.trials().put(asked)

    @declare("DELETE", "/trials/{}")
    async def end_trial(self, asked: Asked) -> Answer:
        return await self.trials().end(asked)

    @declare("GET", "/trials")
    async def list_trials(self, asked: Asked) -> Answer:
        return await self.trials().list()

    @declare("GET", "/trials/{}")
    async def get_trial(self, asked: Asked) -> Answer:
        return await self.trials().get(asked.name)
