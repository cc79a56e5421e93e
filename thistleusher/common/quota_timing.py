"""Times and fractions by which the counter service and the proxies enforce rate limits, in and out of contact.

While a proxy is in contact, only the counter admits its tenants' requests. A proxy that has received no echo for
`LOCAL_QUOTA_FROM_S` admits requests by its share of each limit. The counter deducts that share from its own admissions
earlier: from `SHARE_DEDUCTION_START_S` after it sent the last echo that is known to have arrived.
`SHARE_DEDUCTION_START_S`, `DEDUCTION_REFRESH_S` and the travel time of a heartbeat together stay below
`LOCAL_QUOTA_FROM_S`, so no share is spent twice.
"""

# Times at a proxy, in seconds.
VERDICT_TIMEOUT_S = 0.25  # Time without the counter's verdict after which a proxy uses its reserve.
HEARTBEAT_S = 0.12  # Interval between a proxy's heartbeats to the counter.
STATUS_REPORT_S = 0.6  # Interval between full heartbeats, which also go to registries without the role.
# Time without an echo after which a full heartbeat goes to all registries at once, as another may hold the role.
ECHO_TIMEOUT_S = 0.3
LOCAL_QUOTA_FROM_S = 0.75  # Time without an echo after which a proxy admits by its share.
LOCAL_QUOTA_UNTIL_S = 15.0  # Time since the last echo after which a proxy no longer admits by its share.
CONTACT_LEASE_S = 15.0  # Time since the last echo after which a proxy has no part of the budgets that proxies divide.

# Times at the counter, in seconds.
SHARE_DEDUCTION_START_S = 0.5  # Time without a confirmed echo after which a proxy's share is deducted.
DEDUCTION_REFRESH_S = 0.05  # Maximum age of the sum of deducted shares.
SHARE_DEDUCTION_END_S = 20.0  # Time since the last echo after which a proxy's share is no longer deducted.
SHARE_COLLECTION_S = 1.0  # Time for which proxies without a share are collected before the first shares are assigned.

# Sizes of shares, as fractions.
FIRST_SHARES_FRACTION = 0.8  # Sum of the shares of the first proxies.
LATER_SHARE_MAX_FRACTION = 0.25  # Maximum of a later share, relative to what is unassigned.
LATER_SHARE_TO_SMALLEST_RATIO = 0.999  # Maximum of a later share, relative to the smallest share.

# Whole requests of a limit that all proxies together may hold in reserve: see `thistleusher.common.quota_shares`.
RESERVE_EXCESS_FRACTION = 0.25  # Fraction of the guarantee's relative excess (`quota_excess`).
RESERVE_SLACK_FRACTION = 0.5  # Fraction of the guarantee's absolute slack (`quota_slack`).
RESERVE_BURST_S = 0.4  # Seconds of the rate, taken from the part of the burst that the rate does not need.
RESERVE_FILL_S = 20.0  # Time in contact in which an empty reserve is filled.
SLOTS_PER_SPAN = 20  # Number of slots in which the counter sums a span; a count leaves it at most one slot late.
ISOLATED_RESERVE_S = 1.0  # Seconds of a share's accrual that a proxy out of contact may hold in reserve.

# Verdicts of the counter. Release 0.2 also had 2, "decide by your own share"; a proxy treats it as `OVER_LIMIT`.
ALLOWED = 0
OVER_LIMIT = 1
