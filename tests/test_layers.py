"""Layers of the package: which packages may import which, and which may call the operating system."""

import ast
import pathlib


def test_only_loop_calls_the_operating_system():
    """Outside loop/ no module uses clocks, sockets, random numbers, processes or files directly, because
    the simulated kernel could not replace such a call. Exceptions: the command line opens the files
    that it is given, and `os.path` and `os.makedirs` are allowed.
    """
    root = pathlib.Path(__file__).parent.parent / "cobaltpond"
    forbidden = {
        "time",
        "socket",
        "select",
        "selectors",
        "random",
        "subprocess",
        "threading",
        "asyncio",
        "signal",
        "secrets",
        "datetime",
        "uuid",
        "resource",
        "multiprocessing",
    }
    violations = []
    for path in sorted(root.rglob("*.py")):
        package = path.relative_to(root).parts[0]
        for node in ast.walk(ast.parse(path.read_text())):
            names = (
                [a.name for a in node.names]
                if isinstance(node, ast.Import)
                else ([node.module or ""] if isinstance(node, ast.ImportFrom) else [])
            )
            violations += [
                f"{path.name}: import {n}"
                for n in names
                if n.split(".")[0] in forbidden and package != "loop"
            ]
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "open":
                violations += [f"{path.name}: open"] if package not in ("loop", "cli") else []
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "os":
                is_allowed = package == "loop" or node.attr in ("path", "makedirs")
                violations += [] if is_allowed else [f"{path.name}: os.{node.attr}"]
    assert not violations, violations


def test_packages_import_only_lower_layers():
    """Checks the layers of docs/architecture.md. The decisions and the bench adapter may import nothing
    beyond their own two packages.
    """
    order = [
        "decisions",
        "benchlink",
        "loop",
        "wire",
        "settings",
        "wal",
        "rpc",
        "builds",
        "audit",
        "members",
        "recovery",
        "leases",
        "limits",
        "gateway",
        "edge",
        "desk",
        "agent",
        "standins",
        "scenario",
        "sim",
        "cli",
    ]
    allowed_imports = {
        "decisions": {"decisions"},
        "benchlink": {"benchlink", "decisions"},
        "loop": {"loop"},
        "wire": {"wire"},
        "audit": {"audit"},
        "members": {"members", "loop"},
        "recovery": {"recovery", "members", "wal", "loop"},
        "leases": {"leases", "decisions", "members", "loop"},
        "limits": {"limits"},
        "wal": {"wal", "loop"},
        "settings": {"settings", "wire"},
        "builds": {"builds", "loop", "wire"},
        "desk": {"desk", "builds", "wal", "loop", "wire", "settings", "rpc", "recovery"},
        "agent": {"agent", "builds", "wal", "loop", "wire", "settings", "rpc"},
        "standins": {"standins", "builds", "loop", "wire", "rpc"},
    }
    root, violations = pathlib.Path(__file__).parent.parent / "cobaltpond", []
    for path in sorted(root.rglob("*.py")):
        package = path.relative_to(root).parts[0]
        if package not in order:
            continue
        allowed = allowed_imports.get(package, set(order[: order.index(package) + 1]))
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("cobaltpond."):
                imported_package = node.module.split(".")[1]
                violations += (
                    [f"{path.relative_to(root)} imports {imported_package}"]
                    if imported_package not in allowed
                    else []
                )
    assert not violations, violations
