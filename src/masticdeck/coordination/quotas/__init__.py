"""Bounds the requests of a workspace over all entries.

See ``docs/design/quotas.md``.
"""
