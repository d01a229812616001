"""Small SVG plots with gnuplot, into docs/plots."""

import shutil
import subprocess

from cluster import ROOT

HEAD = """set terminal svg size 560,340 font 'sans,11'
set output '{path}'
set ylabel '{label}'
set yrange [0:*]
set grid ytics lc rgb '#dddddd'
set border 3
set xtics nomirror
set ytics nomirror
set key below
"""


def _run(name, script):
    """Draws docs/plots/NAME.svg if gnuplot is there."""
    if not shutil.which("gnuplot"):
        return
    folder = ROOT / "docs" / "plots"
    folder.mkdir(parents=True, exist_ok=True)
    subprocess.run(["gnuplot"], input=script.format(
        path=folder / f"{name}.svg"), text=True, check=True)


def lines(name, label, xlabel, series):
    """Lines through {title: [(x, y), ...]}."""
    script = HEAD.replace("{label}", label) + f"set xlabel '{xlabel}'\n"
    script += "plot " + ", ".join(
        f"'-' with linespoints title '{t}'" for t in series) + "\n"
    for points in series.values():
        script += "".join(f"{a} {b}\n" for a, b in points) + "e\n"
    _run(name, script)


def bars(name, label, values, bound):
    """One bar for each of {title: value}, and a line at BOUND."""
    script = HEAD.replace("{label}", label)
    script += ("set style fill solid 0.6\nset boxwidth 0.6\nunset key\n"
               f"plot '-' using 0:2:xtic(1) with boxes, {bound} with lines "
               "dashtype 2\n")
    script += "".join(f"{t.replace('_', '-')} {v}\n"
                      for t, v in values.items()) + "e\n"
    _run(name, script)
