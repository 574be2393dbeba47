"""Order of waiting requests, their expected wait, and the return of refused callers."""
