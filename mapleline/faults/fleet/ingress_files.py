"""The files of an ingress: the platform's configuration (JSON) and its own settings (HCL)."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson

from ...settings import own
from ..addresses import loopback_address


class IngressFiles:
    """Writes the files of a fleet's ingresses, beside their logs."""

    def __init__(self, directory: Path, program_settings: own.ProgramSettings) -> None:
        """Initialise with the schedule's `program_settings`, which apply to every ingress."""
        self._directory = directory
        self._program_settings = program_settings

    @property
    def store(self) -> Path:
        """The directory of the fleet's records for takeovers."""
        return self._directory / self._program_settings.handoff.dir

    def config_file(self, ingress: str) -> Path:
        """Return the path of the platform's configuration of an ingress."""
        return self._directory / f"{ingress}.config.json"

    def write_config(self, ingress: str, config: dict[str, Any]) -> None:
        """Write the platform's configuration of an ingress."""
        self.config_file(ingress).write_bytes(orjson.dumps(config))

    def set_counter(self, ingress: str, port: int) -> None:
        """Change the counter's address in the platform's configuration of an ingress."""
        config = orjson.loads(self.config_file(ingress).read_bytes())
        self.write_config(ingress, {**config, "counter": loopback_address(port)})

    def needs_settings(self) -> bool:
        """Return whether the ingresses need a settings file; without one they run with the defaults."""
        return self._program_settings.budgets.enabled or self._program_settings.handoff.enabled

    def write_settings(self, ingress: str, clock_offset_s: float = 0.0) -> Path:
        """Write the settings of an ingress, with its clock `clock_offset_s` seconds ahead; return the path."""
        settings = self._program_settings
        settings = replace(
            settings,
            log=replace(settings.log, form="json"),
            budgets=replace(settings.budgets, clock_offset_s=clock_offset_s),
            handoff=replace(settings.handoff, dir=str(self.store)),
        )
        file = self._directory / f"{ingress}.hcl"
        file.write_text(own.write(settings))
        return file
