"""Time constants of the control state, in seconds on the machine's steady clock.

The rates of two steady clocks may differ by one per cent; any two constants that a guarantee compares differ by more.
"""

from __future__ import annotations

# Leader and voters.
HEARTBEAT_INTERVAL_S = 0.12
LEASE_S = 0.6  # of a leader, from when it sent the heartbeat that a majority answered
VOTER_GUARD_S = 0.8  # after hearing a leader a voter votes for nobody else; exceeds LEASE_S
CONTACT_TIMEOUT_S = 1.6  # since a voter's last contact with a leader, for which it still grants singleton roles
LEADER_SEEN_TIMEOUT_S = 0.5  # since the leader was heard, for which callers are redirected to it
DISK_TIMEOUT_S = 0.6  # for a write of the leader, after which it steps down
RENEWAL_MIN_AGE_S = 2.0  # of a leadership, from which its leader may start a new epoch to win a voter back

# Elections.
CANDIDATE_STAGGER_S = 0.15  # between the holders of a copy, which become candidates one after the other
STOPPING_STAGGER_S = 0.5  # by which a holder whose process is stopping comes after all others
RETURNING_LEADER_DELAY_S = 0.1  # after its start, in which a returning leader connects to its voters
VOTE_YIELD_S = 0.4  # to twice that: left to the candidate that was promised a vote
CANDIDACY_TIMEOUT_S = 1.0  # after which a candidacy is abandoned
ABANDONED_PAUSE_S = 0.2  # after an abandoned candidacy, before the next one, at least
ABANDONED_SPREAD_S = 0.5  # up to which a drawn time is added to that
REJECTED_PAUSE_S = 0.1  # after a voter had promised more, before the next candidacy, at least
REJECTED_SPREAD_S = 0.4  # up to which a drawn time is added to that
REPLICA_WAIT_S = 0.06  # that a candidate with a majority waits for voters that are better replicas
RENEWAL_REPLICA_WAIT_S = 0.3  # the same, for a leader that starts a new epoch and has heard them just before
FOUNDING_WAIT_S = 1.2  # in which all founders announce themselves

# Replicas.
REPLICA_TIMEOUT_S = 0.7  # silence of a replica, or age of a change it has not answered, before it is replaced
REPLICA_EXCLUSION_S = 2.5  # in which a failed replica is not chosen again while there is another
LATE_EXCLUSION_S = 1.5  # in which a voter that did not answer a candidate in time is not waited for again
OTHER_ZONE_STEADY_S = 0.6  # for which a voter of another zone must be heard before copies are spread to it

# Voters and learners.
VOTER_EXCHANGE_S = 2.8  # silence after which a learner replaces a voter; exceeds CONTACT_TIMEOUT_S + leases.GRANT_S
VOTERS_STABLE_S = 1.2  # between two changes of the voters; exceeds leases.GRANT_S
VOTER_REMOVAL_S = 20.0  # silence after which one of an even number of voters is removed
MIN_VOTERS = 3
LEARNER_STEADY_S = 0.3  # for which a learner must be heard before it may become a voter
LEARNER_TIMEOUT_S = 1.0  # silence after which a learner counts as absent
MAX_LEARNER_LAG = 16  # changes that a learner may lack and still count as caught up
INSTALL_TIMEOUT_S = 2.0  # for a learner to install a copy, before it is sent again

# Calls and repeats.
CALL_WAIT_S = 0.8  # that a call waits for a leader
RETRY_INTERVAL_S = 0.25  # between repeats of what has no answer yet

NEVER = -1e9  # a time before all others
