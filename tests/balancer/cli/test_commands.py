"""The command line: output must be exact, and faults must give status 1 and one line on standard error."""

import os
from unittest import mock

from mapleline.balancer import process
from mapleline.balancer.cli.trial.sample_configuration import sample_configuration
from tests.balancer.cli.command_line_case import CommandLineCase


class TestCommands(CommandLineCase):
    def test_config_read_prints_the_configuration_byte_for_byte(self):
        address = self.start_stand_in(config_read=(200, self.file.read_bytes())).address
        self.assertEqual(self.run_main("config", "read", "--at", address), (0, self.file.read_text()))

    def test_config_put_does_not_send_an_invalid_configuration(self):
        ingress = self.start_stand_in(config_replace=(200, b"{}"))
        self.file.write_bytes(sample_configuration(7)[:-9])
        self.assertEqual(self.run_main("config", "put", str(self.file), "--at", ingress.address)[0], 1)
        self.assertEqual(ingress.requests, [])

    def test_archive_commands_on_an_empty_folder_and_config_check_of_a_missing_file(self):
        folder = self.file.parent
        for arguments in (
            ("archive", "check", str(folder)),
            ("archive", "dump", str(folder)),
            ("archive", "dump", "--config", str(folder)),
            ("config", "check", str(folder / "none")),
        ):
            status, text = self.run_main(*arguments)
            self.assertEqual(status, 1)
            self.assertRegex(text, "holds no control state|No such file")

    def test_desk_is_a_hidden_alias_of_balancer(self):
        for command in ("balancer", "desk"):
            with mock.patch.object(process, "main", return_value=3) as process_main:
                self.assertEqual(self.run_main(command)[0], 3)
            process_main.assert_called_once_with()
        with mock.patch.dict(os.environ, COLUMNS="200"):
            text = self.run_main("--help")[1]
        self.assertIn("balancer", text)
        self.assertNotIn("desk", text)
