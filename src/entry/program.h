/* Entry point of the program amaranth-entry.  */

#ifndef AM_ENTRY_PROGRAM_H
#define AM_ENTRY_PROGRAM_H

#include "entry/adapter.h"

/* Runs the program with ADAPTER until it has shut down after SIGTERM.  The
   settings file is the argument of --settings, or else the value of the
   environment variable VARIABLE.  Returns an exit code (enum am_exit).  */
int am_entry_main (int argc, char **argv, const struct am_adapter *adapter,
                   const char *variable);

#endif
