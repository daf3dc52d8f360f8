"""The agent of a host: fetches a build, makes sure of it, starts it, and takes it back when told."""
