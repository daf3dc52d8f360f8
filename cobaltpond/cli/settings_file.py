"""Reads the settings file that a command names."""

import sys

import click

from cobaltpond.settings import SettingsError, read_settings


def load_settings(path: str):
    """Returns the `DeploymentSettings` of a settings file.

    Prints the error and exits with code 2 where the file is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return read_settings(path, file.read())
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
