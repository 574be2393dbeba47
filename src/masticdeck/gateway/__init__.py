"""The gateway entry: request forwarding, directory, settings and life cycle."""
