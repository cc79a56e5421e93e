"""Times of the control state, in seconds on the machine's steady clock.

Steady clocks may differ in rate by a hundredth; every pair of times that a guarantee compares leaves more than that.
"""

from __future__ import annotations

HEARTBEAT_S = 0.12  # between heartbeats of the leader
LEASE_S = 0.6  # of a leader, from when it sent the heartbeat that a majority answered
GUARD_S = 0.8  # of a voter, from when it heard the leader: it helps nobody else; over LEASE_S
CONTACT_S = 1.6  # since a voter was last in contact, for which it grants leases of duties
EXCHANGE_S = 2.8  # silence after which a learner takes a voter's place; over CONTACT_S + leases.GRANT_S
SETTLE_S = 1.2  # between two changes of the voters; over leases.GRANT_S
SHRINK_S = 20.0  # silence after which one of an even number of voters is taken out
LEAST_VOTERS = 3
LEARNER_S = 0.3  # for which a learner must have been heard before it may get a vote
LEARNER_GONE_S = 1.0  # without a word from a learner, after which it is not counted on
LAG_MOST = 16  # changes that a learner may be behind and still count as caught up
INSTALL_S = 2.0  # for a learner to install a copy, before it is sent again
FOUND_S = 1.2  # in which all founders come
RETRY_S = 0.25  # between repeats of what has no answer yet
TURN_S = 0.15  # by which each holder of a copy stands later than the one before it
RETURN_S = 0.1  # after its start, in which a leader that comes back finds its voters
YIELD_S = 0.4  # to twice that: left to another that was promised a vote
REPLICAS_COME_S = 0.06  # that a candidate with a majority waits for voters that may hold copies better
REPLICAS_HEARD_S = 0.3  # the same, of a leader that begins anew and has heard them just before
LATE_SHUN_S = 1.5  # in which a voter that did not answer in that time is not waited for again
STOPPING_TURN_S = 0.5  # by which a holder whose process is about to end stands later than any other
CANDIDACY_S = 1.0  # after which an attempt to lead is given up
DISK_S = 0.6  # that a write of the leader may take before it steps down
REPLICA_S = 0.7  # without a word from a replica, or without its answer to a change, before another takes its place
ABROAD_S = 0.6  # for which a voter of another zone has been heard, before the copies are spread to it
HOLD_S = 0.8  # that a call waits for a leader
LEADER_SEEN_S = 0.5  # since the leader was heard, for which callers are sent to it
SHUN_S = 2.5  # in which a replica that failed is not chosen again while there is another
STEADY_S = 2.0  # after its begin, from which a leader may begin anew to win a voter back

NEVER = -1e9
