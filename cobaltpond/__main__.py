"""Entry point of `python -m cobaltpond`."""

from cobaltpond.cli.main import main

if __name__ == "__main__":
    main()
