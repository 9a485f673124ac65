"""UNASKED, TWICE, REFUSED, MIXED, ROUTE, and CONFIG as far as it concerns API keys, on synthetic histories."""

from mapleline.simulation.invariants import Rule

from ..history_builder import HistoryBuilder, InvariantTestCase


class TestRequests(InvariantTestCase):
    def test_a_request_that_ran_once_for_its_tenant_breaks_nothing(self):
        self.assert_holds(HistoryBuilder().request("q1", 10.0).run("q1", 10.1))

    def test_a_run_that_no_client_sent(self):
        self.assert_breaks(Rule.UNASKED, HistoryBuilder().run("q1", 10.0))

    def test_a_run_as_another_tenant(self):
        self.assert_breaks(Rule.UNASKED, HistoryBuilder().request("q1", 10.0).run("q1", 10.1, tenant="t2"))

    def test_a_second_run_of_a_request_that_is_not_idempotent(self):
        idempotent = HistoryBuilder().request("q1", 10.0, kind="idempotent").run("q1", 10.1).run("q1", 10.2)
        self.assert_holds(idempotent)
        self.assert_breaks(Rule.TWICE, HistoryBuilder().request("q1", 10.0).run("q1", 10.1).run("q1", 10.2))

    def test_a_run_by_a_service_that_no_configuration_allows(self):
        self.assert_breaks(Rule.ROUTE, HistoryBuilder().request("q1", 10.0).run("q1", 10.1, service="s2"))

    def test_a_rejection_of_a_request_that_ran(self):
        for status in (429, 503):
            self.assert_breaks(Rule.REFUSED, HistoryBuilder().request("q1", 10.0, status=status).run("q1", 10.1))
            self.assert_holds(HistoryBuilder().request("q1", 10.0, status=status))

    def test_a_success_of_a_server_that_did_not_run_the_request(self):
        self.assert_breaks(Rule.MIXED, HistoryBuilder().request("q1", 10.0, stamp="i2").run("q1", 10.1))

    def test_a_key_after_its_revocation(self):
        def revoked_at(at):
            builder = HistoryBuilder().request("q1", 30.0).run("q1", 30.1)
            builder.history.revoked["t1-key"] = at
            return builder

        limit_s = HistoryBuilder().history.bounds.revoke_timeout
        self.assert_holds(revoked_at(30.0 - limit_s))
        self.assert_breaks(Rule.CONFIGURATION, revoked_at(29.9 - limit_s))
