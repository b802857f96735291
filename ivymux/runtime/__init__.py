"""What each process of the system starts from: settings file, log, system time, signals."""
