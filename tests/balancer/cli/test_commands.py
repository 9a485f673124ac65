"""The operator's command line against stand-ins: what people read, and what they are told to do."""

import http.server
import io
import json
import tempfile
import threading
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from mapleline.balancer.cli.commands import main
from mapleline.balancer.cli.trial.sample_configuration import sample_configuration

STATUS = {
    "system": 99,
    "epoch": 4,
    "number": 17,
    "config_version": 7,
    "evacuated": ["z2"],
    "ballot": [5, 1, 9],
    "contact_age_s": 0.42,
    "disk": "well",
    "node": "edge-1",
    "ready": True,
    "formed": True,
    "ingresses": 11,
    "servers": 6,
    "list": {"holder": "10.1.0.13", "term": 2},
    "counts": {"200": 5},
    "members": [
        {"address": "10.1.0.13", "part": "voter", "kept": 17},
        {"address": "10.2.0.13", "part": "learner", "kept": 0},
        {"address": "10.3.0.13", "part": "leaving", "kept": 16},
        {"address": "10.4.0.13", "part": "lost", "kept": 12},
    ],
}
READ = "version 7: 2 routes, 1 services, 1 tenants\n"


class Standin(http.server.ThreadingHTTPServer):
    """Answers each path as it is told to, and keeps what it was asked."""

    daemon_threads = True

    def __init__(self, answers: dict[str, tuple[int, bytes]]) -> None:
        super().__init__(("127.0.0.1", 0), _Answer)
        self.answers, self.asked = answers, []
        self.thread = threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True)
        self.thread.start()

    @property
    def at(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"


class _Answer(http.server.BaseHTTPRequestHandler):
    def log_message(self, *args: object) -> None:
        """Nothing is written."""

    def do_GET(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.asked.append((self.command, self.path, body))
        status, said = self.server.answers.get(self.path, (404, b"no such call"))
        self.send_response(status)
        self.send_header("Content-Length", str(len(said)))
        self.end_headers()
        self.wfile.write(said)

    do_POST = do_GET


class TestCommands(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "config.json"
        self.file.write_bytes(sample_configuration(7))

    def standin(self, **answers):
        one = Standin({"/" + name.replace("_", "/"): said for name, said in answers.items()})
        self.addCleanup(one.server_close)
        self.addCleanup(one.shutdown)
        return one

    def run_main(self, *words):
        """Its status, and what it wrote to people: one line where it is a fault."""
        out, err = io.StringIO(), io.StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            status = main(list(words))
        if status == 1:
            self.assertEqual(err.getvalue().count("\n"), 1, err.getvalue())
            return status, err.getvalue()
        self.assertEqual(err.getvalue(), "")
        return status, out.getvalue()

    def test_status_is_a_table_for_people_and_json_whole(self):
        at = self.standin(status=(200, json.dumps(STATUS).encode())).at
        status, text = self.run_main("status", "--at", at)
        self.assertEqual(status, 0)
        rows = [[cell.strip() for cell in line.split("|")] for line in text.splitlines()]
        for row in (
            ["epoch", "4"],
            ["number", "17"],
            ["config", "7"],
            ["evacuated", "z2"],
            ["ballot", "5.1.9"],
            ["contact", "0.4 s ago"],
            ["votes", "yes"],
            ["disk", "well"],
            ["address", "part", "kept"],
            ["10.1.0.13", "voter", "17"],
            ["10.2.0.13", "learner", "0"],
            ["10.3.0.13", "leaving", "16"],
            ["10.4.0.13", "lost", "12"],
        ):
            self.assertIn(row, rows, text)
        self.assertEqual(json.loads(self.run_main("status", "--json", "--at", at)[1]), STATUS)

    def test_status_of_one_that_knows_nothing_yet(self):
        nothing = STATUS | {
            "system": None,
            "epoch": None,
            "number": 0,
            "config_version": None,
            "evacuated": [],
            "members": [],
            "ballot": None,
            "contact_age_s": None,
        }
        status, text = self.run_main("status", "--at", self.standin(status=(200, json.dumps(nothing).encode())).at)
        self.assertEqual(status, 0)
        self.assertRegex(text, r"contact +\| +none yet")
        self.assertRegex(text, r"ballot +\| +none")

    def test_a_rival_is_told_what_a_409_means_and_no_other_is_asked(self):
        one = self.standin(config_replace=(409, b"config_version 7 stands for another configuration; in force is 9"))
        other = self.standin(config_replace=(200, b"{}"))
        status, text = self.run_main("config", "put", str(self.file), "--at", f"{one.at},{other.at}")
        self.assertEqual(status, 1)
        for said in (
            "409 config_version 7 stands for another configuration; in force is 9",
            "for good",
            "yours is not in force",
            "`config read`",
            "higher number",
        ):
            self.assertIn(said, text)
        self.assertEqual((len(one.asked), other.asked), (1, []))

    def test_after_a_503_the_next_is_asked_and_if_none_knows_it_says_so(self):
        unsure = self.standin(config_replace=(503, b"no majority of the core can be reached"))
        well = self.standin(config_replace=(200, b"{}"))
        at = f"{unsure.at},{well.at}"
        self.assertEqual(self.run_main("config", "put", str(self.file), "--at", at), (0, READ + "acknowledged\n"))
        self.assertEqual(well.asked, [("POST", "/config/replace", self.file.read_bytes())])
        status, text = self.run_main("config", "put", str(self.file), "--at", unsure.at)
        self.assertEqual(status, 1)
        self.assertIn("may be in force or not: send the same again, unchanged", text)
        gone = self.standin()
        gone.shutdown()
        gone.server_close()
        self.assertIn("may be in force or not", self.run_main("config", "put", str(self.file), "--at", gone.at)[1])
        self.assertEqual(self.run_main("config", "put", str(self.file), "--at", f"{gone.at},{well.at}")[0], 0)

    def test_a_read_without_contact_says_that_another_is_to_be_asked(self):
        at = self.standin(config_read=(503, b"no majority of the core can be reached")).at
        status, text = self.run_main("config", "read", "--at", at)
        self.assertEqual(status, 1)
        self.assertIn("what is in force can't be told here, ask another", text)
        self.assertNotIn("may be in force or not", text)

    def test_a_configuration_that_is_read_is_the_same_when_it_is_sent_again(self):
        at = self.standin(config_read=(200, self.file.read_bytes())).at
        self.assertEqual(self.run_main("config", "read", "--at", at), (0, self.file.read_text()))

    def test_a_faulty_configuration_is_not_sent(self):
        one = self.standin(config_replace=(200, b"{}"))
        self.file.write_bytes(sample_configuration(7)[:-9])
        self.assertEqual(self.run_main("config", "put", str(self.file), "--at", one.at)[0], 1)
        self.assertEqual(one.asked, [])

    def test_forget_says_why_it_is_refused(self):
        path = "/core/10.4.0.13/forget"
        for answer, words in (
            ((200, b"{}"), "acknowledged"),
            ((409, b"it is there: stop it first"), "stop it first; refused"),
            ((409, b"too few would be left to bear a loss"), "nothing was changed"),
            ((400, b"no address: x"), "no address"),
            ((503, b""), "send the same again"),
        ):
            one = self.standin()
            one.answers[path] = answer
            status, text = self.run_main("core", "forget", "10.4.0.13", "--at", one.at)
            self.assertEqual((status, words in text), (0 if answer[0] == 200 else 1, True), text)
            self.assertEqual(one.asked, [("POST", path, b"")])

    def test_a_rollback_sends_the_earlier_one_above_the_newest(self):
        old, newest = sample_configuration(3, "/old/"), sample_configuration(9)
        one = self.standin(config_history_3=(200, old), config_read=(200, newest), config_replace=(200, b"{}"))
        self.assertEqual(
            self.run_main("config", "rollback", "3", "--at", one.at), (0, "version 3 is in force again as 10\n")
        )
        sent = json.loads(one.asked[-1][2])
        self.assertEqual(sent, json.loads(old) | {"config_version": 10})

    def test_tools_on_a_folder_that_holds_nothing_and_a_file_that_is_not_there(self):
        folder = self.file.parent
        for words in (
            ("archive", "check", str(folder)),
            ("archive", "dump", str(folder)),
            ("archive", "dump", "--config", str(folder)),
            ("config", "check", str(folder / "none")),
        ):
            status, text = self.run_main(*words)
            self.assertEqual(status, 1)
            self.assertRegex(text, "holds no word|No such file")
