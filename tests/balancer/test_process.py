"""A process must notice changes of its settings file, and survive a reload signal while it starts."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mapleline.balancer import process
from mapleline.balancer.cli.trial.layout import settings_text
from mapleline.balancer.settings import SettingsError


class TestSettingsFile(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.conf"
        self.path.write_text(settings_text("z1", Path("/data"), is_initial=True))
        variables = mock.patch.dict(os.environ, {process.SETTINGS_VARIABLE: str(self.path)})
        variables.start()
        self.addCleanup(variables.stop)
        self.file = process.SettingsFile()

    def test_it_is_parsed_again_only_if_its_text_has_changed(self):
        settings = self.file.load()
        self.path.write_text(self.path.read_text())
        self.assertIs(self.file.load(), settings)
        self.path.write_text(settings_text("z2", Path("/data"), is_initial=True))
        self.assertEqual((settings.node_name, self.file.load().node_name), ("try-z1", "try-z2"))

    def test_an_invalid_text_raises_until_it_is_corrected(self):
        text = self.path.read_text()
        settings = self.file.load()
        self.path.write_text("node_name=")
        for _ in range(2):
            with self.assertRaises(SettingsError):
                self.file.load()
        self.path.write_text(text)
        self.assertIs(self.file.load(), settings)

    def test_without_the_variable_the_error_names_it(self):
        del os.environ[process.SETTINGS_VARIABLE]
        with self.assertRaisesRegex(SettingsError, "MAPLELINE_CONFIG: not set"):
            self.file.load()


class TestStart(unittest.TestCase):
    def test_a_reload_signal_does_not_end_a_process_that_is_starting(self):
        program = (
            "import signal, mapleline.__main__ as program, mapleline.balancer.process as process\n"
            "process.main = lambda: print(int(signal.getsignal(signal.SIGHUP)))\n"
            "program._serve_balancer()"
        )
        output = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True).stdout
        self.assertEqual(output, f"{int(signal.SIG_IGN)}\n")
