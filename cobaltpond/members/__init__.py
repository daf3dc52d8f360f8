"""Who of the gateways is there, who has failed, what may be taken from another one
(docs/notes-members.md)."""
