"""Time constants of the control state, in seconds on the machine's steady clock.

The rates of two steady clocks may differ by one per cent. Wherever a guarantee requires one constant to exceed another,
the two differ by more than that.
"""

from __future__ import annotations

# Leader and voters.
HEARTBEAT_INTERVAL_S = 0.12
LEASE_S = 0.6  # duration of a leader's lease, from the sending time of the heartbeats that a majority answered
VOTER_GUARD_S = 0.8  # a voter that has heard a leader rejects other candidates for this long; exceeds LEASE_S
CONTACT_TIMEOUT_S = 1.6  # a voter without contact to a leader for this long stops granting singleton roles
LEADER_SEEN_TIMEOUT_S = 0.5  # callers are redirected to a leader that has been heard within this time
OWN_WRITE_TIMEOUT_S = 0.6  # a leader steps down if a write to its own disk takes longer
RENEWAL_MIN_AGE_S = 2.0  # minimum age of a leadership before its leader starts a new epoch to win a voter back

# Elections.
CANDIDATE_STAGGER_S = 0.15  # delay between one copy holder's candidacy and the next holder's
STOPPING_STAGGER_S = 0.5  # additional delay for a copy holder whose process is stopping: it comes after all others
RETURNING_LEADER_DELAY_S = 0.1  # time for a restarted leader to connect to its voters before its candidacy
VOTE_YIELD_MIN_S = 0.4  # a voter that has voted waits one to two times this before it becomes a candidate itself
CANDIDACY_TIMEOUT_S = 1.0  # a candidacy is abandoned after this time
ABANDONED_RETRY_DELAY_S = 0.2  # minimum delay between an abandoned candidacy and the next one
ABANDONED_RETRY_JITTER_S = 0.5  # maximum random delay that is added to ABANDONED_RETRY_DELAY_S
REJECTED_RETRY_DELAY_S = 0.1  # minimum delay before the next candidacy after a voter had promised a higher epoch
REJECTED_RETRY_JITTER_S = 0.4  # maximum random delay that is added to REJECTED_RETRY_DELAY_S
BETTER_REPLICA_WAIT_S = 0.06  # a candidate that has a majority waits this long for voters that are better replicas
RENEWAL_BETTER_REPLICA_WAIT_S = 0.3  # the same for a leader that starts a new epoch, as it has just heard those voters
FOUNDING_WAIT_S = 1.2  # time for all founders to announce themselves
FOUNDING_PATIENCE_S = 2.4  # a seed waits this long for other seeds before it goes on without them
FOUNDING_STAGGER_S = 1.2  # delay between one seed's founding candidacy and the next seed's; exceeds CANDIDACY_TIMEOUT_S
FOUNDING_RECORD_WAIT_S = 0.5  # a founding candidate waits this long for the voters beyond the majority
FOUNDING_REPORT_INTERVAL_S = 5.0  # interval of log lines while the system is not founded, or the state is lost

# Replicas.
REPLICA_TIMEOUT_S = 0.7  # a replica that is silent, or has not acknowledged a change, for this long is replaced
REPLICA_EXCLUSION_S = 2.5  # a failed replica is not chosen again for this long if there is another
LATE_VOTER_EXCLUSION_S = 1.5  # a voter that did not answer a candidate in time is not waited for again for this long
OTHER_ZONE_MIN_HEARD_S = 0.6  # a voter of another zone must have been heard for this long before it gets a copy

# Voters and learners.
# Exceeds CONTACT_TIMEOUT_S + leases.GRANT_DURATION_S.
VOTER_REPLACEMENT_TIMEOUT_S = 2.8  # a learner replaces a voter that is silent for this long
VOTER_CHANGE_INTERVAL_S = 1.2  # minimum time between two changes of the voters; exceeds leases.GRANT_DURATION_S
VOTER_REMOVAL_TIMEOUT_S = 20.0  # if the number of voters is even, a voter silent for this long is removed
MIN_VOTERS = 3
LEARNER_MIN_HEARD_S = 0.3  # a learner must have been heard for this long before it may become a voter
LEARNER_TIMEOUT_S = 1.0  # a learner silent for this long counts as absent
MAX_LEARNER_LAG = 16  # maximum number of changes that a learner may lack and still count as caught up
INSTALL_TIMEOUT_S = 2.0  # a copy that a learner has not installed within this time is sent again

# Calls and repeats.
CALL_TIMEOUT_S = 0.8  # a call that no leader has answered within this time is rejected
RETRY_INTERVAL_S = 0.25  # delay before an unanswered message is sent again

NEVER = -1e9  # time stamp of an event that has not happened; earlier than every clock reading
