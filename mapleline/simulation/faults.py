"""Fault injection: kills, freezes, partitions, disk faults, restarts, replacements, lost zones and lost responses.

Each fault is recorded in the history, where it exempts the machine from some rules while it lasts, and in the loss
budget: a schedule may not lose more control replicas at once than the site must tolerate.
"""

from __future__ import annotations

from collections.abc import Callable

from .history import CONTROL_REPLICAS, OPERATOR_RESPONSES, FaultInterval, History, SlowStart
from .machine import PROCESS_START_S, Machine
from .network import LateCopies
from .operators import SimulatedOperators
from .platform import LIST_LAG_S
from .servers import Server
from .world import World

GRACE_PERIOD_S = 6.0
SLOW_START_S = 3.0
DRAIN_S = 4.0
REPLACEMENT_GAP_S = 0.5
EXCHANGED_SEED_COUNT = 3
FOREVER = float("inf")
LATE_COPY_RATE = 0.05
MAX_LATE_COPY_DELAY_S = 3.0


class LossBudget:
    """Tracks which control replicas count as lost, and whether more of them may be lost."""

    def __init__(self, world: World, catch_up_s: float) -> None:
        """Start with no replica lost; a replica counts as lost for `catch_up_s` after it is back."""
        self._world = world
        self._catch_up_s = catch_up_s
        self._lost_until: dict[str, float] = {}

    def allows(self, *machines: Machine, permanently: bool = False) -> bool:
        """Return whether these machines may be lost in addition to those that are lost already.

        Allowed are as many losses as the site tolerates, or the loss of all machines of one zone.  With `permanently`
        the disks are lost too; the second case is not allowed then, as another lost replica might have the only other
        copy of some data.
        """
        zones = {machine.name: machine.zone for machine in self._world.control_replicas}
        lost = self._lost_names() | {machine.name for machine in machines if machine.disk is not None}
        lost_zones = {zones.get(name, name) for name in lost}
        return len(lost) <= self._world.tolerated_losses or len(lost_zones) == 1 and not permanently

    def spend(self, until: float, *machines: Machine) -> None:
        """Count the control replicas among these machines as lost until that moment plus `catch_up`."""
        recovered_at = until + self._catch_up_s
        for machine in machines:
            if machine.disk is not None:
                self._lost_until[machine.name] = max(recovered_at, self._lost_until.get(machine.name, 0.0))

    def has_losses(self) -> bool:
        """Return whether any replica is lost."""
        return bool(self._lost_names())

    def has_recovering_losses(self) -> bool:
        """Return whether any replica is lost temporarily."""
        return any(self._world.now < until < FOREVER for until in self._lost_until.values())

    def has_permanent_losses(self) -> bool:
        """Return whether any replica is lost permanently, without a successor."""
        return FOREVER in self._lost_until.values()

    def _lost_names(self) -> set[str]:
        return {name for name, until in self._lost_until.items() if until > self._world.now}


class FaultInjector:
    """Injects faults into a world; each fault ends by itself after its duration."""

    def __init__(self, world: World, history: History, operators: SimulatedOperators) -> None:
        """Inject faults into `world`, and record them in `history`."""
        self._world = world
        self._history = history
        self._operators = operators
        self.loss_budget = LossBudget(world, history.bounds.catch_up)

    def _excuse(self, for_s: float, *machines: Machine) -> None:
        """Record a fault of the machines; a fault of a control replica exempts every machine."""
        now = self._world.now
        until = now + for_s + PROCESS_START_S
        for machine in machines:
            self._history.faults.append(FaultInterval(now, until, machine.name))
            if machine.disk is not None:
                self._history.faults.append(FaultInterval(now, until, CONTROL_REPLICAS))

    def _disturb(self, for_s: float, *machines: Machine) -> None:
        """Record a fault of the machines, and count them as lost, for `for_s` seconds."""
        self._excuse(for_s, *machines)
        self.loss_budget.spend(self._world.now + for_s, *machines)

    # -- processes -----------------------------------------------------------------------------------------

    def kill(self, machines: list[Machine], for_s: float, wipe: bool = False) -> None:
        """Kill processes and start them again after `for_s`; with `wipe` their disks are emptied."""
        self._disturb(for_s, *machines)
        for machine in machines:
            machine.kill()
            if wipe:
                machine.wipe_disk()
            self._world.after(for_s, machine.start)

    def kill_at_acknowledgement(
        self, choose_machines: Callable[[], list[Machine]], for_s: float, wipe: bool = False
    ) -> None:
        """Kill the chosen machines at the moment at which the next command is acknowledged."""
        self._operators.on_next_acknowledgement(lambda: self.kill(choose_machines(), for_s, wipe))

    def freeze(self, machine: Machine, for_s: float) -> None:
        """Freeze a process for `for_s`; afterwards it handles everything that arrived meanwhile."""
        self._disturb(for_s, machine)
        machine.freeze(for_s)

    def restart_gracefully(self, machine: Machine) -> None:
        """Send SIGTERM, and start the process again after the grace period."""
        self._disturb(GRACE_PERIOD_S, machine)
        terminated = machine.reactor
        machine.terminate()

        def restart() -> None:
            if machine.reactor in (terminated, None):
                machine.kill()
                machine.start()

        self._world.after(GRACE_PERIOD_S, restart)

    def step_clock(self, machine: Machine, by_s: float) -> None:
        """Step a machine's time of day forwards, or backwards if `by_s` is negative."""
        self._excuse(0.0, machine)
        machine.step_clock(by_s)

    # -- machines ------------------------------------------------------------------------------------------

    def add_machine(self, zone: str, has_disk: bool) -> Machine:
        """Start a new machine, with an empty disk or without a disk."""
        machine = self._world.add_machine(zone, has_disk)
        self._excuse(PROCESS_START_S, machine)
        machine.start()
        return machine

    def retire(self, machine: Machine, graceful: bool = True) -> None:
        """Remove a machine permanently whose successor exists already."""
        grace_s = _grace_s(graceful)
        self._disturb(grace_s, machine)
        self._world.remove_machine(machine, grace_s)

    def remove(self, machine: Machine, graceful: bool = True) -> None:
        """Remove a machine permanently without a successor: it counts as lost for the rest of the run."""
        self.retire(machine, graceful)
        self.loss_budget.spend(FOREVER, machine)

    def replace(self, machine: Machine, graceful: bool = True, gap_s: float = REPLACEMENT_GAP_S) -> None:
        """Remove a machine permanently; a successor with another address and an empty disk starts `gap_s` later."""
        grace_s = _grace_s(graceful)
        self._disturb(grace_s + gap_s, machine)
        self._world.remove_machine(machine, grace_s)
        self._world.after(grace_s + gap_s, self.add_machine, machine.zone, machine.disk is not None)

    def exchange_seeds(self) -> None:
        """Replace the seed machines in all settings files by a random choice."""
        machines = list(self._world.machines.values())
        addresses = [machine.address for machine in self._world.rng.sample(machines, EXCHANGED_SEED_COUNT)]
        for machine in machines:
            machine.seed_addresses = addresses

    # -- disks ---------------------------------------------------------------------------------------------

    def refuse_disk_writes(self, machine: Machine, for_s: float) -> None:
        """Make a disk refuse writes for `for_s`, as a full disk does."""
        self._disturb(for_s, machine)
        if machine.disk is not None:
            machine.disk.refuses_writes = True
            self._world.after(for_s, setattr, machine.disk, "refuses_writes", False)

    def hang_disk(self, machine: Machine, for_s: float) -> None:
        """Make all syncs of a disk hang for `for_s`."""
        self._disturb(for_s, machine)
        if machine.disk is not None:
            machine.disk.hangs_until = self._world.now + for_s

    # -- network -------------------------------------------------------------------------------------------

    def partition(self, machines: list[Machine], others: list[Machine], for_s: float, one_way: bool = False) -> None:
        """Partition the machines from the others for `for_s`; partitions may overlap, and each ends by itself."""
        self._disturb(for_s, *machines)
        self._world.after(for_s, self._world.partition(machines, others, one_way))

    def lose_responses(self, share: float, for_s: float) -> None:
        """Lose a share of the responses to operators for `for_s`; the bound on acknowledgements is suspended then."""
        now = self._world.now
        self._history.faults.append(FaultInterval(now, now + for_s, OPERATOR_RESPONSES))
        self._world.operator_response_loss_rate = share
        self._world.after(for_s, setattr, self._world, "operator_response_loss_rate", 0.0)

    def duplicate_datagrams_late(self, for_s: float) -> None:
        """Deliver late copies of some datagrams, possibly to a later incarnation of the receiver."""
        self._world.network.late_copies = LateCopies(LATE_COPY_RATE, MAX_LATE_COPY_DELAY_S)
        self._world.after(for_s, setattr, self._world.network, "late_copies", None)

    # -- zones and servers ---------------------------------------------------------------------------------

    def lose_zone(self, zone: str, for_s: float) -> None:
        """Stop all machines and servers of a zone for `for_s`."""
        self.kill([machine for machine in self._world.machines.values() if machine.zone == zone], for_s)
        servers = [server for server in self._world.servers.values() if server.zone == zone]
        for server in servers:
            server.is_down = True
        self._world.after(for_s, self.restart_servers, servers)

    def restart_servers(self, servers: list[Server]) -> None:
        """Start new incarnations of servers at the same addresses; each begins a slow start."""
        for server in servers:
            self.begin_slow_start(self._world.restart_server(server), SLOW_START_S)
        self._world.platform.servers_changed()

    def begin_slow_start(self, server: Server, for_s: float) -> None:
        """Begin a slow start of a server; the endpoint list does not show it yet."""
        now = self._world.now
        server.slow_start_until = now + for_s
        self._history.slow_starts.append(SlowStart(server.id, now, now + for_s))

    def drain_server(self, server: Server, for_s: float = DRAIN_S) -> None:
        """Announce a server as draining, and remove it after `for_s`."""
        server.is_draining = True
        self._world.platform.servers_changed()

        def note_listed() -> None:
            self._history.draining_since.setdefault(server.id, self._world.now)

        def remove() -> None:
            server.is_removed = True
            self._world.platform.servers_changed()

        self._world.after(LIST_LAG_S, note_listed)
        self._world.after(for_s, remove)


def _grace_s(graceful: bool) -> float:
    return GRACE_PERIOD_S if graceful else 0.0
