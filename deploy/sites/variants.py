#!/usr/bin/env python3
"""Writes two customers of our own beside this file, made out of the operators' sites in ../given.

The operators' bench plays them like the first site. What is written stays out of git; docs/acceptance.md says in
what they differ. Without ../given: one line, exit code 2.
"""
import shutil
import sys
import tomllib
from pathlib import Path

HERE = Path(__file__).resolve().parent
KIT = HERE.parents[2] / "given" / "kit"
OTHER = KIT / "more" / "mass" / "other"
BESIDE = ["real.json", "wire.json", "unlock.txt"]


def text(value):
    """A TOML value on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(map(text, value)) + "]"
    return repr(value)


def document(table, path=()):
    """A table in TOML: its values first, then the tables in it."""
    lines = [f"{key} = {text(value)}" for key, value in table.items() if not is_table(value)]
    for key, value in table.items():
        name = ".".join((*path, key))
        if isinstance(value, dict):
            lines += ["", f"[{name}]", *document(value, (*path, key))]
        elif is_table(value):
            for entry in value:
                lines += ["", f"[[{name}]]", *document(entry, (*path, key))]
    return lines


def is_table(value):
    return isinstance(value, dict) or (isinstance(value, list) and value and isinstance(value[0], dict))


def operation(name, share, work, objective, timeout, worth, **more):
    return {
        "name": name, "share": share, "work_ms": work, "dist": "lognormal", "cv": [0.6, 1.2],
        "attempt_noise": [0.2, 0.45], "aim_ms": objective, "deadline_ms": timeout, "worth": worth,
        "late_worth": 0, "effect": "safe", **more,
    }


def library(site):
    """Three operations, one of them non-idempotent; two plans with other shares, limits and costs."""
    site["name"] = "biblioteca"
    site["class"] = [
        operation("hojear", [0.45, 0.6], [70, 120], 900, 3000, 1),
        operation("anotar", [0.2, 0.3], [50, 90], 700, 2500, 2, effect="keyed", group="all", window_ms=1800),
        operation("reservar", [0.15, 0.25], [60, 100], 800, 2800, 4, effect="unsafe"),
    ]
    site["tenant"] = [
        {"name": "barrio", "share": 0.6, "usage": [0.8, 1.2]},
        {"name": "central", "share": 0.4, "usage": [0.8, 1.2]},
    ]
    plans = site["fam"]["plan"]
    plans[0].update(rate=[2.2, 3.4], burst_s=[2.0, 3.0], price=1.0, over_cost=0.8)
    plans[2].update(rate=[9, 14], burst_s=[1.5, 2.5], price=2.2, over_cost=1.0)
    site["fam"]["plan"] = [plans[0], plans[2]]


def workshop(site):
    """Short latency objectives and integration timeouts, a short window for repeats; four plans."""
    site["name"] = "taller"
    site["class"] = [
        operation("mirar", [0.5, 0.7], [25, 45], 220, 700, 2),
        operation("corregir", [0.1, 0.2], [30, 50], 260, 800, 1, late_worth=0.4),
        operation("firmar", [0.15, 0.3], [20, 40], 200, 650, 5, effect="keyed", group="all", window_ms=450),
    ]
    names = [("libre", 0.3), ("grupo", 0.3), ("centro", 0.25), ("red", 0.15)]
    site["tenant"] = [{"name": name, "share": share, "usage": [0.8, 1.2]} for name, share in names]
    plans = site["fam"]["plan"]
    plans[0].update(rate=[1.1, 1.9], burst_s=[2.5, 4.0], price=0.5)
    plans[1].update(price=1.0, over_cost=0.9)
    plans[2].update(price=1.5, over_cost=0.3)
    plans.append({**plans[2], "rate": [24, 36], "price": 2.5, "ceiling": [1.4, 2.0]})


VARIANTS = [
    ("biblioteca", OTHER / "lima-lecturas.toml", library),
    ("taller", KIT / "sites" / "tareas-qro.toml", workshop),
]


def main():
    missing = [path for path in [source for _, source, _ in VARIANTS] if not path.is_file()]
    if missing:
        print(f"variants: {missing[0].name} of the operators' kit is not here", file=sys.stderr)
        return 2
    for name, source, change in VARIANTS:
        site = tomllib.loads(source.read_text())
        change(site)
        folder = HERE / name
        folder.mkdir(exist_ok=True)
        for beside in BESIDE:
            shutil.copyfile(source.parent / beside, folder / beside)
        (folder / f"{name}.toml").write_text("\n".join(document(site)) + "\n")
        print(folder / f"{name}.toml")
    return 0


if __name__ == "__main__":
    sys.exit(main())
