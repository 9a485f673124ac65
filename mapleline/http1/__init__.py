"""HTTP/1.1 (RFC 9112) without sockets: message readers and writers, connection state machines and buffers.

This module exports the package's public names, except those of `translator`, which only a real ingress needs.
"""

from .buffers import BUFFER_SIZE, BufferPool, ByteQueue
from .client import ClientConnection
from .errors import ProtocolError, RejectedRequestError, RemoteProtocolError
from .head_reader import MAX_HEAD_BYTES
from .headers import TOKEN, Headers
from .message_reader import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from .messages import Request, Response
from .request_reader import RequestReader
from .response_reader import ResponseReader
from .server import ServerConnection
from .upload import Upload
from .writer import LAST_CHUNK, write_chunk, write_head, write_request, write_response

__all__ = [
    "BUFFER_SIZE",
    "LAST_CHUNK",
    "MAX_BODY_BYTES",
    "MAX_BUFFERED_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "TOKEN",
    "BufferPool",
    "ByteQueue",
    "ClientConnection",
    "Headers",
    "ProtocolError",
    "RejectedRequestError",
    "RemoteProtocolError",
    "Request",
    "RequestReader",
    "Response",
    "ResponseReader",
    "ServerConnection",
    "Upload",
    "write_chunk",
    "write_head",
    "write_request",
    "write_response",
]
