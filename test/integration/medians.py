"""Several runs of one experiment as one result.  Guards against a run that
failed and is hidden by the median, by its place among the runs or by an early
end, and against a table without the spread."""

import common
from measurements import rows, table
from summary import summarize


def result(seed, value, error=None):
    """A run with one bound, value <= 10; an error ends it before that."""
    r = {"name": "drain", "seed": seed, "policy": "local", "pass": value <= 10,
         "bound": [{"figure": "delay", "bound": "<= 10", "value": value,
                    "holds": value <= 10}],
         "figures": {"delay": value, "delay_ratio_to_none": value / 2},
         "violations": []}
    if error:
        r.update({"pass": False, "error": error, "bound": [], "figures": {}})
    return r


def check_all_hold(t):
    results = [result(1, 4), result(2, 9), result(3, 5)]
    s = summarize(results)
    t.expect(s["pass"] and s["figures"]["delay"] == 5
             and (s["lowest"]["delay"], s["highest"]["delay"]) == (4, 9)
             and s["seeds"] == [1, 2, 3], f"{s}")
    t.expect([r["pass"] for r in s["runs"]] == [True] * 3, f"{s}")
    t.expect(list(rows(results)) == [[
        "drain", "delay", "5 (<= 10)", "4 to 9",
        "scripts/experiment drain --seed 1 --runs 3", "1 to 3",
        "delay_ratio_to_none 2.5 (2 to 4.5)", "yes"]], f"{[*rows(results)]}")


def check_one_fails(t):
    """The median holds the bound, the last run does not."""
    results = [result(1, 4), result(2, 5), result(3, 11)]
    s = summarize(results)
    t.expect(s["figures"]["delay"] == 5 and not s["pass"]
             and not s["bound"][0]["holds"]
             and s["bound"][0]["failed_seeds"] == [3], f"{s}")
    found = [row[-1] for row in rows(results)]
    t.expect(found == ["no (1 of 3 failed)"], f"{found}")


def check_one_ends_early(t):
    for place in range(3):
        results = [result(seed, 4) for seed in (1, 2, 3)]
        results[place] = result(place + 1, 4, "OSError: /tmp/x | gone")
        s = summarize(results)
        t.expect(not s["pass"] and not s["bound"][0]["holds"]
                 and "error" in s["runs"][place], f"{s}")
        found = [*rows(results)]
        t.expect([row[-1] for row in found] == ["no (1 of 3 failed)", "no"],
                 f"{found}")
        t.expect(found[1][1] == "run ended early: OSError: FILE / gone",
                 f"{found}")


def check_other_rows_stay(t):
    """A table with another experiment keeps its rows, in the given order."""
    other = [dict(result(1, 3), name="store")]
    old = table(other, ["drain", "store"])
    both = table([result(1, 4)], ["drain", "store"], old)
    new = table([result(1, 5)], ["drain", "store"], both)
    found = [text.split(" | ")[:3] for text in new.splitlines()
             if "delay" in text]
    t.expect(found == [["| drain", "delay", "5 (<= 10)"],
                       ["| store", "delay", "3 (<= 10)"]], f"{found}")


def body(t):
    check_other_rows_stay(t)
    check_all_hold(t)
    check_one_fails(t)
    check_one_ends_early(t)


if __name__ == "__main__":
    common.run(body, __file__)
