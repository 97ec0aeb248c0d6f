"""Virtual-time benchmark of the scheduling decisions."""
