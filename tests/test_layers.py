"""The layers of the package: who may import whom, and who may call the operating system."""

import ast
import pathlib


def test_nobody_goes_round_the_kernel():
    """Above loop/ nothing reads clocks, sockets, chance, processes or files by itself. The command line reads
    the files that it is given; the decisions and the bench's adapter import only what they always did."""
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
    bad = []
    for path in sorted(root.rglob("*.py")):
        room = path.relative_to(root).parts[0]
        for node in ast.walk(ast.parse(path.read_text())):
            names = (
                [a.name for a in node.names]
                if isinstance(node, ast.Import)
                else ([node.module or ""] if isinstance(node, ast.ImportFrom) else [])
            )
            bad += [
                f"{path.name}: import {n}" for n in names if n.split(".")[0] in forbidden and room != "loop"
            ]
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "open":
                bad += [f"{path.name}: open"] if room not in ("loop", "cli") else []
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "os":
                fine = room == "loop" or node.attr in ("path", "makedirs")
                bad += [] if fine else [f"{path.name}: os.{node.attr}"]
    assert not bad, bad


def test_rooms_import_only_from_rooms_below():
    """The order of docs/architecture.md."""
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
    alone = {
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
    root, bad = pathlib.Path(__file__).parent.parent / "cobaltpond", []
    for path in sorted(root.rglob("*.py")):
        room = path.relative_to(root).parts[0]
        if room not in order:
            continue
        allowed = alone.get(room, set(order[: order.index(room) + 1]))
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("cobaltpond."):
                other = node.module.split(".")[1]
                bad += [f"{path.relative_to(root)} imports {other}"] if other not in allowed else []
    assert not bad, bad
