"""Reads the platform's configuration, checks it and applies defaults.

Every error message names the faulty key.  A key that is absent or null keeps its default.  Unknown keys are
ignored, since the platform adds new ones.
"""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

import orjson

from ..policy import interface

EFFECTS = {"free": interface.Effect.SAFE, "guarded": interface.Effect.KEYED, "single_shot": interface.Effect.UNSAFE}
SCOPES = {"all": interface.Scope.ALL, "zone": interface.Scope.ZONE, "cell": interface.Scope.CELL}
WEIGHT_KINDS = {
    "off": interface.WeightKind.NONE,
    "nominal": interface.WeightKind.NOMINAL,
    "rough": interface.WeightKind.ROUGH,
    "live": interface.WeightKind.LIVE,
}
#: Maps the names that report fields have in the settings to those in the decision module.
REPORT_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
MAX_NUMBER = 1e18
E = TypeVar("E", bound=Enum)


class ConfigError(Exception):
    """Raised for invalid configuration; the message begins with the faulty key."""


class Section:
    """A JSON object of the configuration, with one reader for each type of value.

    A reader returns the default for a key that is absent, null or invalid.  Errors are raised, or added to the
    list `errors` if there is one.
    """

    def __init__(self, raw: object, path: str, errors: list[ConfigError] | None = None) -> None:
        self.raw: dict[str, Any] = {}
        self._path, self._errors = path, errors
        if isinstance(raw, dict):
            self.raw = raw
        else:
            self._add_error(ConfigError(f"{path or 'configuration'}: expected an object, got {_describe_type(raw)}"))

    def key(self, name: str) -> str:
        """Return the dotted path of a key."""
        return f"{self._path}.{name}" if self._path else name

    def report_error(self, name: str, reason: str) -> None:
        """Raise an error of a key, or add it to the list of errors."""
        self._add_error(ConfigError(f"{self.key(name)}: {reason}"))

    def _add_error(self, error: ConfigError) -> None:
        if self._errors is None:
            raise error from None
        self._errors.append(error)

    def number(self, name: str, default: float = 0.0, minimum: float = 0.0) -> float:
        """Return a finite number between `minimum` and `MAX_NUMBER`."""
        value = self.raw.get(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            self.report_error(name, f"expected a number, got {_describe_type(value)}")
            return default
        if not minimum <= value <= MAX_NUMBER:
            self.report_error(name, f"expected {minimum:g} or more, got {value:g}")
            return default
        return float(value)

    def whole(self, name: str, default: int = 0, minimum: int = 0) -> int:
        """Return an integer between `minimum` and `MAX_NUMBER`."""
        value = self.number(name, default, minimum)
        if value != int(value):
            self.report_error(name, f"expected a whole number, got {value:g}")
            return default
        raw = self.raw.get(name)
        return raw if isinstance(raw, int) else int(value)

    def flag(self, name: str) -> bool:
        """Return a boolean; the default is False."""
        value = self.raw.get(name)
        if value is not None and not isinstance(value, bool):
            self.report_error(name, f"expected true or false, got {_describe_type(value)}")
        return bool(value)

    def text(self, name: str, default: str = "") -> str:
        """Return a string."""
        value = self.raw.get(name)
        if value is not None and not isinstance(value, str):
            self.report_error(name, f"expected text, got {_describe_type(value)}")
            return default
        return default if value is None else value

    def choice(self, name: str, choices: Mapping[str, E], default: str) -> E:
        """Return the member of `choices` that a string names."""
        value = self.text(name, default)
        if value not in choices:
            self.report_error(name, f"expected one of {', '.join(choices)}, got {value!r}")
            return choices[default]
        return choices[value]

    def section(self, name: str) -> Section:
        """Return an object; an absent one is empty."""
        value = self.raw.get(name)
        return Section({} if value is None else value, self.key(name), self._errors)

    def items(self, name: str) -> list[Any]:
        """Return a list; an absent one is empty."""
        value = self.raw.get(name)
        if value is not None and not isinstance(value, list):
            self.report_error(name, f"expected a list, got {_describe_type(value)}")
            return []
        return value or []

    def sections(self, name: str) -> list[Section]:
        """Return a list of objects."""
        items = enumerate(self.items(name))
        return [Section(raw, f"{self.key(name)}[{index}]", self._errors) for index, raw in items]

    def names(self, name: str) -> list[str]:
        """Return a list of strings; other elements are reported and left out."""
        values = self.items(name)
        for index, value in enumerate(values):
            if not isinstance(value, str):
                self.report_error(f"{name}[{index}]", f"expected text, got {_describe_type(value)}")
        return [value for value in values if isinstance(value, str)]


def _describe_type(value: object) -> str:
    return {dict: "an object", list: "a list", str: "text", type(None): "null"}.get(type(value), repr(value))


def _read_class(section: Section) -> interface.RequestClass:
    effect = section.choice("effect", EFFECTS, "single_shot")
    return interface.RequestClass(
        latency_target_ns=section.whole("aim_ns") or section.whole("deadline_ns"),
        deadline_ns=section.whole("deadline_ns"),
        effect=effect,
        # Only keyed requests have a scope.  For other classes the key is ignored, so that an unknown scope is no error.
        scope=section.choice("key_scope", SCOPES, "all") if effect == interface.Effect.KEYED else interface.Scope.ALL,
        key_ttl_ns=section.whole("key_ttl_ns"),
        late_value=section.number("late_worth"),
        value=section.number("importance", 1.0),
        stream=section.flag("stream"),
    )


def read_settings(raw: object, seed: int, path: str = "", errors: list[ConfigError] | None = None) -> interface.Start:
    """Read the `settings` object, which the simulator and a real ingress share."""
    top = Section(raw, path, errors)
    limits, specifics, invariants = (top.section(name) for name in ("limits", "specifics", "invariants"))
    classes = [_read_class(section) for section in top.sections("classes")]
    plans = [
        interface.Plan(
            rate=plan.number("refill"),
            burst=plan.number("depth"),
            max_in_flight=plan.whole("concurrency"),
            ceiling_rate=plan.number("cap_rate"),
            ceiling_burst=plan.number("ceiling_burst"),
            ceiling_slack=plan.number("ceiling_slack"),
            over_quota_value=plan.number("excess_worth"),
            over_quota_cost=plan.number("excess_cost"),
            value_factor=plan.number("value_factor", 1.0),
        )
        for plan in top.sections("plans")
    ]
    return interface.Start(
        ingress=top.whole("me"),
        ingresses=top.whole("balancers", 1, 1),
        seed=seed,
        zone=top.whole("locality"),
        zones=max(1, len(top.names("zones"))),
        classes=classes,
        plans=plans,
        weight_kind=top.choice("weight_kind", WEIGHT_KINDS, "off"),
        list_on_request=top.text("membership_mode") == "on_request",
        list_ask_within_ns=invariants.whole("ask_within_ns"),
        tick_ns=top.whole("quantum_ns"),
        answer_slack_ns=invariants.whole("answer_slack_ns"),
        slow_start_share=invariants.number("cold_from"),
        warm_up_ns=invariants.whole("warm_up_ns"),
        fall_multiple=invariants.number("fall_multiple"),
        fall_window_ns=invariants.whole("fall_ns"),
        max_attempts=limits.whole("attempts_cap", 1, 1),
        max_retry_after_ns=limits.whole("max_retry_after_ns"),
        connect_timeout_ns=limits.whole("dial_timeout_ns"),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probing"),
        may_message_peers=limits.flag("peers"),
        peer_messages_per_s=specifics.number("mail_per_s"),
        may_hedge=limits.flag("second_copies"),
        may_advise=limits.flag("retry_after"),
        may_count=specifics.flag("may_count"),
        corrects_units=specifics.flag("settles"),
        marks_retries=top.section("client_habits").flag("marks_retry"),
        max_units=specifics.number("largest", 1.0),
        counter_timeout_ns=specifics.whole("count_wait_ns"),
        report_fields=tuple(REPORT_FIELDS.get(name, name) for name in top.section("stats").names("fields")),
    )


ACCEPT_FD = "EDGE_ACCEPT_FD"
Address = tuple[str, int]
INVALID_ADDRESS: Address = ("", 0)  # replaces an invalid address after its error is recorded


def read_address(text: str) -> Address:
    """Parse `host:port`.

    Raises:
        ValueError: for any other text, or a port above 65535.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


@dataclass(slots=True)
class Config:
    """The checked configuration of one ingress."""

    name: str
    listen: Address
    discovery: Address
    counter: Address
    start: interface.Start
    class_names: list[str]
    plan_names: list[str]
    zone_names: list[str]
    kind_names: list[str]
    known: object  #: a server list in discovery's form
    sockets: int
    dial_timeout_s: float
    conn_idle_s: float
    open_cap: int
    management: Address | None = None  #: address of the management interface, if configured
    memory: int = 192_000_000  #: bytes
    accept_fd: int | None = None  #: descriptor of an inherited listening socket, used instead of `listen`


def _required_address(top: Section, name: str, environment: Mapping[str, str]) -> Address:
    address = _optional_address(top, name, environment)
    if address is None:
        top.report_error(name, "missing")
    return address or INVALID_ADDRESS


def _optional_address(top: Section, name: str, environment: Mapping[str, str]) -> Address | None:
    text = top.text(name) or environment.get(f"EDGE_{name.upper()}", "")
    if not text:
        return None
    try:
        return read_address(text)
    except ValueError as error:
        top.report_error(name, str(error))
        return INVALID_ADDRESS


def read_config(raw: object, environment: Mapping[str, str], errors: list[ConfigError] | None = None) -> Config:
    """Check the whole configuration; environment variables replace missing addresses and a missing name.

    Args:
        raw: the decoded JSON.
        environment: environment variables.
        errors: if given, all errors are added to it, and the result is meaningless if there are any.

    Raises:
        ConfigError: the first error, if `errors` is None.
    """
    top = Section(raw, "", errors)
    seed_text = top.text("seed", "0")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        seed = 0
        top.report_error("seed", f"expected hex digits, got {seed_text!r}")
    settings = top.section("settings")
    start = read_settings(settings.raw, seed, "settings", errors)
    names = {}
    for key in ("classes", "plans"):
        names[key] = [section.text("name") for section in settings.sections(key)]
        if not names[key]:
            settings.report_error(key, "missing or empty")
        for index, name in enumerate(names[key]):
            if not name or names[key].index(name) != index:
                settings.report_error(f"{key}[{index}].name", f"missing or used twice: {name!r}")
    for index, cls in enumerate(start.classes):
        if cls.deadline_ns <= 0:
            settings.report_error(f"classes[{index}].deadline_ns", "expected more than 0")
    if start.ingress >= start.ingresses:
        settings.report_error("me", f"expected less than settings.balancers ({start.ingresses})")
    limits = settings.section("limits")
    return Config(
        name=top.text("name") or environment.get("EDGE_NAME", "ingress"),
        listen=_required_address(top, "listen", environment),
        discovery=_required_address(top, "discovery", environment),
        counter=_required_address(top, "counter", environment),
        start=start,
        class_names=names["classes"],
        plan_names=names["plans"],
        zone_names=settings.names("zones"),
        kind_names=settings.names("kinds"),
        known=top.raw.get("known") or {"rev": 0, "all": True, "targets": []},
        sockets=top.section("limits").whole("sockets", 1024, 128),
        memory=int(top.section("limits").number("memory_mb", 192, 16) * 1e6),
        dial_timeout_s=limits.whole("dial_timeout_ns", 250_000_000, 1) / 1e9,
        conn_idle_s=limits.whole("conn_idle_ns", 30_000_000_000, 1) / 1e9,
        open_cap=limits.whole("open_cap", 30_000, 1),
        management=_optional_address(top, "management", environment),
        accept_fd=_read_accept_fd(environment, errors),
    )


def _read_accept_fd(environment: Mapping[str, str], errors: list[ConfigError] | None) -> int | None:
    """Read `EDGE_ACCEPT_FD`; it is only an environment variable, since it concerns a single process."""
    text = environment.get(ACCEPT_FD, "")
    if not text:
        return None
    if text.isascii() and text.isdigit():
        return int(text)
    Section({}, "", errors).report_error(ACCEPT_FD, f"expected a descriptor's number, got {text!r}")
    return None


def read_file(path: str) -> object:
    """Return the decoded JSON of a file.

    Raises:
        ConfigError: if the file cannot be read or is not JSON.
    """
    try:
        with open(path, "rb") as file:
            return orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {error.strerror or error}: {path}") from None
    except ValueError as error:
        raise ConfigError(f"EDGE_CONFIG: not JSON: {error}") from None


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read and check the file that `EDGE_CONFIG` names.

    Raises:
        ConfigError: if the variable is not set or the configuration is invalid.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    return read_config(read_file(path), environment)
