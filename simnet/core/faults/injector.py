"""Has faults happen in a core, each at its time or as soon after as its turn comes.

A fault that would lose more machines at once than the settings' `tolerance` waits its turn. Faults of disks, kills of
all processes at once and faults of whole zones do not wait.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from simnet.core.cluster import Cluster
from simnet.core.faults.aimed import AimedFaults
from simnet.core.faults.context import FaultContext
from simnet.core.faults.disks import DiskFaults
from simnet.core.faults.fault import Fault
from simnet.core.faults.losses import Losses
from simnet.core.faults.partitions import PartitionFaults
from simnet.core.faults.processes import ProcessFaults
from simnet.core.faults.replacements import ReplacementFaults
from simnet.core.faults.surroundings import SurroundingFaults

LONGEST_WAIT_S = 60.0  # for its turn; after that a fault does not come
RETRY_S = 0.02


class FaultInjector:
    """Has faults happen in one core."""

    def __init__(self, cluster: Cluster, strict: bool = True) -> None:
        """`strict`: all faults keep to the tolerance; else only those that lose a disk or a machine for good."""
        self.waiting = 0  # faults whose turn has not come
        self.on_strike: Callable[[], None] = lambda: None  # called when a fault that was scheduled happens
        self._clock = cluster.clock
        context = FaultContext(cluster, Losses(cluster, strict))
        processes = ProcessFaults(context)
        aimed = AimedFaults(context)
        disks = DiskFaults(context)
        partitions = PartitionFaults(context)
        replacements = ReplacementFaults(context)
        surroundings = SurroundingFaults(context)
        self._kinds: dict[str, Callable[[Fault], bool]] = {  # by the bench's names
            "node_kill": processes.kill,
            "roll_term": processes.rolling_restart,
            "herd_kill": processes.kill_herd,
            "zone_loss": processes.lose_zone,
            "node_freeze": processes.freeze,
            "node_slow": processes.slow,
            "power_off_all": processes.power_off_all,
            "kill_all": processes.kill_all,
            "after_ack_kill": aimed.aim,
            "after_ack_wipe": aimed.aim,
            "wipe_after_ack": aimed.aim_closing_wipe,
            "disk_stall": disks.stall,
            "disk_slow": disks.slow,
            "disk_full": disks.fill,
            "core_cut": partitions.cut_machines,
            "zone_cut": partitions.cut_zone,
            "link_cut": partitions.cut_link,
            "reset_conns": partitions.reset_connections,
            "replace_core": replacements.replace_machine,
            "returns": replacements.bring_back,
            "seed_turnover": surroundings.change_seeds,
            "hup": surroundings.reload_settings,
            "clock_step": surroundings.step_clock,
            "ack_lost": surroundings.lose_answers,
            "client_kill": surroundings.kill_client,
            "client_reset": surroundings.reset_client,
        }

    def schedule(self, faults: Iterable[Fault]) -> None:
        """Have faults happen at their times, or as soon after as their turn comes."""
        for fault in faults:
            self.waiting += 1
            self._clock.at(fault.at, partial(self._take_turn, fault))

    def _take_turn(self, fault: Fault) -> None:
        if self.strike(fault):
            self.waiting -= 1
            self.on_strike()
        elif self._clock.now > fault.at + LONGEST_WAIT_S:
            self.waiting -= 1
        else:
            self._clock.later(RETRY_S, partial(self._take_turn, fault))

    def strike(self, fault: Fault) -> bool:
        """Have a fault happen now; return False where it has to wait its turn."""
        return self._kinds[fault.kind](fault)
