#include "common/standin_history.h"

#include <inttypes.h>
#include <stdarg.h>

#include "base/error.h"
#include "common/standin_program.h"

#define BUFFER_BYTES (256 << 10)

static void
on_prepare (uv_prepare_t *handle)
{
  struct standin_history *h = handle->data;

  fflush (h->out);
}

int
standin_history_open (struct standin_history *h, uv_loop_t *loop,
                      const char *file, const char *who)
{
  h->who = who;
  h->out = fopen (file, "ae");
  if (!h->out)
    return AM_E_IO;
  setvbuf (h->out, NULL, _IOFBF, BUFFER_BYTES);
  uv_prepare_init (loop, &h->flush);
  h->flush.data = h;
  uv_prepare_start (&h->flush, on_prepare);
  uv_unref ((uv_handle_t *)&h->flush);
  return AM_OK;
}

void
standin_history_event (struct standin_history *h, const char *event,
                       const char *format, ...)
{
  va_list args;

  fprintf (h->out, "{\"t\":%" PRIu64 ",\"who\":\"%s\",\"ev\":\"%s\"",
           standin_now_us (), h->who, event);
  if (*format)
    {
      fputc (',', h->out);
      va_start (args, format);
      vfprintf (h->out, format, args);
      va_end (args);
    }
  fputs ("}\n", h->out);
}

void
standin_history_close (struct standin_history *h)
{
  if (!h->out)
    return;
  uv_prepare_stop (&h->flush);
  fclose (h->out);
  h->out = NULL;
}
