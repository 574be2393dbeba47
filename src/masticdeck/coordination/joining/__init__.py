"""What an entry that starts has to learn before it may decide by itself."""
