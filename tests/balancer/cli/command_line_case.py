"""Base class of test cases that run the command line against stand-ins."""

import io
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from mapleline.balancer.cli.commands import main
from mapleline.balancer.cli.trial.sample_configuration import sample_configuration
from tests.balancer.cli.stand_in import ControlStandIn


class CommandLineCase(unittest.TestCase):
    """Provides a file with a configuration of version 7."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "config.json"
        self.file.write_bytes(sample_configuration(7))

    def start_stand_in(self, **answers):
        """Start a stand-in; each argument gives the answer for a path, with underscores for its slashes."""
        stand_in = ControlStandIn({"/" + name.replace("_", "/"): answer for name, answer in answers.items()})
        self.addCleanup(stand_in.server_close)
        self.addCleanup(stand_in.shutdown)
        return stand_in

    def run_main(self, *arguments):
        """Run a command; return its exit status and output, which for a fault is one line of standard error."""
        output, errors = io.StringIO(), io.StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            status = main(list(arguments))
        if status == 1:
            self.assertEqual(errors.getvalue().count("\n"), 1, errors.getvalue())
            return status, errors.getvalue()
        self.assertEqual(errors.getvalue(), "")
        return status, output.getvalue()
