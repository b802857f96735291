"""Intervals and time-outs of replicas."""

# Leases.
LEASE_S = 0.75  # for which a member grants its lease, from when it receives the request
LEASE_MARGIN = 0.85  # share of LEASE_S for which the primary counts on a grant, from when it sent the request
RENEWAL_INTERVAL_S = 0.2  # between a primary's lease requests
RENEWALS_PER_RECORD = 5  # one of this many lease requests carries the whole epoch record, not just its number
LOST_MAJORITY_TIMEOUT_S = 0.5  # without a majority's grants, after which a primary steps down
PROCESS_PAUSE_S = 0.3  # a longer time between two calls of a replica means that its process was paused

# Members and backups.
BACKUP_TIMEOUT_S = 1.0  # without a message, after which the backup counts as lost
BACKUP_DISK_TIMEOUT_S = 2.0  # for which a primary waits for the backup's disk; a slow commit takes 0.5 s
DISK_DISTRUST_S = 20.0  # for which a member whose disk timed out becomes the backup only if no other can
MEMBER_TIMEOUT_S = 2.5  # without a message, after which a member is removed if enough others remain
JOIN_INTERVAL_S = 0.3  # between the requests of a machine that asks to become a member

# Elections.
RETRY_INTERVAL_S = 0.35  # after which an unanswered request for a new epoch or to the backup is repeated
TRANSFER_RETRY_INTERVAL_S = 0.45  # the same for a state transfer; two intervals fit into BACKUP_TIMEOUT_S
PROGRESS_TIMEOUT_S = 10.0  # without progress, after which an attempt that waits for a disk is abandoned
MIN_DEFERRAL_S = 2 * RETRY_INTERVAL_S  # for which a member defers to another's first attempt
MAX_DEFERRAL_S = 8.0  # the deferral doubles with each failed attempt, up to this
MAX_DISK_DEFERRAL_S = 20.0  # for which a member defers to an attempt that waits for a disk
FIRST_START_DELAY_S, FIRST_START_RANK_DELAY_S = 0.05, 0.3  # before a seed's first attempt, by its rank
# Pauses after a stalled or a refused attempt, times the number of failed attempts, at most times the factor.
STALL_PAUSE_S, MAX_STALL_FACTOR = 0.05, 8
REFUSAL_PAUSE_S, REFUSAL_RANK_PAUSE_S, MAX_REFUSAL_FACTOR = 0.03, 0.15, 4  # the rank pause is added per rank
TAKEOVER_RANK_DELAY_S = 0.2  # between the attempts of an epoch's backups; an election takes less

# A primary whose process ends.
DRAIN_S = 0.3  # for which the primary lets pending changes complete before it hands over
RECLAIM_DELAY_S = 1.5  # after a handover, when it may try to lead again if it has received no new epoch
