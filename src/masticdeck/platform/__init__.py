"""Translation between the users' platform and masticdeck's own types.

This package alone knows the platform's calls, keys, fields and headers. It
decides nothing: each name is decoded once, into a type of ``masticdeck.state``
or ``masticdeck.protocol`` whose fields say what they hold.
"""
