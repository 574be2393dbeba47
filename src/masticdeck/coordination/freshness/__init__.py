"""Proofs of how recent a replica is, which no delay on the way makes younger."""
