"""Environment that puts a program behind the partition of libam_cut."""

import os


def partition_environment(build, cut_file, address):
    """Variables for a program on the VM at address; build is the folder of the
    build, cut_file holds the pairs that are separated."""
    return {
        "LD_PRELOAD": str(build / "test" / "libam_cut.so"),
        "AM_CUT_FILE": str(cut_file),
        "AM_CUT_SELF": address + ".",
        "ASAN_OPTIONS": ":".join(filter(None, [
            os.environ.get("ASAN_OPTIONS"), "verify_asan_link_order=0"])),
    }
