#!/usr/bin/env python3
"""Writes a day for each kind of trouble that a deployment knows, alone and twice a day.

    scripts/kind_days.py SITE.toml FOLDER

SITE is a deployment's file; each entry of its `troubles` becomes FOLDER/NN-KIND.toml, to be given
to the bench as a day of one's own. The two moments are the same for all kinds, so that days compare.
"""

import pathlib
import sys
import tomllib

EVENT_TIMES_SECONDS = (5.0, 19.0)  # Seconds from the start of traffic: early and late in a day of 34 s.
PLANNED_KINDS = {"add_nodes", "big_config", "config_change", "config_storm", "hup", "release",
           "roll_term", "scale_in", "scale_out"}
SEED = 4900
HEADER = """# {kind} {how}, alone and twice.
name = "{name}"
slot = "trouble"
seed = {seed}
one = 1.05
zero = 0.7
goal = {{ floor = 0.3 }}
"""


def toml_literal(value):
    """Returns a value in TOML's form."""
    return f'"{value}"' if isinstance(value, str) else str(value)


def format_day(name, trouble):
    kind = trouble["kind"]
    text = HEADER.format(kind=kind, how=trouble.get("how", ""), name=name, seed=SEED)
    for part in ("plan", "faults"):
        text += f"{part} = [\n"
        if (kind in PLANNED_KINDS) == (part == "plan"):
            fields = ", ".join(f"{key} = {toml_literal(value)}" for key, value in trouble.items())
            text += "".join(f"  {{ at = {at}, {fields} }},\n" for at in EVENT_TIMES_SECONDS)
        text += "]\n"
    return text


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    folder = pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    with open(sys.argv[1], "rb") as file:
        troubles = tomllib.load(file)["troubles"]
    for number, trouble in enumerate(troubles):
        name = f"{number:02d}-{trouble['kind']}"
        (folder / f"{name}.toml").write_text(format_day(name, trouble))


if __name__ == "__main__":
    main()
