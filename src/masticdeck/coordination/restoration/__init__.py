"""What holds after the platform's store has come back from an older copy."""
