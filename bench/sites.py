"""Copies the benchmark's real.json, wire.json and unlock.txt next to `deploy/sites/*.toml`.

    python bench/sites.py ../given/kit/more/node/sites

The repository holds no file of the kit; git ignores the three. Prints the missing files and exits with code 2
where the kit is absent.
"""

import argparse
import shutil
import sys
from pathlib import Path

SITES = Path(__file__).resolve().parent.parent / "deploy" / "sites"
KIT_FILES = ("real.json", "wire.json", "unlock.txt")


def main() -> int:
    """Copies the files and returns the exit code: 0, or 2 where the folder lacks one of them."""
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("kit", type=Path, help="folder of the kit with the site files")
    kit = options.parse_args().kit
    missing = [name for name in KIT_FILES if not (kit / name).is_file()]
    if missing:
        print(
            f"sites: {kit} has no {', '.join(missing)}: "
            f"the benchmark can't run the sites without these files",
            file=sys.stderr,
        )
        return 2
    for name in KIT_FILES:
        shutil.copyfile(kit / name, SITES / name)
    print(
        f"sites: {', '.join(KIT_FILES)} copied next to "
        f"{', '.join(path.name for path in sorted(SITES.glob('*.toml')))}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
