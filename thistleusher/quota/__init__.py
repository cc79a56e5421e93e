"""Enforce customers' allowances with escrowed shares while the counter is unreliable, within a stated bound.

Pure: no I/O and no clock. Together, the ingresses of a customer's ingress set never admit more than the whole
allowance. The decision module requests verdicts through `core.decision_ports.Escrow`.
"""

from thistleusher.quota.bound import Bound, bound_of
from thistleusher.quota.escrow import EscrowTable
from thistleusher.quota.placement import Placement

__all__ = ["Bound", "EscrowTable", "Placement", "bound_of"]
