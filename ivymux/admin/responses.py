"""HTTP responses of the administration API: results, and errors as problem details (RFC 9457)."""

from __future__ import annotations

from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from ivymux.admin.authorization import ApiError
from ivymux.admin.model import Result

PROBLEM_MEDIA_TYPE = "application/problem+json"
TITLES = {400: "The call can't be read", 401: "No key that counts", 403: "Not allowed", 404: "Not there",
          405: "No such method here", 409: "It does not fit what is there", 412: "Changed meanwhile",
          413: "Too large", 415: "Another media type is wanted", 422: "It can't be taken",
          428: "If-Match is wanted", 429: "Too many calls", 500: "The program failed",
          503: "The store can't be used now", 507: "The store has no room"}  # fmt: skip


def problem_response(error: ApiError) -> Response:
    """Return an error as problem details (RFC 9457)."""
    title = TITLES.get(error.status, "Error")
    body = {
        "type": "about:blank",
        "title": title,
        "status": error.status,
        "detail": error.detail,
    } | error.more
    return JSONResponse(
        body, error.status, {**error.headers, "Cache-Control": "no-store"}, PROBLEM_MEDIA_TYPE
    )


def to_response(result: Result) -> Response:
    """Return the HTTP response for an operation's result."""
    headers = {"Cache-Control": "no-store"}
    if result.etag:
        headers["ETag"] = result.etag
    if result.in_effect is not None:
        headers["Ivymux-In-Effect"] = str(result.in_effect).lower()
    if result.repeated:
        headers["Idempotency-Replayed"] = "true"
    if result.status == 204 and result.in_effect is False:
        return JSONResponse({"detail": "kept, and not yet served by all front doors"}, 202, headers)
    if result.status == 204:
        return Response(status_code=204, headers=headers)
    return JSONResponse(result.body, result.status, headers)


async def on_http_exception(request: Request, error: Exception) -> Response:
    """Answer errors of the framework with problem details too."""
    assert isinstance(error, HTTPException)
    detail = "there is no such resource" if error.status_code == 404 else str(error.detail)
    return problem_response(ApiError(error.status_code, detail, dict(error.headers or {})))


async def on_failure(request: Request, error: Exception) -> Response:
    return problem_response(ApiError(500, "the program failed; its log says more"))


def rate_limit_error(wait_s: float) -> ApiError:
    """Return the ApiError for a call beyond the rate limit, which may be repeated after `wait_s`."""
    return ApiError(429, "too many calls", {"Retry-After": str(max(1, int(wait_s + 1)))})
