"""What each process of the system is told and how it speaks: settings file, log, steady system time."""
