"""Membership of gateways: failure detection by SWIM with Lifeguard, and what gateways gossip to each other.

The design is described in docs/notes-members.md."""
