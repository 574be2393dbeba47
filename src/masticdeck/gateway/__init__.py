"""Entries on a live fleet: callers' requests, the directory and the life cycle."""
