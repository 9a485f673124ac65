"""Records of requests in flight, and their takeover if their ingress fails (pure, except `store` and the log file)."""

from .in_flight import InFlightRequest, InFlightTable, Op, TakeoverAction
from .log_format import LogFormatError, encode_record, log_header, read_log

__all__ = [
    "InFlightRequest",
    "InFlightTable",
    "LogFormatError",
    "Op",
    "TakeoverAction",
    "encode_record",
    "log_header",
    "read_log",
]
