"""The one place where configuration is read, checked and given its defaults.

Every message names the key at fault.  A key that is absent or null keeps its default; unknown keys are passed
over, since new ones appear.
"""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

import orjson

from ..policy import interface as i

EFFECTS = {"free": i.Effect.SAFE, "guarded": i.Effect.KEYED, "single_shot": i.Effect.UNSAFE}
SCOPES = {"all": i.Scope.ALL, "zone": i.Scope.ZONE, "cell": i.Scope.CELL}
WEIGHTS = {
    "off": i.WeightKind.NONE,
    "nominal": i.WeightKind.NOMINAL,
    "rough": i.WeightKind.ROUGH,
    "live": i.WeightKind.LIVE,
}
REPORTS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
MOST_NUMBER = 1e18
E = TypeVar("E", bound=Enum)


class ConfigError(Exception):
    """Configuration that cannot be used; the text begins with the faulty key."""


class Section:
    """One JSON object of the configuration, read key by key."""

    def __init__(self, raw: object, at: str, faults: list[ConfigError] | None = None) -> None:
        self.raw: dict[str, Any] = {}
        self._at, self._faults = at, faults
        if isinstance(raw, dict):
            self.raw = raw
        else:
            self._tell(ConfigError(f"{at or 'configuration'}: expected an object, got {_kind(raw)}"))

    def key(self, name: str) -> str:
        return f"{self._at}.{name}" if self._at else name

    def fault(self, name: str, why: str) -> None:
        """What is wrong with a key: raised, or kept where all faults are wanted."""
        self._tell(ConfigError(f"{self.key(name)}: {why}"))

    def _tell(self, fault: ConfigError) -> None:
        if self._faults is None:
            raise fault from None
        self._faults.append(fault)

    def number(self, name: str, default: float = 0.0, least: float = 0.0) -> float:
        value = self.raw.get(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            self.fault(name, f"expected a number, got {_kind(value)}")
            return default
        if not least <= value <= MOST_NUMBER:
            self.fault(name, f"expected {least:g} or more, got {value:g}")
            return default
        return float(value)

    def whole(self, name: str, default: int = 0, least: int = 0) -> int:
        value = self.number(name, default, least)
        if value != int(value):
            self.fault(name, f"expected a whole number, got {value:g}")
            return default
        raw = self.raw.get(name)
        return raw if isinstance(raw, int) else int(value)

    def flag(self, name: str) -> bool:
        value = self.raw.get(name)
        if value is not None and not isinstance(value, bool):
            self.fault(name, f"expected true or false, got {_kind(value)}")
        return bool(value)

    def text(self, name: str, default: str = "") -> str:
        value = self.raw.get(name)
        if value is not None and not isinstance(value, str):
            self.fault(name, f"expected text, got {_kind(value)}")
            return default
        return default if value is None else value

    def word(self, name: str, words: Mapping[str, E], default: str) -> E:
        value = self.text(name, default)
        if value not in words:
            self.fault(name, f"expected one of {', '.join(words)}, got {value!r}")
            return words[default]
        return words[value]

    def section(self, name: str) -> Section:
        value = self.raw.get(name)
        return Section({} if value is None else value, self.key(name), self._faults)

    def items(self, name: str) -> list[Any]:
        value = self.raw.get(name)
        if value is not None and not isinstance(value, list):
            self.fault(name, f"expected a list, got {_kind(value)}")
            return []
        return value or []

    def sections(self, name: str) -> list[Section]:
        items = enumerate(self.items(name))
        return [Section(raw, f"{self.key(name)}[{n}]", self._faults) for n, raw in items]

    def names(self, name: str) -> list[str]:
        values = self.items(name)
        for n, value in enumerate(values):
            if not isinstance(value, str):
                self.fault(f"{name}[{n}]", f"expected text, got {_kind(value)}")
        return [value for value in values if isinstance(value, str)]


def _kind(value: object) -> str:
    return {dict: "an object", list: "a list", str: "text", type(None): "null"}.get(type(value), repr(value))


def _read_class(c: Section) -> i.RequestClass:
    effect = c.word("effect", EFFECTS, "single_shot")
    return i.RequestClass(
        latency_target_ns=c.whole("aim_ns") or c.whole("deadline_ns"),
        deadline_ns=c.whole("deadline_ns"),
        effect=effect,
        # Only keys have a scope: a class without them may name none, or one that is no word here.
        scope=c.word("key_scope", SCOPES, "all") if effect == i.Effect.KEYED else i.Scope.ALL,
        key_ttl_ns=c.whole("key_ttl_ns"),
        late_value=c.number("late_worth"),
        value=c.number("importance", 1.0),
        stream=c.flag("stream"),
    )


def read_settings(raw: object, seed: int, at: str = "", faults: list[ConfigError] | None = None) -> i.Start:
    """The settings object of the simulator and of a real ingress alike."""
    top = Section(raw, at, faults)
    limits, facts, rules = (top.section(name) for name in ("limits", "specifics", "invariants"))
    classes = [_read_class(section) for section in top.sections("classes")]
    plans = [
        i.Plan(
            rate=p.number("refill"),
            burst=p.number("depth"),
            max_in_flight=p.whole("concurrency"),
            ceiling_rate=p.number("cap_rate"),
            ceiling_burst=p.number("ceiling_burst"),
            ceiling_slack=p.number("ceiling_slack"),
            over_quota_value=p.number("excess_worth"),
            over_quota_cost=p.number("excess_cost"),
            value_factor=p.number("value_factor", 1.0),
        )
        for p in top.sections("plans")
    ]
    return i.Start(
        ingress=top.whole("me"),
        ingresses=top.whole("balancers", 1, 1),
        seed=seed,
        zone=top.whole("locality"),
        zones=max(1, len(top.names("zones"))),
        classes=classes,
        plans=plans,
        weight_kind=top.word("weight_kind", WEIGHTS, "off"),
        list_on_request=top.text("membership_mode") == "on_request",
        list_ask_within_ns=rules.whole("ask_within_ns"),
        tick_ns=top.whole("quantum_ns"),
        answer_slack_ns=rules.whole("answer_slack_ns"),
        slow_start_share=rules.number("cold_from"),
        warm_up_ns=rules.whole("warm_up_ns"),
        fall_multiple=rules.number("fall_multiple"),
        fall_window_ns=rules.whole("fall_ns"),
        max_attempts=limits.whole("attempts_cap", 1, 1),
        max_retry_after_ns=limits.whole("max_retry_after_ns"),
        connect_timeout_ns=limits.whole("dial_timeout_ns"),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probing"),
        may_message_peers=limits.flag("peers"),
        peer_messages_per_s=facts.number("mail_per_s"),
        may_hedge=limits.flag("second_copies"),
        may_advise=limits.flag("retry_after"),
        may_count=facts.flag("may_count"),
        corrects_units=facts.flag("settles"),
        marks_retries=top.section("client_habits").flag("marks_retry"),
        max_units=facts.number("largest", 1.0),
        counter_timeout_ns=facts.whole("count_wait_ns"),
        report_fields=tuple(REPORTS.get(name, name) for name in top.section("stats").names("fields")),
    )


ACCEPT_FD = "EDGE_ACCEPT_FD"
Address = tuple[str, int]
NOWHERE: Address = ("", 0)  # stands for an address at fault


def read_address(text: str) -> Address:
    """`host:port`; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


@dataclass(slots=True)
class Config:
    """All that one ingress is told."""

    name: str
    listen: Address
    discovery: Address
    counter: Address
    start: i.Start
    class_names: list[str]
    plan_names: list[str]
    zone_names: list[str]
    kind_names: list[str]
    known: object  #: a server list in discovery's form
    sockets: int
    dial_timeout_s: float
    conn_idle_s: float
    open_cap: int
    management: Address | None = None  #: the operators' door, where there is one
    memory: int = 192_000_000  #: bytes
    accept_fd: int | None = None  #: of an inherited listening socket, used in place of `listen`


def _address(top: Section, name: str, environment: Mapping[str, str]) -> Address:
    address = _address_if_any(top, name, environment)
    if address is None:
        top.fault(name, "missing")
    return address or NOWHERE


def _address_if_any(top: Section, name: str, environment: Mapping[str, str]) -> Address | None:
    text = top.text(name) or environment.get(f"EDGE_{name.upper()}", "")
    if not text:
        return None
    try:
        return read_address(text)
    except ValueError as err:
        top.fault(name, str(err))
        return NOWHERE


def read_config(raw: object, environment: Mapping[str, str], faults: list[ConfigError] | None = None) -> Config:
    """Check the whole configuration; where a key is missing the environment's variable may stand in.

    Raises the first fault, or adds all of them to `faults`: what is returned then is of no other use.
    """
    top = Section(raw, "", faults)
    seed_text = top.text("seed", "0")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        seed = 0
        top.fault("seed", f"expected hex digits, got {seed_text!r}")
    settings = top.section("settings")
    start = read_settings(settings.raw, seed, "settings", faults)
    names = {}
    for key in ("classes", "plans"):
        names[key] = [s.text("name") for s in settings.sections(key)]
        if not names[key]:
            settings.fault(key, "missing or empty")
        for n, name in enumerate(names[key]):
            if not name or names[key].index(name) != n:
                settings.fault(f"{key}[{n}].name", f"missing or used twice: {name!r}")
    for n, cls in enumerate(start.classes):
        if cls.deadline_ns <= 0:
            settings.fault(f"classes[{n}].deadline_ns", "expected more than 0")
    if start.ingress >= start.ingresses:
        settings.fault("me", f"expected less than settings.balancers ({start.ingresses})")
    limits = settings.section("limits")
    return Config(
        name=top.text("name") or environment.get("EDGE_NAME", "ingress"),
        listen=_address(top, "listen", environment),
        discovery=_address(top, "discovery", environment),
        counter=_address(top, "counter", environment),
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
        management=_address_if_any(top, "management", environment),
        accept_fd=_descriptor(environment, faults),
    )


def _descriptor(environment: Mapping[str, str], faults: list[ConfigError] | None) -> int | None:
    """`EDGE_ACCEPT_FD`, which stands in no file: it tells of this one process."""
    text = environment.get(ACCEPT_FD, "")
    if not text:
        return None
    if text.isascii() and text.isdigit():
        return int(text)
    Section({}, "", faults).fault(ACCEPT_FD, f"expected a descriptor's number, got {text!r}")
    return None


def read_file(path: str) -> object:
    """The JSON of a file."""
    try:
        with open(path, "rb") as file:
            return orjson.loads(file.read())
    except OSError as err:
        raise ConfigError(f"EDGE_CONFIG: {err.strerror or err}: {path}") from None
    except ValueError as err:
        raise ConfigError(f"EDGE_CONFIG: not JSON: {err}") from None


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that `EDGE_CONFIG` names."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    return read_config(read_file(path), environment)
