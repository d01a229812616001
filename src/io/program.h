/* What every program shares: version, exit codes, random ids.  */

#ifndef AM_IO_PROGRAM_H
#define AM_IO_PROGRAM_H

/* Sets up argp for the program NAME (static): --version, and exit with
   AM_EXIT_USAGE on bad arguments.  Call it before argp_parse.  */
void am_program_init (const char *name);

/* Returns the documented exit code for ERROR (enum am_error).  */
int am_program_exit_code (int error);

#endif
