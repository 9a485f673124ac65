"""Forwarded messages: the request sent to a server, and the response headers sent to the client."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...http1 import write_chunk

if TYPE_CHECKING:
    from ...http1 import Response
    from .request_context import RequestContext

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that apply to one connection or its framing (RFC 9110 sections 7.6.1 and 10.1.1): never forwarded."""

REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {b"authorization", b"tenant", b"deadline-ms", b"expect-instance", b"host"}
"""Request headers that the proxy removes or replaces."""

BODYLESS_METHODS = (b"GET", b"HEAD")


def build_request(context: RequestContext, instance_id: str, time_left_s: float) -> bytes:
    """Return the request for a server: the head, and the buffered part of the body."""
    request = context.request
    host = request.headers.get(b"host", b"")
    lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (request.method, request.target, host)]
    lines += [b"%b: %b\r\n" % item for item in request.headers.items() if item[0] not in REPLACED_HEADERS]
    deadline_ms = max(1, time_left_s * 1000)
    lines.append(b"Deadline-Ms: %d\r\nExpect-Instance: %b\r\n" % (deadline_ms, instance_id.encode()))
    if context.admitted.tenant_id:
        lines.append(b"Tenant: %b\r\n" % context.admitted.tenant_id.encode())
    framing, body = _frame_body(context)
    lines.append(framing)
    return b"%b\r\n%b" % (b"".join(lines), body)


def _frame_body(context: RequestContext) -> tuple[bytes, bytes]:
    """Return the header line for the body's length or framing, and the buffered part of the body."""
    request, upload = context.request, context.upload
    length = len(request.body) if upload is None else upload.length
    if length is None:
        return b"Transfer-Encoding: chunked\r\n", write_chunk(request.body)
    if not request.body and request.method in BODYLESS_METHODS:
        return b"", b""
    return b"Content-Length: %d\r\n" % length, request.body


def response_header_lines(response: Response) -> bytes:
    """Return the response's header lines that are forwarded to the client."""
    return b"".join(b"%b: %b\r\n" % item for item in response.headers.items() if item[0] not in HOP_BY_HOP_HEADERS)
