"""Rate limits declared in the settings, with one meaning over all gateways."""
