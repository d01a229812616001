"""Several runs of one experiment as one result: medians and spread.

A bound holds only if it holds in every run; the median never decides."""

import statistics


def is_number(value):
    return (isinstance(value, (int, float)) and not isinstance(value, bool))


def spread(values):
    """Median, lowest and highest of the numbers among VALUES."""
    numbers = [v for v in values if is_number(v)]
    if not numbers:
        return {"median": None, "lowest": None, "highest": None}
    return {"median": round(statistics.median(numbers), 6),
            "lowest": min(numbers), "highest": max(numbers)}


def in_order(results, names):
    """Every name that names(result) gives for any of the results, in order.
    """
    return list(dict.fromkeys(n for r in results for n in names(r)))


def bounds(results):
    """One entry for each bound of any run.  A run that did not come as far as
    to judge it does not hold it."""
    rows = []
    for figure, limit in in_order(results, lambda r: [
            (b["figure"], b["bound"]) for b in r["bound"]]):
        judged = [next((b for b in r["bound"]
                        if (b["figure"], b["bound"]) == (figure, limit)),
                       {"value": None, "holds": False}) for r in results]
        rows.append({"figure": figure, "bound": limit,
                     **spread([b["value"] for b in judged]),
                     "failed_seeds": [r["seed"] for r, b
                                      in zip(results, judged)
                                      if not b["holds"]],
                     "holds": all(b["holds"] for b in judged)})
    return rows


def verdict(result):
    """Seed and verdict of one run, with what was wrong."""
    found = {"seed": result["seed"], "pass": result["pass"],
             "failed": [b["figure"] for b in result["bound"]
                        if not b["holds"]]}
    if "error" in result:
        found["error"] = result["error"]
    return found


def summarize(results):
    """The runs of one experiment as one result."""
    figures = {name: spread([r["figures"].get(name) for r in results])
               for name in in_order(results, lambda r: r["figures"])}
    return {"name": results[0]["name"], "seed": results[0]["seed"],
            "seeds": [r["seed"] for r in results],
            "policy": results[0]["policy"],
            "pass": all(r["pass"] for r in results),
            "runs": [verdict(r) for r in results], "bound": bounds(results),
            "figures": {n: s["median"] for n, s in figures.items()},
            "lowest": {n: s["lowest"] for n, s in figures.items()},
            "highest": {n: s["highest"] for n, s in figures.items()},
            "violations": [v for r in results for v in r["violations"]][:10]}
