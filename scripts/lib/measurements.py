"""Rewrites the table of docs/MEASUREMENTS.md between its two markers."""

import os
import re

from experiment import median

BEGIN = "<!-- measurements: begin -->"
END = "<!-- measurements: end -->"


def machine():
    """Cores and memory, nothing else."""
    with open("/proc/meminfo", encoding="ascii") as f:
        kib = int(re.search(r"MemTotal: *(\d+)", f.read()).group(1))
    return f"{os.cpu_count()} cores, {round(kib / 2**20)} GiB of memory"


def number(value):
    return f"{value:g}" if isinstance(value, (int, float)) else "none"


def ratio(results):
    """The ratio to the baseline of the same run, if there is one."""
    found = {k: median([r["figures"][k] for r in results
                        if k in r["figures"]])
             for k in results[0]["figures"] if "ratio" in k}
    return ", ".join(f"{k} {v:g}" for k, v in found.items()) or "-"


def rows(name, results):
    """One row for each bound of an experiment."""
    seeds = sorted({r["seed"] for r in results})
    shown = (f"{seeds[0]}" if len(seeds) == 1
             else f"{seeds[0]} to {seeds[-1]}")
    command = f"scripts/experiment {name} --seed {seeds[0]}"
    if "error" in results[0]:
        yield (f"| {name} | not measured: {results[0]['error'][:80]} | | "
               f"{command} | {shown} | - | no |")
    for i, bound in enumerate(results[0]["bound"]):
        values = [r["bound"][i]["value"] for r in results
                  if len(r["bound"]) > i
                  and r["bound"][i]["value"] is not None]
        holds = all(len(r["bound"]) > i and r["bound"][i]["holds"]
                    for r in results)
        yield (f"| {name} | {bound['figure']} | "
               f"{number(median(values)) if values else 'none'} "
               f"({bound['bound']}) | {command} | {shown} | "
               f"{ratio(results) if i == 0 else '-'} | "
               f"{'yes' if holds else 'no'} |")


def table(results, options):
    names = list(dict.fromkeys(r["name"] for r in results))
    lines = [BEGIN, "", f"Machine: {machine()}, shared. "
             f"Median of {options.runs} run(s).", "",
             "| experiment | figure | measured (bound) | command | seed | "
             "ratio to the baseline | holds |",
             "| --- | --- | --- | --- | --- | --- | --- |"]
    for name in names:
        lines += rows(name, [r for r in results if r["name"] == name])
    return "\n".join([*lines, "", END])


def rewrite(path, results, options):
    text = path.read_text(encoding="utf-8")
    if BEGIN not in text or END not in text:
        raise ValueError(f"{path.name}: no markers")
    head, rest = text.split(BEGIN, 1)
    tail = rest.split(END, 1)[1]
    path.write_text(head + table(results, options) + tail, encoding="utf-8")
