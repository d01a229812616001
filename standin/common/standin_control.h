/* Control port of a stand-in: one text command a datagram, answered with one
   line of JSON.  */

#ifndef AM_STANDIN_CONTROL_H
#define AM_STANDIN_CONTROL_H

#include <jansson.h>

#include "io/udp_port.h"

#define STANDIN_WORDS_MAX 8

/* Carries out the command of COUNT words.  Returns a new JSON value, or NULL
   if there is no such command.  Words beyond COUNT are "".  */
typedef json_t *(*standin_command) (void *userdata, char *const *words,
                                    int count);

struct standin_control
{
  struct am_udp_port port;
  standin_command command;
  void *userdata;
};

/* Opens the port at ADDRESS; a zero port leaves C closed.  Returns AM_OK,
   AM_E_IO or AM_E_EXISTS.  */
int standin_control_open (struct standin_control *c, uv_loop_t *loop,
                          struct am_address address, standin_command command,
                          void *userdata);

/* Returns {"ok": true}.  */
json_t *standin_control_ok (void);

#endif
