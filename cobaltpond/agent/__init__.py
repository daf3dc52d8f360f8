"""Host agent: fetches builds, verifies them, and starts and stops their instances by the desk's orders."""
