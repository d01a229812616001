/* What the stand-ins share: loop with signals, clock, parsing of options.  */

#ifndef AM_STANDIN_PROGRAM_H
#define AM_STANDIN_PROGRAM_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/address.h"

struct argp_state;

/* Called once, at the first SIGTERM or SIGINT.  */
typedef void (*standin_stop) (void *userdata);

struct standin_program
{
  uv_loop_t loop;
  uv_signal_t terminate;
  uv_signal_t interrupt;
  standin_stop stop;
  void *userdata;
  bool stopping;
};

/* Sets up the loop of P and its signals.  STOP may be NULL: the loop ends at
   the signal.  Returns AM_OK or AM_E_IO.  */
int standin_program_init (struct standin_program *p, standin_stop stop,
                          void *userdata);

/* Runs the loop until standin_program_end; returns AM_EXIT_OK.  */
int standin_program_run (struct standin_program *p);

/* Ends the loop.  */
void standin_program_end (struct standin_program *p);

/* Closes every handle of the loop, without callbacks, and the loop.  For
   programs whose handles own no memory.  */
void standin_program_finish (struct standin_program *p);

/* Returns microseconds of CLOCK_MONOTONIC, the clock of the histories.  */
uint64_t standin_now_us (void);

/* Parses TEXT as a whole number of at most MAX.  Returns AM_OK or
   AM_E_FORMAT.  */
int standin_parse_number (uint64_t *n, const char *text, uint64_t max);

/* Parses TEXT as a share in [0, 1].  Returns AM_OK or AM_E_FORMAT.  */
int standin_parse_share (double *p, const char *text);

/* Parses "A=B" into two addresses.  Returns AM_OK or AM_E_FORMAT.  */
int standin_parse_address_pair (struct am_address *a, struct am_address *b,
                                const char *text);

/* Ends the parsing of an option whose value TEXT gave ERROR: returns
   ARGP_ERR_UNKNOWN for AM_E_NOT_FOUND (not an option of this program), 0
   else.  Any other error is a usage error, which ends the program.  */
int standin_option_result (struct argp_state *state, const char *text,
                           int error);

/* Writes one line about the failure ERROR of WHAT to standard error and
   returns STATUS.  */
int standin_fail (const char *program, const char *what, int error,
                  int status);

#endif
