"""The data plane by whole exchanges: what a client is told, and what a server is sent, in every kind of trouble."""

import json
import unittest

from mapleline.balancer.proxy.outcome import EndReason

from .proxy_harness import World, approve

BOOT = """\
node_name=edge-1
ip_address=0.0.0.1
zone=z1
region=r1
zones.z1=r1
zones.z2=r1
zones.z3=r2
listen_addresses.front_addr=0.0.0.1:8388
internal_port_range=7560,7575
cloud_api.address=10.200.0.160:8382
cloud_api.rate_per_s=44.0
protocol_bounds=retry_budget_ratio=0.2,retry_budget_slack=12,quota_window=5s,quota_overshoot=0.1,quota_slack=20
"""
ROUTE = {
    "host_name": "a.example",
    "timeout": "3000ms",
    "target_latency": "800ms",
    "target_service": "s1",
    "max_attempts": 2,
}
WHOLE = {
    "config_version": 7,
    "route_table": {
        "read": dict(ROUTE, path_prefix="/one/", route_kind="idempotent"),
        "book": dict(ROUTE, path_prefix="/book/", route_kind="non_idempotent"),
        "home": dict(ROUTE, path_prefix="/home/", route_kind="upload", home_regions=["r1"]),
        "free": dict(ROUTE, path_prefix="/free/", route_kind="idempotent", anonymous=True),
    },
    "service_table": {"s1": {"max_connections": 130, "cold_start": "3s", "cold_rate_s": 2.0}},
    "tenant_table": {
        "t1": {"api_keys": ["k1"]},
        "t2": {"api_keys": ["k2"], "rate_per_s": 4, "burst_size": 4},
        "t3": {"api_keys": ["k3"], "home_regions": ["r2"]},
    },
}
SERVERS = [
    ("i-a", "s1", "z1", {"slot_count": 2}),
    ("i-b", "s1", "z2", {"slot_count": 2}),
    ("i-c", "s1", "z3", {"slot_count": 2}),
    ("i-x", "s9", "z1", {}),
]


class TestDesk(unittest.TestCase):
    def setUp(self):
        self.world = World(BOOT, json.dumps(WHOLE).encode(), SERVERS)

    def approve(self, name):
        approve(self, name, self.world.lines)

    def test_served(self):
        w = self.world
        w.ask("q1", tenant=b"forged", x_other=b"kept", connection=b"close")
        w.wait(0.2)
        w.answer(server_load=b"1,0,2", content_encoding=b"none")
        w.ask("q2", b"POST", b"/book/7?day=1")
        w.answer(500)
        w.ask("q3", path=b"/free/x", key=b"")
        w.answer(404)
        self.approve("served")

    def test_turned_away_before_it_is_sent(self):
        w = self.world
        w.ask("no-route", path=b"/two/x")
        w.ask("no-key", key=b"")
        w.ask("bad-key", key=b"k9")
        w.ask("no-id", request_id=b"")
        w.ask("homes", b"POST", b"/home/x", key=b"k3")
        w.serving = False
        w.ask("unknowing")
        self.approve("turned_away")

    def test_a_server_says_that_it_has_not_run(self):
        w = self.world
        w.ask("q1", b"POST", b"/book/7")
        w.answer(503, not_executed=b"1")
        w.answer(421)
        w.ask("q2", b"POST", b"/book/8")
        w.answer(503, not_executed=b"1")
        w.answer()
        self.approve("not_executed")

    def test_a_server_promises_what_only_not_executed_says(self):
        w = self.world
        for n, status in enumerate((503, 429, 408)):
            w.ask(f"book{n}", b"POST", b"/book/7")
            w.answer(status)
        w.ask("long", b"POST", b"/book/7", expect=b"100-continue")  # which is ours to answer
        w.begin(503)
        w.ask("read")
        w.answer(429)
        w.ask("turned-away", b"POST", b"/book/7")
        w.answer(429, not_executed=b"1")
        w.answer(421)
        self.approve("promises")

    def test_it_may_have_run(self):
        w = self.world
        w.ask("book", b"POST", b"/book/7")
        w.lose()
        w.ask("read")
        w.lose(EndReason.PROTOCOL_ERROR)
        w.answer()
        w.ask("again")
        w.lose()
        w.lose()
        self.approve("may_have_run")

    def test_nothing_was_written(self):
        w = self.world
        w.ask("book", b"POST", b"/book/7")
        w.lose(EndReason.UNREACHABLE, written=False)
        w.lose(EndReason.UNREACHABLE, written=False)
        w.lose(EndReason.UNREACHABLE, written=False)
        w.lose(EndReason.UNREACHABLE, written=False)
        self.approve("nothing_written")

    def test_the_deadline(self):
        w = self.world
        w.ask("book", b"POST", b"/book/7", deadline_ms=b"900")
        w.wait(0.9)
        w.proxy.endpoints.instances.clear()
        w.ask("none", b"POST", b"/book/8")
        self.approve("deadline")

    def test_a_silent_server_and_the_first_answer_of_two(self):
        w = self.world
        w.ask("read")
        w.wait(1.1)
        w.answer()
        w.answer()
        w.ask("book", b"POST", b"/book/7")
        w.wait(1.1)
        self.approve("silent_server")

    def test_the_budget_of_further_tries(self):
        w = self.world
        for n in range(9):
            w.ask(f"q{n}")
            w.lose()
            if any(w.servers.out.values()):
                w.answer()
        self.approve("budget")

    def test_a_quota(self):
        w = self.world
        w.ask("inside", key=b"k2")
        w.count(before=3.0)
        w.answer()
        w.ask("over", key=b"k2")
        w.count(before=60.0)
        w.ask("unknown", key=b"k2")
        w.count(silent=True)
        w.ask("gone", key=b"k2").on_client_disconnected()
        w.count(before=0.0)
        self.approve("quota")

    def test_a_key_taken_away_while_the_tally_is_asked(self):
        from mapleline.balancer import configuration, routing_table

        w = self.world
        w.ask("q1", key=b"k2")
        later = {**WHOLE, "config_version": 8, "tenant_table": {"t1": {"api_keys": ["k1"]}}}
        w.proxy.table = routing_table.RoutingTable(configuration.parse_configuration(json.dumps(later).encode()))
        w.count(before=0.0)
        self.approve("key_taken_away")

    def test_who_gets_nothing(self):
        w = self.world
        w.list([("i-a", "s1", "z1", {"state": "draining"}), *SERVERS[1:]])
        w.proxy.evacuated_zones = {"z2"}
        w.ask("q1")
        w.answer()
        w.list([("i-d", "s1", "z1", {"cold_left": "3s"}), ("i-e", "s1", "z2", {})])
        for n in range(2, 5):  # one turn of the cold one, by its owner; the other is in the evacuated zone
            w.ask(f"q{n}")
        w.wait(0.5)
        w.ask("q5")
        self.approve("who_gets_nothing")

    def test_bodies_that_go_on_as_they_come(self):
        w = self.world
        w.ask("up", b"POST", b"/book/7", long=2 << 20)
        w.answer(503, not_executed=b"1")
        w.answer()
        w.wait(3.0)
        w.ask("spent", b"POST", b"/book/8", long=2 << 20).is_body_discarded = True  # more has gone out than is held
        w.answer(503, not_executed=b"1")
        w.wait(3.0)
        w.ask("down")
        end = w.begin()
        w.wait(1.5)  # no second server is asked
        end(EndReason.RESPONSE)
        w.ask("cut")
        w.begin()(EndReason.CONNECTION_LOST)
        w.ask("full")
        w.begin(503, not_executed=b"1")
        w.answer()
        w.ask("slow", deadline_ms=b"900")
        w.begin()
        w.wait(0.9)
        self.approve("streams")

    def test_a_full_region_is_left_to_those_who_may_go_nowhere_else(self):
        w = self.world
        for n in range(6):
            w.ask(f"read{n}")
        for n in range(8):
            w.ask(f"home{n}", b"POST", b"/home/x")
        w.ask("second", b"POST", b"/home/x", deadline_ms=b"1900")
        self.approve("full")
