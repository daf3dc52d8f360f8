"""Command line interface `cobaltpond`: arguments, output and exit codes."""
