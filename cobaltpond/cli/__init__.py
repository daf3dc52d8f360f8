"""The command `cobaltpond`: arguments, output, exit codes."""
