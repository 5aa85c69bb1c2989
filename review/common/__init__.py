"""Stand-ins of the review: minions, clients, an operator and the platform."""
