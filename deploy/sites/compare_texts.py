#!/usr/bin/env python3
"""Plays the same days with the same seeds on two or more texts and prints the paired differences.

    compare_texts.py --bench PROGRAM --tree NAME=FOLDER --tree NAME=FOLDER... --seeds 1,2,3 --why TEXT SITE=DAY[,DAY]...

Each tree is a checkout with its own build; the first one is compared with. SITE is a site file, DAY the name of one of
its days or a TOML file. Days are played with `--no-cpu`, so that a difference is one of decisions. For the worth, each
of its parts and each price the mean difference is printed with its 95% bootstrap interval over pairs.
"""
import argparse
import json
import random
import subprocess
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

BOOTSTRAP_ROUNDS = 2000
LEAST_SHOWN = 0.0002


def read_arguments():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--tree", action="append", required=True)
    parser.add_argument("--seeds", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("days", nargs="+")
    return parser.parse_args()


def play(bench, tree, site, day, seed, why):
    """One play: figures by name, or None with what the bench said."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--report", report.name, "--why", why]
        done = subprocess.run(command, cwd=tree, capture_output=True, text=True)
        text = Path(report.name).read_text()
        if not text:
            return None, (done.stdout + done.stderr)[-300:]
        return figures(json.loads(text)), None


def figures(report):
    """The worth, its parts, what failed, and the prices."""
    values = {"worth": report["G"], "failed": report["failed"], "broken rules": len(report["breaks"])}
    values["fault"] = float(report["fault"] is not None)
    values.update({f"part: {name}": value for name, _, value in report["parts"]})
    values.update({f"price: {name}": value for name, _, value in report["prices"] if value})
    return values


def interval(differences):
    """Mean and 95% bootstrap interval."""
    draw = random.Random(1)
    count = len(differences)
    means = sorted(sum(draw.choices(differences, k=count)) / count for _ in range(BOOTSTRAP_ROUNDS))
    low, high = means[BOOTSTRAP_ROUNDS // 40], means[-BOOTSTRAP_ROUNDS // 40]
    return sum(differences) / count, low, high


def show(title, first, second, keys):
    """Prints the paired differences of the plays `keys`."""
    names = sorted({name for key in keys for name in (*first[key], *second[key])})
    print(f"\n{title}: {len(keys)} pairs")
    for name in names:
        before = [first[key].get(name, 0.0) for key in keys]
        after = [second[key].get(name, 0.0) for key in keys]
        mean, low, high = interval([right - left for left, right in zip(before, after)])
        if max(abs(low), abs(high)) < LEAST_SHOWN:
            continue
        start = sum(before) / len(before)
        sure = "" if low <= 0.0 <= high else "  *"
        print(f"  {name:48} {start:8.4f} {start + mean:8.4f}  {mean:+.4f} [{low:+.4f}, {high:+.4f}]{sure}")


def main():
    arguments = read_arguments()
    trees = [entry.split("=", 1) for entry in arguments.tree]
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    plays = []
    for entry in arguments.days:
        site, days = entry.rsplit("=", 1)
        plays += [(str(Path(site).resolve()), day, seed) for day in days.split(",") for seed in seeds]
    for _, folder in trees:
        subprocess.run([arguments.bench, "build"], cwd=folder, capture_output=True, check=True)
    results = {name: {} for name, _ in trees}
    with ThreadPoolExecutor(arguments.jobs) as pool:
        jobs = {
            pool.submit(play, arguments.bench, folder, *key, arguments.why): (name, key)
            for key in plays
            for name, folder in trees
        }
        for job, (name, key) in jobs.items():
            values, error = job.result()
            if values is None:
                print(f"not played: {name} {key}: {error}")
            else:
                results[name][key] = values
    base = trees[0][0]
    for name, _ in trees[1:]:
        both = [key for key in plays if key in results[base] and key in results[name]]
        print(f"\n== {name} against {base}")
        for day in dict.fromkeys(key[:2] for key in both):
            show(f"{Path(day[0]).stem} {Path(day[1]).stem}", results[base], results[name],
                 [key for key in both if key[:2] == day])
        show("all", results[base], results[name], both)


if __name__ == "__main__":
    main()
