"""The gateway process: the frontend for clients, the instance connections, and the host of the decisions."""
