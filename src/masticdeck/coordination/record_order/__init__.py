"""Which of several writes of a record is in use, in whatever order they arrive."""
