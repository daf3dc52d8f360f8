"""Builds: signed manifests, a content-addressed store, and fetching from several sources."""
