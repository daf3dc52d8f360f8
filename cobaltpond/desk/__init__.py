"""The release desk: builds, stages, votes; orders to whoever starts and stops instances."""
