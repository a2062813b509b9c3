"""Checks that deployed code, settings and policies name no deployment, scenario or benchmark.

Behaviour must depend on observations instead. Comments are exempt.
"""

import os
import re
import unittest

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
FOLDERS = ("src", "platform", "deploy")
EXCLUDED_FOLDERS = ("sim", "standin")  # Simulators, not deployed.
# Names of deployments, their zones, services, routes and scenarios, and of the benchmark.
DEPLOYMENT_NAMES = re.compile(
    r"lantern|cflc|cascadia|\bquote-|\bptf\b|check-?in\b|-grown|\bpnw\b|\bhall-|-hall\b|tallinn|\btln\b"
    r"|tacoma|everett|seattle|rate-(watch|push)|packet-(docs|pull)|desk-|manifest|gate-push|browse-session"
    r"|rights-lookup|plate-(fetch|delivery)|catalogue|fleetbench|trouble-\d|scale-\d|quiet-\d"
    r"|\brli\b|varese|\blom-[abc]\b|lombardia|ciorba|\bcluj\b|ro-north|reteta|card-press|profile-card"
    r"|mentor-reply|class-export|kitchen-feed|cookbook|recipe-card",
    re.IGNORECASE)
COMMENTS = {
    ".cc": re.compile(r"//[^\n]*|/\*.*?\*/", re.DOTALL),
    ".h": re.compile(r"//[^\n]*|/\*.*?\*/", re.DOTALL),
    ".lua": re.compile(r"--[^\n]*"),
    ".toml": re.compile(r"#[^\n]*"),
    ".template": re.compile(r"^#[^\n]*", re.MULTILINE),
}


def code_files():
    for folder in FOLDERS:
        for path, folders, names in os.walk(os.path.join(ROOT, folder)):
            folders[:] = [name for name in folders if name not in EXCLUDED_FOLDERS]
            for name in names:
                if os.path.splitext(name)[1] in COMMENTS:
                    yield os.path.join(path, name)


def lines_naming_deployments(text, suffix):
    """Returns the lines of code, without comments, that match DEPLOYMENT_NAMES."""
    code = COMMENTS[suffix].sub("", text)
    return [line.strip() for line in code.splitlines() if DEPLOYMENT_NAMES.search(line)]


class DeploymentNamesTest(unittest.TestCase):
    def test_code_names_no_deployment(self):
        found = []
        for path in code_files():
            with open(path, encoding="utf-8") as file:
                lines = lines_naming_deployments(file.read(), os.path.splitext(path)[1])
            found += [f"{os.path.relpath(path, ROOT)}: {line}" for line in lines]
        self.assertEqual(found, [])

    def test_names_are_found_in_code_but_not_in_comments(self):
        self.assertEqual(lines_naming_deployments('if (zone == "hall-a") {', ".cc"),
                         ['if (zone == "hall-a") {'])
        self.assertEqual(
            lines_naming_deployments("int a = 1;  // As on lantern-archive trouble-1.", ".cc"), [])
        self.assertEqual(lines_naming_deployments('return zone == "tln-pirita"', ".lua"),
                         ['return zone == "tln-pirita"'])


if __name__ == "__main__":
    unittest.main()
