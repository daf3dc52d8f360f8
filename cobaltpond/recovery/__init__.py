"""Coming back: phases of a gateway that begins, budgets, warm start, snapshots, a desk that lost its
state."""
