"""The settings of a deployment: a Starlark file, read into validated, immutable values."""

from cobaltpond.settings.deployment import DeploymentSettings
from cobaltpond.settings.reader import SettingsError, read_settings

__all__ = ["SettingsError", "DeploymentSettings", "read_settings"]
