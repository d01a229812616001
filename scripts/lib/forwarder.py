"""Metrics of a forwarder, read over its port as an operator would."""

import re
import urllib.request

METRICS_PORT = 7003


def metric(vm, name, **labels):
    """Sum of the values of amaranth_NAME that carry all the LABELS."""
    url = f"http://{vm.address}:{METRICS_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        text = answer.read().decode()
    total = 0.0
    for line in text.splitlines():
        found = re.match(r"amaranth_(\w+)(?:\{(.*)\})? (\S+)$", line)
        if found and found[1] == name and all(
                f'{k}="{v}"' in (found[2] or "") for k, v in labels.items()):
            total += float(found[3])
    return total
