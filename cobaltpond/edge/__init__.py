"""Gateway for PostgreSQL traffic.

It speaks PostgreSQL's protocol to clients and instances, and the platform's HTTP calls to everything else.
"""
