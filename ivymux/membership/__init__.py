"""Where a front door's workers come from: files that are watched, last good lists that are kept."""
