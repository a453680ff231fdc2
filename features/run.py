"""Runs all behave features and prints a final line with the counts.

Scenarios tagged ``known_red`` are not run.  Each must be listed by name in
KNOWN-RED.txt, and each name there must belong to such a scenario, so that
nothing is skipped silently.
"""

from concurrent import futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import parser

# Features share no state; half of the cores stay free for stable timings.
WORKER_COUNT = max(1, (os.cpu_count() or 2) // 2)
ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def tagged_scenarios() -> set[str]:
    """Returns the names of all scenarios tagged ``known_red``."""
    names = set()
    for path in sorted((ROOT / "features").rglob("*.feature")):
        feature = parser.parse_file(str(path))
        for scenario in feature.walk_scenarios():
            if "known_red" in scenario.effective_tags:
                names.add(scenario.name)
    return names


def listed_scenarios() -> set[str]:
    """Returns the names on the ``scenario:`` lines of KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("scenario:").strip()
        for line in lines
        if line.startswith("scenario:")
    }


def count_results(report: list[dict]) -> tuple[int, int]:
    """Returns how many scenarios passed and failed in behave's report."""
    statuses = [
        element.get("status", "failed")
        for feature in report
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    passed = statuses.count("passed")
    skipped = statuses.count("skipped")
    return passed, len(statuses) - passed - skipped


def run_behave(paths: list[str]) -> tuple[str, int, int]:
    """Runs behave on some features in a separate process.

    Args:
        paths: Feature files and behave options.

    Returns:
        The output, and how many scenarios passed and failed.
    """
    with tempfile.TemporaryDirectory() as folder:
        out = pathlib.Path(folder) / "report.json"
        cmd = [sys.executable, "-m", "behave", "--tags=not @known_red"]
        cmd += ["--no-capture", "--format=json", f"--outfile={out}"]
        cmd += ["--format=progress", "--outfile=/dev/stdout", *paths]
        completed = subprocess.run(
            cmd,
            cwd=ROOT,
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
        )
        report_text = out.read_text() if out.exists() else "[]"
    try:
        passed, failed = count_results(json.loads(report_text or "[]"))
    except json.JSONDecodeError:
        passed, failed = 0, 1
    if completed.returncode and not failed:
        failed = 1
    return completed.stdout, passed, failed


def main() -> int:
    """Runs the features in parallel and returns the exit status."""
    tagged, listed = tagged_scenarios(), listed_scenarios()
    for name in sorted(tagged & listed):
        print(f"known red, not run: {name}")
    mismatched = sorted(tagged ^ listed)
    for name in mismatched:
        print(f"known_red tag and KNOWN-RED.txt disagree on: {name}")
    if sys.argv[1:]:
        path_groups = [sys.argv[1:]]
    else:
        feature_files = sorted((ROOT / "features").rglob("*.feature"))
        path_groups = [[str(path.relative_to(ROOT))] for path in feature_files]
    passed, failed = 0, len(mismatched)
    with futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
        for output, passed_here, failed_here in pool.map(
            run_behave, path_groups
        ):
            print(output if failed_here else summary_lines(output), flush=True)
            passed, failed = passed + passed_here, failed + failed_here
    print(f"tests: {passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


def summary_lines(output: str) -> str:
    """Returns the summary lines of a run without failures."""
    lines = output.splitlines()
    names = [line for line in lines if line.startswith("features/")]
    return "\n".join(names + [x for x in lines if "scenario" in x][-1:])


if __name__ == "__main__":
    sys.exit(main())
