"""The gateway on the platform: PostgreSQL's protocol to clients and instances, the platform's calls to all
else."""
