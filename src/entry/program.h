/* The program amaranth-entry: one process of one entry VM.  */

#ifndef AM_ENTRY_PROGRAM_H
#define AM_ENTRY_PROGRAM_H

#include "entry/adapter.h"

/* Runs the program until SIGTERM has taken effect.  The settings file is the
   argument of --settings, or else named by the environment variable VARIABLE.
   Returns an exit code (enum am_exit).  */
int am_entry_main (int argc, char **argv, const struct am_adapter *adapter,
                   const char *variable);

#endif
