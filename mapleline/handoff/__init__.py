"""Requests in flight on record, and what becomes of them when their ingress is lost (pure, but for `store`)."""

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
