"""The running gateway: a door for clients, connections to instances, and the host of the decisions."""
