"""Injects faults into a core, each at its time or as soon afterwards as the tolerance permits.

A fault that would make more machines unavailable at once than the settings' `tolerance` is postponed. Faults of disks
and kills of all processes at once are not postponed; faults of whole zones may exceed the tolerance.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from simnet.core.cluster import Cluster
from simnet.core.faults.aimed import TriggeredFaults
from simnet.core.faults.context import FaultContext
from simnet.core.faults.disks import DiskFaults
from simnet.core.faults.fault import Fault
from simnet.core.faults.losses import Losses
from simnet.core.faults.partitions import PartitionFaults
from simnet.core.faults.processes import ProcessFaults
from simnet.core.faults.replacements import ReplacementFaults
from simnet.core.faults.surroundings import EnvironmentFaults

MAX_POSTPONEMENT_S = 60.0  # a fault that is postponed for longer than this is dropped
RETRY_S = 0.02  # interval of attempts to inject a postponed fault


class FaultInjector:
    """Injects faults into one core."""

    def __init__(self, cluster: Cluster, strict: bool = True) -> None:
        """Create the injector.

        `strict`: the tolerance limits all faults, not only those that lose a disk or a machine for good.
        """
        self.waiting = 0  # number of scheduled faults that are not injected yet
        self.on_injected: Callable[[], None] = lambda: None  # called after each scheduled fault
        self._clock = cluster.clock
        context = FaultContext(cluster, Losses(cluster, strict))
        processes = ProcessFaults(context)
        triggered = TriggeredFaults(context)
        disks = DiskFaults(context)
        partitions = PartitionFaults(context)
        replacements = ReplacementFaults(context)
        environment_faults = EnvironmentFaults(context)
        self._kinds: dict[str, Callable[[Fault], bool]] = {  # the keys are the names of the users' test bench
            "node_kill": processes.kill,
            "roll_term": processes.rolling_restart,
            "herd_kill": processes.kill_simultaneously,
            "zone_loss": processes.lose_zone,
            "node_freeze": processes.freeze,
            "node_slow": processes.slow,
            "power_off_all": processes.power_off_all,
            "kill_all": processes.kill_all,
            "after_ack_kill": triggered.arm,
            "after_ack_wipe": triggered.arm,
            "wipe_after_ack": triggered.arm_closing_wipe,
            "disk_stall": disks.stall,
            "disk_slow": disks.slow,
            "disk_full": disks.fill,
            "core_cut": partitions.cut_machines,
            "zone_cut": partitions.cut_zone,
            "link_cut": partitions.cut_link,
            "reset_conns": partitions.reset_connections,
            "replace_core": replacements.replace_machine,
            "returns": replacements.restart_removed,
            "seed_turnover": environment_faults.change_seeds,
            "hup": environment_faults.reload_settings,
            "clock_step": environment_faults.step_clock,
            "ack_lost": environment_faults.lose_answers,
            "client_kill": environment_faults.kill_client,
            "client_reset": environment_faults.reset_client,
        }

    def schedule(self, faults: Iterable[Fault]) -> None:
        """Schedule faults, each at its time or as soon afterwards as the tolerance permits."""
        for fault in faults:
            self.waiting += 1
            self._clock.at(fault.at, partial(self._try_inject, fault))

    def _try_inject(self, fault: Fault) -> None:
        if self.inject(fault):
            self.waiting -= 1
            self.on_injected()
        elif self._clock.now > fault.at + MAX_POSTPONEMENT_S:
            self.waiting -= 1
        else:
            self._clock.later(RETRY_S, partial(self._try_inject, fault))

    def inject(self, fault: Fault) -> bool:
        """Inject a fault now; return False if it must be postponed."""
        return self._kinds[fault.kind](fault)
