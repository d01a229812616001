"""Rewrites the table of docs/MEASUREMENTS.md between its two markers."""

import os
import re

from cluster import ROOT
from summary import summarize

BEGIN = "<!-- measurements: begin -->"
END = "<!-- measurements: end -->"
HEAD = ["experiment", "figure", "median (bound)", "lowest to highest",
        "command", "seeds", "ratio to the baseline", "holds in every run"]


def machine():
    """Cores and memory, nothing else."""
    with open("/proc/meminfo", encoding="ascii") as f:
        kib = int(re.search(r"MemTotal: *(\d+)", f.read()).group(1))
    return f"{os.cpu_count()} cores, {round(kib / 2**20)} GiB of memory"


def number(value):
    return "none" if value is None else f"{value:.7g}"


def extent(lowest, highest):
    """The spread, if there is one."""
    return "-" if lowest == highest else f"{number(lowest)} to {number(highest)}"


def ratios(s):
    """The ratios to baselines of the same runs, if there are any."""
    found = []
    for name, value in s["figures"].items():
        if "ratio" in name and value is not None:
            low, high = s["lowest"][name], s["highest"][name]
            text = f"{name} {number(value)}"
            found.append(text if low == high
                         else f"{text} ({extent(low, high)})")
    return ", ".join(found) or "-"


def plain(text):
    """TEXT without paths of this machine and without column marks."""
    text = re.sub(r"(?<![\w.])/[^\s'\",:)]+", "FILE",
                  text.replace(f"{ROOT}/", ""))
    return " ".join(text.replace("|", "/").split())[:80]


def failed(count, runs):
    return "yes" if count == 0 else f"no ({count} of {runs} failed)"


def rows(results):
    """One row for each bound of an experiment, and for each run without a
    verdict on its bounds."""
    s = summarize(results)
    runs = len(results)
    seeds = str(s["seed"])
    command = f"scripts/experiment {s['name']} --seed {s['seed']}"
    if runs > 1:
        command += f" --runs {runs}"
        seeds += f" to {s['seeds'][-1]}"
    shown = ratios(s)
    for b in s["bound"]:
        yield [s["name"], b["figure"],
               f"{number(b['median'])} ({b['bound']})",
               extent(b["lowest"], b["highest"]), command, seeds, shown,
               failed(len(b["failed_seeds"]), runs)]
        shown = "-"
    for run in s["runs"]:
        if not run["pass"] and ("error" in run or not run["failed"]):
            yield [s["name"], "run ended early: "
                   + plain(run.get("error", "no bound")), "none", "-",
                   f"scripts/experiment {s['name']} --seed {run['seed']}",
                   str(run["seed"]), "-", "no"]


def line(cells):
    return "| " + " | ".join(cells) + " |"


def kept_rows(old, names):
    """{experiment: its lines} of the table OLD, but for NAMES.  A table with
    other columns is dropped."""
    kept = {}
    if line(HEAD) in old:
        for text in old.split(line(["---"] * len(HEAD)))[1].splitlines():
            cells = text.split(" | ")
            if len(cells) == len(HEAD):
                kept.setdefault(cells[0].removeprefix("| "), []).append(text)
    return {name: kept[name] for name in kept if name not in names}


def table(results, order, old=""):
    """The table with the RESULTS of some experiments and the rows that OLD
    has of the others, in ORDER."""
    names = {r["name"] for r in results}
    found = kept_rows(old, names)
    for name in names:
        found[name] = [*map(line, rows([r for r in results
                                        if r["name"] == name]))]
    lines = [BEGIN, "", f"Machine: {machine()}, shared.", "", line(HEAD),
             line(["---"] * len(HEAD))]
    for name in order:
        lines += found.get(name, [])
    return "\n".join([*lines, "", END])


def rewrite(path, results, order):
    """Puts RESULTS into the table of the page at PATH."""
    text = path.read_text(encoding="utf-8")
    if BEGIN not in text or END not in text:
        raise ValueError(f"{path.name}: no markers")
    head, rest = text.split(BEGIN, 1)
    old, tail = rest.split(END, 1)
    path.write_text(head + table(results, order, old) + tail,
                    encoding="utf-8")
