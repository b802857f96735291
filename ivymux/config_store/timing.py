"""How long replicas wait for one another, in seconds, and bounds on memberships."""

LEASE_S = 0.75  # for which a member stands by a primary, from when it heard of it
LEASE_MARGIN = 0.85  # part of that for which the primary counts on it, from when it asked
RENEWAL_INTERVAL_S = 0.2  # between a primary's requests for its lease
RENEWALS_PER_RECORD = 5  # of so many requests at least one has the whole record; the others its number alone
BACKUP_TIMEOUT_S = 1.0  # without a word after which the backup counts as lost
JOIN_INTERVAL_S = 0.3  # between the requests of a machine that would be a member
BACKUP_DISK_TIMEOUT_S = (
    2.0  # for which what is on the primary's disk waits for the backup's; a slow commit takes 0.5
)
DISK_DISTRUST_S = 20.0  # for which such a member is made the backup only where nobody else can be
MEMBER_TIMEOUT_S = 2.5  # without a word after which a member is let out, where others suffice
RETRY_INTERVAL_S = 0.35  # after which what is asked for a new epoch, or of the backup, is asked again
TRANSFER_RETRY_INTERVAL_S = 0.45  # the same of a whole state, which may be large; below BACKUP_SILENCE twice
PROGRESS_TIMEOUT_S = 10.0  # without progress after which a new epoch that waits for a disk is begun anew
MIN_DEFERRAL_S = (
    2 * RETRY_INTERVAL_S
)  # for which a member lets another's attempt go on before it begins one, at first
MAX_DEFERRAL_S = 8.0  # and at the most, doubled with each that came to nothing
MAX_DISK_DEFERRAL_S = 20.0  # for which it lets one go on that waits for a disk
LOST_MAJORITY_TIMEOUT_S = 0.5  # without a majority's votes after which a primary leads no more
PROCESS_PAUSE_S = 0.3  # between two calls of a replica after which its process has stood still
DRAIN_S = 0.3  # for which a primary that leaves lets changes end before it hands over
RECLAIM_DELAY_S = 1.5  # after which one that has handed over, and hears of no new epoch, leads again
MIN_MEMBERS = 3
