"""Who may hand out or do what, for how long, with which fence."""
