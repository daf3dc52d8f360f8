"""Plays crowds of clients and signals against real gateway processes on loopback, and checks the rules."""
