"""Duplicated, delayed and misrouted messages between whole nodes must not break a rule.

The nodes run in the simulation.  Each test also disables the protection and checks that the fault then shows.
"""

import logging
import unittest
from collections import Counter
from unittest import mock

from mapleline.balancer.control.replica_monitor import ReplicaMonitor
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.quota.client import QuotaClient
from mapleline.balancer.quota.counters import CounterTable, TenantCounter
from mapleline.balancer.transport import messages
from mapleline.balancer.transport.errors import DropReason
from mapleline.balancer.transport.fencing import Fence
from mapleline.balancer.transport.messages import Accepted, LoadReport, Promised
from mapleline.balancer.transport.stamps import CALL_STAMPS_BYTES, CallStamps
from mapleline.simulation.final_fault import RESTART_S, FinalFault, check_read_back
from mapleline.simulation.invariants import Rule
from mapleline.simulation.runner import RunOptions, run_scenario
from mapleline.simulation.scenario import ZONES, Scenario
from mapleline.simulation.world import Topology, World


class TestNodes(unittest.TestCase):
    """Whole nodes on a network that duplicates, delays and misroutes their messages."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def world(self):
        world = World(4, Topology(ZONES, servers_per_zone={"slots": 1}))
        world.start()
        world.run(6.0)
        return world

    def test_a_late_heartbeat_makes_no_endpoint_list_seem_fresh(self):
        world = self.world()
        sender, receiver = [m for m in world.machines.values() if m.disk is None][:2]
        late = sender.node.heartbeats.make_heartbeat()
        world.platform.unreachable_from |= set(world.machines)  # from here on no node can fetch a fresh list
        world.run(3.0)

        def fetched():
            before = receiver.node.endpoints.fetched_at
            receiver.node.dispatcher.receive(sender.ip, late)
            return receiver.node.endpoints.fetched_at - before

        self.assertEqual(fetched(), 0.0)

        def merge_undated(self, now, rows, merge=MembershipTable.merge):
            has_joined, self.last_merge_sent_at = merge(self, now, rows), now
            return has_joined

        with (
            mock.patch.object(MembershipTable, "is_superseded", return_value=False),
            mock.patch.object(MembershipTable, "merge", merge_undated),
        ):  # either of the two defences is enough
            self.assertGreater(fetched(), 1.0)

    def test_a_load_report_after_a_newer_one_is_dropped(self):
        def reported():
            sender, receiver = [m for m in self.world().machines.values() if m.zone == "a1"]
            for report in (LoadReport({7: 3}, {}, 1), LoadReport({7: 5}, {}, 2), LoadReport({7: 3}, {}, 1)):
                receiver.node.dispatcher.receive(sender.ip, report)
            return receiver.node.proxy.load_reports.received[sender.ip].report.in_flight

        self.assertEqual(reported(), {7: 5})
        with mock.patch.object(Fence, "accept_sequence", return_value=True):
            self.assertEqual(reported(), {7: 3})

    def test_a_machine_whose_clock_was_set_back_has_the_newest_incarnation_after_its_first_exchange(self):
        def is_newest_at_once():
            world = self.world()
            machine = next(m for m in world.machines.values() if m.disk is None)
            earlier = machine.node.membership.local_member.incarnation
            machine.kill()
            world.run(9.0)  # now no node sends it heartbeats
            machine.clock_skew_s = -100.0
            machine.start()
            world.run(0.8)
            at_once = machine.node.membership.local_member.incarnation > earlier
            world.run(1.5)
            for other in world.machines.values():
                self.assertIn(machine.ip, {m.ip for m in other.node.membership.live_members(world.now)})
            return at_once

        self.assertTrue(is_newest_at_once())
        with mock.patch.object(Fence, "_refusal", return_value=None):
            self.assertFalse(is_newest_at_once())  # only later, when unreachable members are sent heartbeats

    def test_each_increment_counts_once_under_duplicates_and_delays(self):
        def faults(scenario):
            world = scenario.world
            network = world.network
            network.loss_rate = 0.0
            network.duplicate_rate = 0.4
            network.delayed_rate = 0.1
            network.max_extra_delay_s = 1.0
            scenario.clients.load_factors["t1"] = 4.0
            scenario.clients.stops_at = world.now + 4.0

        def mismatches():
            """Return the violations, and tenants whose replicas differ from what was admitted, over all slots."""
            admitted = {}

            def complete(self, consultation, usage, answered_by=0):
                on_answer = consultation.request.on_answer

                def count_admitted(answer):
                    name = consultation.increment.tenant
                    is_admitted = on_answer(answer)
                    admitted[name] = admitted.get(name, 0) + bool(is_admitted)
                    return is_admitted

                consultation.request.on_answer = count_admitted
                return complete_consultation(self, consultation, usage, answered_by)

            complete_consultation = QuotaClient._complete
            nothing_expires = mock.patch.object(TenantCounter, "expire", lambda self, oldest: None)
            with mock.patch.object(QuotaClient, "_complete", complete), nothing_expires:
                result = run_scenario(3, faults, RunOptions(12.0, FinalFault.NONE, load=2.0))
            found, scenario = result.violations, result.scenario
            values = {}
            for machine in scenario.world.machines.values():
                quota_client = machine.node.quota_client
                for name, counter in quota_client.replica.table.counters.items():
                    if machine.ip not in quota_client.placement.replicas_of(name, ()):
                        continue  # it replaced a suspected replica for a while, and gets no more updates
                    units_by_slot = {number: slot.units(None) for number, slot in counter.slots.items()}
                    values.setdefault(name, []).append({slot: units for slot, units in units_by_slot.items() if units})
            self.assertGreater(sum(admitted[name] for name in values), 20)
            self.assertEqual({len(counts) for counts in values.values()}, {2})
            return found, [
                (name, counts, admitted[name])
                for name, counts in values.items()
                if any(count != counts[0] for count in counts) or sum(counts[0].values()) != admitted[name]
            ]

        self.assertEqual(mismatches(), ([], []))

        def forget(self, operation, applied):
            """Remember no operation."""

        with mock.patch.object(CounterTable, "_remember", forget):
            self.assertTrue(mismatches()[1])

    def test_duplicates_delays_and_misrouted_replies_break_no_invariant(self):
        def faults(scenario):
            world = scenario.world
            world.network.duplicate_rate = 0.2
            world.network.delayed_rate = 0.03
            world.network.misrouted_reply_rate = 0.3
            scenario.clients.load_factors["t1"] = 6.0
            machine = next(m for m in world.machines.values() if m.disk is None)
            for index in range(4):
                world.after(0.5 + 1.5 * index, scenario.operators.replace_at_two_machines)
            world.after(2.0, scenario.faults.kill, [machine], 0.5)

        for final_fault in (FinalFault.KILL, FinalFault.WIPE):
            result = run_scenario(3, faults, RunOptions(9.0, final_fault))
            scenario = result.scenario
            self.assertEqual(result.violations, [], final_fault)
            drops = sum((m.node.fence.dropped for m in scenario.world.machines.values() if m.is_running), Counter())
            self.assertTrue(
                {DropReason.OTHER_CALL, DropReason.SURPLUS_REPLY, DropReason.OUT_OF_ORDER} <= set(drops), drops
            )

    def test_a_reply_to_another_call_acknowledges_nothing(self):
        def violations():
            scenario = Scenario(3)
            world = scenario.world
            scenario.begin()
            replicas = world.control_replicas
            first = next(m for m in replicas if m.node.control_plane.monitor.coordinator(world.now) == m.ip)
            earlier, others = {}, [m for m in replicas if m is not first]

            def misroute(to, data):
                """Replace the reply of a replica that refuses by its earlier reply that granted."""
                reply = messages.decode_reply(data[CALL_STAMPS_BYTES:])
                kind = CallStamps.decode(data).sender_ip, type(reply)
                if to != first.name or not isinstance(reply, Promised | Accepted):
                    return data
                return earlier.setdefault(kind, data) if reply.is_granted else earlier.get(kind, data)

            world.network.route_reply = misroute
            scenario.operators.replace_configuration(at=first)
            world.run(1.0)
            for machine in others:
                machine.disk.refuses_writes = True
            scenario.operators.replace_configuration(at=first)
            world.run(1.5)
            scenario.faults.kill(list(world.machines.values()), 0.5)
            first.wipe_disk()
            for machine in others:
                machine.disk.refuses_writes = False
            world.run(RESTART_S)
            return check_read_back(scenario)

        self.assertEqual(violations(), [])
        with (
            mock.patch.object(Fence, "_check_reply", return_value=None),
            mock.patch.object(ReplicaMonitor, "observe_record_version", return_value=True),
        ):  # either of the two defences is enough
            self.assertIs(violations()[0].rule, Rule.LOST)
