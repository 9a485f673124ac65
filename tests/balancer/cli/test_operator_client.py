"""The operator's calls: retries must not hide a final answer, and a failure must give the right advice."""

import json

from mapleline.balancer.cli.operator_client import MAX_REDIRECTS, call_any_address
from mapleline.balancer.cli.trial.sample_configuration import sample_configuration
from tests.balancer.cli.command_line_case import CommandLineCase
from tests.balancer.cli.stand_in import ReceivedRequest

CHECKED = "version 7: 2 routes, 1 services, 1 tenants\n"


class TestOperatorClient(CommandLineCase):
    def test_a_409_is_explained_and_ends_the_call(self):
        ingress = self.start_stand_in(
            config_replace=(409, b"config_version 7 stands for another configuration; in force is 9")
        )
        other = self.start_stand_in(config_replace=(200, b"{}"))
        status, text = self.run_main("config", "put", str(self.file), "--at", f"{ingress.address},{other.address}")
        self.assertEqual(status, 1)
        for phrase in (
            "409 config_version 7 stands for another configuration; in force is 9",
            "for good",
            "yours is not in force",
            "`config read`",
            "higher number",
        ):
            self.assertIn(phrase, text)
        self.assertEqual((len(ingress.requests), other.requests), (1, []))

    def test_after_a_503_the_next_address_is_tried_and_the_last_503_advises_to_send_again(self):
        unavailable = self.start_stand_in(config_replace=(503, b"no majority of the core can be reached"))
        available = self.start_stand_in(config_replace=(200, b"{}"))
        addresses = f"{unavailable.address},{available.address}"
        self.assertEqual(
            self.run_main("config", "put", str(self.file), "--at", addresses), (0, CHECKED + "acknowledged\n")
        )
        self.assertEqual(available.requests, [ReceivedRequest("POST", "/config/replace", self.file.read_bytes())])
        status, text = self.run_main("config", "put", str(self.file), "--at", unavailable.address)
        self.assertEqual(status, 1)
        self.assertIn("may be in force or not: send the same again, unchanged", text)
        stopped = self.start_stand_in()
        stopped.shutdown()
        stopped.server_close()
        self.assertIn(
            "may be in force or not", self.run_main("config", "put", str(self.file), "--at", stopped.address)[1]
        )
        self.assertEqual(
            self.run_main("config", "put", str(self.file), "--at", f"{stopped.address},{available.address}")[0], 0
        )

    def test_a_read_that_gets_503_advises_to_ask_another(self):
        address = self.start_stand_in(config_read=(503, b"no majority of the core can be reached")).address
        status, text = self.run_main("config", "read", "--at", address)
        self.assertEqual(status, 1)
        self.assertIn("what is in force can't be told here, ask another", text)
        self.assertNotIn("may be in force or not", text)

    def test_core_forget_gives_the_reason_of_a_refusal(self):
        path = "/core/10.4.0.13/forget"
        for answer, phrase in (
            ((200, b"{}"), "acknowledged"),
            ((409, b"it is there: stop it first"), "stop it first; refused"),
            ((409, b"too few would be left to bear a loss"), "nothing was changed"),
            ((400, b"no address: x"), "no address"),
            ((503, b""), "send the same again"),
        ):
            ingress = self.start_stand_in()
            ingress.answers[path] = answer
            status, text = self.run_main("core", "forget", "10.4.0.13", "--at", ingress.address)
            self.assertEqual((status, phrase in text), (0 if answer[0] == 200 else 1, True), text)
            self.assertEqual(ingress.requests, [ReceivedRequest("POST", path, b"")])

    def test_rollback_sends_the_earlier_configuration_above_the_newest_version(self):
        old, newest = sample_configuration(3, "/old/"), sample_configuration(9)
        ingress = self.start_stand_in(
            config_history_3=(200, old), config_read=(200, newest), config_replace=(200, b"{}")
        )
        self.assertEqual(
            self.run_main("config", "rollback", "3", "--at", ingress.address),
            (0, "version 3 is in force again as 10\n"),
        )
        sent = json.loads(ingress.requests[-1].body)
        self.assertEqual(sent, json.loads(old) | {"config_version": 10})

    def test_redirects_are_followed_twice_and_a_third_is_a_failure(self):
        target = self.start_stand_in(config_history=(200, b"rows"))
        path = "/config/history"
        next_address = target.address
        for redirect_count in (1, 2, 3):
            ingress = self.start_stand_in()
            ingress.redirects[path] = f"http://{next_address}{path}"
            next_address = ingress.address
            result = call_any_address(ingress.address, "GET", path)
            self.assertEqual(result.is_ok(), redirect_count <= MAX_REDIRECTS)
        self.assertEqual(result.error, f"{ingress.address}: 307")
        self.assertEqual(target.requests, [ReceivedRequest("GET", path, b"")] * MAX_REDIRECTS)

    def test_without_an_address_nothing_is_sent(self):
        self.assertEqual(call_any_address(",", "GET", "/status").error, "no address")
        self.assertIn("--at: 'nonsense' is not an address", call_any_address("nonsense", "GET", "/status").error)
