"""The five rules, decided from what passed over sockets; apart from all gateway code."""
