"""Release controller and router that move traffic between builds in stages."""
