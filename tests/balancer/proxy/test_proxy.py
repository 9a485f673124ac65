"""The data plane in whole exchanges: all messages to clients and servers, compared with approved transcripts."""

import json
import unittest

from mapleline.balancer.proxy.outcome import EndReason

from .proxy_harness import ProxyHarness, approve

SETTINGS = """\
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
CONFIGURATION = {
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


class TestProxy(unittest.TestCase):
    def setUp(self):
        self.harness = ProxyHarness(SETTINGS, json.dumps(CONFIGURATION).encode(), SERVERS)

    def approve(self, name):
        approve(self, name, self.harness.transcript)

    def test_responses_are_forwarded_unchanged_and_own_headers_replaced(self):
        harness = self.harness
        harness.request("q1", tenant=b"forged", x_other=b"kept", connection=b"close")
        harness.advance(0.2)
        harness.respond(server_load=b"1,0,2", content_encoding=b"none")
        harness.request("q2", b"POST", b"/book/7?day=1")
        harness.respond(500)
        harness.request("q3", path=b"/free/x", key=b"")
        harness.respond(404)
        self.approve("served")

    def test_requests_rejected_at_admission_reach_no_server(self):
        harness = self.harness
        harness.request("no-route", path=b"/two/x")
        harness.request("no-key", key=b"")
        harness.request("bad-key", key=b"k9")
        harness.request("no-id", request_id=b"")
        harness.request("homes", b"POST", b"/home/x", key=b"k3")
        harness.can_serve = False
        harness.request("unknowing")
        self.approve("turned_away")

    def test_a_request_that_a_server_did_not_execute_goes_to_another(self):
        harness = self.harness
        harness.request("q1", b"POST", b"/book/7")
        harness.respond(503, not_executed=b"1")
        harness.respond(421)
        harness.request("q2", b"POST", b"/book/8")
        harness.respond(503, not_executed=b"1")
        harness.respond()
        self.approve("not_executed")

    def test_statuses_that_promise_no_execution_are_not_forwarded_without_not_executed(self):
        harness = self.harness
        for n, status in enumerate((503, 429, 408)):
            harness.request(f"book{n}", b"POST", b"/book/7")
            harness.respond(status)
        harness.request("long", b"POST", b"/book/7", expect=b"100-continue")  # answered by the proxy
        harness.start_response(503)
        harness.request("read")
        harness.respond(429)
        harness.request("turned-away", b"POST", b"/book/7")
        harness.respond(429, not_executed=b"1")
        harness.respond(421)
        self.approve("promises")

    def test_a_request_that_may_have_been_executed_is_retried_only_if_idempotent(self):
        harness = self.harness
        harness.request("book", b"POST", b"/book/7")
        harness.end_without_response()
        harness.request("read")
        harness.end_without_response(EndReason.PROTOCOL_ERROR)
        harness.respond()
        harness.request("again")
        harness.end_without_response()
        harness.end_without_response()
        self.approve("may_have_run")

    def test_unreachable_servers_do_not_count_as_attempts_up_to_a_limit(self):
        harness = self.harness
        harness.request("book", b"POST", b"/book/7")
        harness.end_without_response(EndReason.UNREACHABLE, is_written=False)
        harness.end_without_response(EndReason.UNREACHABLE, is_written=False)
        harness.end_without_response(EndReason.UNREACHABLE, is_written=False)
        harness.end_without_response(EndReason.UNREACHABLE, is_written=False)
        self.approve("nothing_written")

    def test_a_deadline_gives_504_after_an_attempt_and_503_without(self):
        harness = self.harness
        harness.request("book", b"POST", b"/book/7", deadline_ms=b"900")
        harness.advance(0.9)
        harness.endpoints.instances.clear()
        harness.request("none", b"POST", b"/book/8")
        self.approve("deadline")

    def test_an_idempotent_request_is_hedged_and_the_first_response_counts(self):
        harness = self.harness
        harness.request("read")
        harness.advance(1.1)
        harness.respond()
        harness.respond()
        harness.request("book", b"POST", b"/book/7")
        harness.advance(1.1)
        self.approve("silent_server")

    def test_retries_stop_when_the_budget_is_spent(self):
        harness = self.harness
        for n in range(9):
            harness.request(f"q{n}")
            harness.end_without_response()
            if any(harness.upstream_pool.in_flight.values()):
                harness.respond()
        self.approve("budget")

    def test_requests_are_served_or_rejected_by_their_quota(self):
        harness = self.harness
        harness.request("inside", key=b"k2")
        harness.answer_quota(current=3.0)
        harness.respond()
        harness.request("over", key=b"k2")
        harness.answer_quota(current=60.0)
        harness.request("unknown", key=b"k2")
        harness.time_out_quota()
        harness.request("gone", key=b"k2").on_client_disconnected()
        harness.answer_quota(current=0.0)
        self.approve("quota")

    def test_a_key_revoked_while_the_quota_is_consulted_is_not_served(self):
        harness = self.harness
        harness.request("q1", key=b"k2")
        later = {**CONFIGURATION, "config_version": 8, "tenant_table": {"t1": {"api_keys": ["k1"]}}}
        harness.set_configuration(json.dumps(later).encode())
        harness.answer_quota(current=0.0)
        self.approve("key_taken_away")

    def test_draining_and_evacuated_servers_get_no_requests_and_warming_ones_a_limited_rate(self):
        harness = self.harness
        harness.set_endpoints([("i-a", "s1", "z1", {"state": "draining"}), *SERVERS[1:]])
        harness.proxy.evacuated_zones = {"z2"}
        harness.request("q1")
        harness.respond()
        harness.set_endpoints([("i-d", "s1", "z1", {"cold_left": "3s"}), ("i-e", "s1", "z2", {})])
        for n in range(2, 5):  # the lease holder may send one to i-d, which warms up; i-e is in the evacuated zone
            harness.request(f"q{n}")
        harness.advance(0.5)
        harness.request("q5")
        self.approve("who_gets_nothing")

    def test_a_streamed_body_goes_to_one_server_and_a_truncated_response_is_marked_as_such(self):
        harness = self.harness
        harness.request("up", b"POST", b"/book/7", upload_bytes=2 << 20)
        harness.respond(503, not_executed=b"1")
        harness.respond()
        harness.advance(3.0)
        harness.request(
            "spent", b"POST", b"/book/8", upload_bytes=2 << 20
        ).on_body_discarded()  # a part was sent that is no longer buffered
        harness.respond(503, not_executed=b"1")
        harness.advance(3.0)
        harness.request("down")
        end = harness.start_response()
        harness.advance(1.5)  # a streamed response is not hedged
        end(EndReason.RESPONSE)
        harness.request("cut")
        harness.start_response()(EndReason.CONNECTION_LOST)
        harness.request("full")
        harness.start_response(503, not_executed=b"1")
        harness.respond()
        harness.request("slow", deadline_ms=b"900")
        harness.start_response()
        harness.advance(0.9)
        self.approve("streams")

    def test_the_last_slots_of_a_region_are_left_to_requests_that_may_not_leave_it(self):
        harness = self.harness
        for n in range(6):
            harness.request(f"read{n}")
        for n in range(8):
            harness.request(f"home{n}", b"POST", b"/home/x")
        harness.request("second", b"POST", b"/home/x", deadline_ms=b"1900")
        self.approve("full")
