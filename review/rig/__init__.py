"""Stand-ins of the platform and a harness of node processes for the cases."""
