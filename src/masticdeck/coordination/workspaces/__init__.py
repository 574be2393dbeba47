"""Which workspace a request belongs to, and what its requests may use."""
