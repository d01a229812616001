/* Options of the programs that run on an entry VM.  */

#ifndef AM_IO_ENTRY_OPTIONS_H
#define AM_IO_ENTRY_OPTIONS_H

#include <stdbool.h>

struct argp;
struct am_fault;

struct am_entry_arguments
{
  const char *settings; /* --settings; never NULL after parsing, unless set
                           before it */
  bool check;           /* --check-settings */
};

/* Parser of the shared options, for struct argp_child.  Its input is a struct
   am_entry_arguments.  */
extern const struct argp am_entry_argp;

/* Writes one line about the fault F of the settings FILE to standard error.
   Returns AM_EXIT_DATA.  */
int am_entry_report_fault (const struct am_fault *f, const char *file);

#endif
