"""What may be sent to instances while nothing confirms that they are not cold."""
