#!/usr/bin/env python3
"""Draws days of the serving tier's deployments out of every kind of trouble that the bench knows.

    system_days.py SITE.toml COUNT SEED FOLDER [storm]

The bench's own hunt mixes only the troubles that a site lists; users play others too. Each day takes the traffic of one
of the site's standard days and a closing fault or none. The days are written to FOLDER, to be played by
`fleetbench run SITE DAY.toml`. The same seed gives the same days. With `storm` the troubles of a day begin within a few
seconds of each other, more of them, and most strike the control side: cuts of twenty seconds, races with lost
acknowledgements, replacements followed by losses, many changes.
"""
import random
import sys
import tomllib
from pathlib import Path

FAULTS = [
    "burst", "answer_lost", "garble", "node_kill", "node_freeze", "herd_kill", "after_ack_kill", "after_ack_wipe",
    "core_cut", "ack_lost", "srv_crash", "srv_slow", "srv_grey", "replace_with_reuse", "node_slow", "disk_slow",
    "disk_full", "disk_stall", "clock_step", "reset_conns", "node_cut", "srv_cut", "give_up",
]
PLANS = [
    "release", "roll_term", "add_nodes", "replace_core", "config_change", "config_race", "bad_config", "retire",
    "scale_out", "scale_in", "hup", "seed_turnover",
]
HOWS = {
    "garble": ["", "extra", "extra late", "unframed", "early"],
    "answer_lost": ["", "reset"],
    "node_kill": ["", "power", "leader", "reader", "seed", "turn", "power turn", "power meet drain",
                  "leader race drain hard", "meet drain"],
    "node_freeze": ["", "leader", "reader", "turn meet", "leader race"],
    "roll_term": ["", "busy", "remove"],
    "herd_kill": ["", "power", "taken", "taken power", "all taken"],
    "replace_core": ["", "planned", "oldest", "planned oldest"],
    "after_ack_kill": ["", "kill", "timed", "taken", "taken gone"],
    "after_ack_wipe": ["", "timed", "oldest", "taken"],
    "core_cut": ["", "one_way", "seeds", "both", "reset", "refuse", "all", "near", "oldest", "lure", "leader race",
                 "leader refuse race", "all leader meet", "near leader reader hard", "one_way race",
                 "oldest race lure refuse", "behind", "behind race", "split", "split race", "split lure", "relieve",
                 "relieve race meet", "lure race", "leader race drain"],
    "config_change": ["route", "weights", "timeout", "idle", "tenant", "quota"],
    "bad_config": ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
                   "same_version", "stale_match", "shared_key"],
    "retire": ["", "wipe"],
    "srv_crash": ["", "dark", "gone"],
    "srv_grey": ["errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "reset one_zone"],
    "srv_cut": ["", "fronts", "one_way", "reset"],
    "replace_with_reuse": ["", "drain", "dark"],
    "scale_in": ["", "spot"],
    "clock_step": ["back", "ahead"],
    "node_cut": ["", "servers", "all"],
}
ON_STORE = {"node_kill", "node_freeze", "after_ack_kill", "after_ack_wipe", "core_cut", "add_nodes", "replace_core",
            "disk_slow", "disk_full", "disk_stall", "node_slow"}
ON_CORE = {"node_kill", "node_freeze", "herd_kill", "node_slow", "disk_slow", "disk_full", "disk_stall"}
CLOSINGS = ["power_off_all", "wipe_after_ack", "kill_all"]
# With `all` every machine loses power as the disks go, those that don't count as well.
CLOSING_HOWS = ["", "timed", "taken", "oldest", "all", "timed all", "oldest all", "all taken"]
# What strikes the control side, for days of storms.
CONTROL_FAULTS = ["node_kill", "node_freeze", "herd_kill", "after_ack_kill", "after_ack_wipe", "core_cut", "core_cut",
                  "ack_lost", "disk_slow", "disk_stall", "clock_step", "node_cut"]
CONTROL_PLANS = ["replace_core", "replace_core", "retire", "retire", "config_race", "config_race", "config_change",
                 "roll_term", "add_nodes"]
STORM_S = 9.0
LONG_CUT_S = 20.0


def text(value):
    """A TOML value on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value + '"'
    if isinstance(value, list):
        return "[" + ", ".join(map(text, value)) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {text(entry)}" for key, entry in value.items()) + " }"
    return repr(value)


def trouble(draw, site, kind):
    """One entry of a day."""
    entry = {"at": round(draw.uniform(1.0, 26.0), 2), "kind": kind}
    if kind in HOWS:
        entry["how"] = draw.choice(HOWS[kind])
    if kind in ON_STORE and draw.random() < 0.4:
        entry["on"] = "store"
    elif kind in ON_CORE and draw.random() < 0.5:
        entry["on"] = "core"
    if kind == "retire":
        entry["for_s"] = 8.5
    elif kind not in ("config_change", "config_race", "bad_config"):
        entry["for_s"] = round(draw.uniform(1.0, 6.0), 1)
    if kind == "burst":
        entry["class"] = draw.choice([each["name"] for each in site["classes"] if each["worth"] > 0])
        entry["x"] = round(draw.uniform(1.4, 2.0), 1)
    if kind.startswith("srv_") or kind in ("answer_lost", "garble", "release", "scale_in", "scale_out"):
        entry["service"] = draw.choice([each["name"] for each in site["services"]])
    if kind in ("config_race", "bad_config"):
        entry["count"] = draw.randint(1, 3)
    return entry


def storm(draw, site, kinds, count):
    """Troubles within a few seconds of each other."""
    begin = draw.uniform(2.0, 18.0)
    entries = [trouble(draw, site, kind) for kind in draw.choices(kinds, k=count)]
    for entry in entries:
        entry["at"] = round(begin + draw.uniform(0.0, STORM_S), 2)
        if entry["kind"] == "core_cut" and draw.random() < 0.5:
            entry["for_s"] = LONG_CUT_S
        if entry["kind"] == "config_race":
            entry["count"] = draw.randint(2, 8)
    return entries


def day(draw, site, number, storms):
    """One day: traffic of a standard day, troubles of our own."""
    base = draw.choice([each for each in site["day"] if each["slot"] != "quiet"])
    drawn = {key: value for key, value in base.items() if key not in ("plan", "faults", "closing", "name")}
    drawn["name"] = f"drawn-{number}"
    drawn["seed"] = draw.randrange(1 << 30)
    if draw.random() < 0.6:
        drawn["closing"] = {"kind": draw.choice(CLOSINGS), "down_s": round(draw.uniform(1.0, 1.8), 1)}
        drawn["closing"]["how"] = draw.choice(CLOSING_HOWS)
    if storms:
        drawn["plan"] = storm(draw, site, CONTROL_PLANS + PLANS, draw.randint(3, 6))
        drawn["faults"] = storm(draw, site, CONTROL_FAULTS + FAULTS, draw.randint(4, 9))
        return drawn
    drawn["plan"] = [trouble(draw, site, kind) for kind in draw.choices(PLANS, k=draw.randint(2, 5))]
    drawn["faults"] = [trouble(draw, site, kind) for kind in draw.choices(FAULTS, k=draw.randint(2, 6))]
    return drawn


def main():
    storms = sys.argv[5:] == ["storm"]
    if len(sys.argv) != 5 and not storms:
        sys.exit(__doc__)
    path, count, seed, folder = Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3], Path(sys.argv[4])
    site = tomllib.loads(path.read_text())
    draw = random.Random(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for number in range(count):
        drawn = day(draw, site, number, storms)
        lines = ["[[day]]", *(f"{key} = {text(value)}" for key, value in drawn.items())]
        (folder / f"{path.stem}-{seed}-{number}.toml").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
