"""Limits declared in the sheet, one meaning over all gateways."""
