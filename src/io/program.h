/* What every program shares: version, exit codes, random ids.  */

#ifndef AM_IO_PROGRAM_H
#define AM_IO_PROGRAM_H

struct argp;

/* Sets up argp for the program NAME (static): --version, and exit with
   AM_EXIT_USAGE on bad arguments.  Call it before am_program_parse.  */
void am_program_init (const char *name);

/* As argp_parse without flags, but a usage error is one line on standard
   error and ends the process with AM_EXIT_USAGE.  Returns 0 or an error
   number.  */
int am_program_parse (const struct argp *argp, int argc, char **argv,
                      void *input);

/* Returns the documented exit code for ERROR (enum am_error).  */
int am_program_exit_code (int error);

#endif
