"""How callers' connections end, so that whole answers reach their callers."""
