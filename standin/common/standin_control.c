#include "common/standin_control.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define COMMAND_SIZE 512

static void
on_command (void *userdata, struct am_address from, const uint8_t *data,
            size_t len)
{
  struct standin_control *c = userdata;
  char text[COMMAND_SIZE];
  char *words[STANDIN_WORDS_MAX];
  char *rest = text;
  json_t *reply = NULL;
  char *line;
  int count = 0;

  if (len >= sizeof text)
    return;
  memcpy (text, data, len);
  text[len] = '\0';
  for (int i = 0; i < STANDIN_WORDS_MAX; i++)
    {
      words[i] = strtok_r (i ? NULL : text, " \t\r\n", &rest);
      if (!words[i])
        words[i] = text + len;
      else
        count++;
    }
  if (count)
    reply = c->command (c->userdata, words, count);
  if (!reply)
    reply = json_pack ("{s:s}", "error", "unknown command or argument");
  line = json_dumps (reply, JSON_COMPACT);
  json_decref (reply);
  if (line)
    am_udp_send (&c->port, from, line, strlen (line));
  free (line);
}

int
standin_control_open (struct standin_control *c, uv_loop_t *loop,
                      struct am_address address, standin_command command,
                      void *userdata)
{
  memset (c, 0, sizeof *c);
  c->port.fd = -1;
  c->command = command;
  c->userdata = userdata;
  if (!address.port)
    return AM_OK;
  return am_udp_open (&c->port, loop, address, on_command, c);
}

json_t *
standin_control_ok (void)
{
  return json_pack ("{s:b}", "ok", 1);
}
