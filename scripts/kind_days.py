#!/usr/bin/env python3
"""Generates one scenario for each fault kind of a deployment.

    scripts/kind_days.py SITE.toml FOLDER

SITE is a deployment file; each entry of its `troubles` becomes FOLDER/NN-KIND.toml. Every scenario
contains its fault twice, at the same times, so that the results are comparable.
"""

import pathlib
import sys
import tomllib

EVENT_TIMES_SECONDS = (5.0, 19.0)  # After the start of traffic; a scenario lasts 34 s.
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
    """Returns a value as a TOML literal."""
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
