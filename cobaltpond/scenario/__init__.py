"""A scripted day over real sockets: processes started, troubles played, rules checked, a table printed."""
