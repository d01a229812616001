#include "io/event_log.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "wire/bytes.h"

#define MAGIC 0x414d4556u /* "AMEV" */
#define VERSION 2u
#define OWNER_ONLY 0600

/* magic, version, log_decisions, id, boot id, seed, three names, key */
#define NAMES_OFFSET 26
#define CENTRE_OFFSET (NAMES_OFFSET + AM_NAME_SIZE)
#define REGION_OFFSET (CENTRE_OFFSET + AM_NAME_SIZE)
#define KEY_OFFSET (REGION_OFFSET + AM_NAME_SIZE)
#define OPTIONS_SIZE (KEY_OFFSET + AM_PEER_KEY_SIZE)

/* type, time, address, port, service, upstream, length, wall clock */
#define EVENT_SIZE 35

int
am_event_log_create (struct am_event_log *l, const char *file,
                     const struct am_dispatch_options *o)
{
  uint8_t buf[OPTIONS_SIZE] = { 0 };
  int fd = open (file, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, OWNER_ONLY);

  memset (l, 0, sizeof *l);
  if (fd < 0)
    return AM_E_IO;
  l->file = fdopen (fd, "wb");
  if (!l->file)
    {
      close (fd);
      return AM_E_IO;
    }
  am_put_u32 (buf, MAGIC);
  buf[4] = VERSION;
  buf[5] = o->log_decisions;
  am_put_u32 (buf + 6, o->self.id);
  am_put_u64 (buf + 10, o->self.boot_id);
  am_put_u64 (buf + 18, o->seed);
  memcpy (buf + NAMES_OFFSET, o->self.name, AM_NAME_SIZE);
  memcpy (buf + CENTRE_OFFSET, o->self.data_centre, AM_NAME_SIZE);
  memcpy (buf + REGION_OFFSET, o->self.region, AM_NAME_SIZE);
  memcpy (buf + KEY_OFFSET, o->peer_key, AM_PEER_KEY_SIZE);
  if (fwrite (buf, sizeof buf, 1, l->file) == 1)
    return AM_OK;
  am_event_log_close (l);
  return AM_E_IO;
}

static void
read_name (char *to, const uint8_t *from)
{
  memcpy (to, from, AM_NAME_SIZE);
  to[AM_NAME_SIZE - 1] = '\0';
}

static int
read_options (struct am_event_log *l, struct am_dispatch_options *o,
              uint8_t *peer_key)
{
  uint8_t buf[OPTIONS_SIZE];

  if (fread (buf, sizeof buf, 1, l->file) != 1)
    return AM_E_SHORT;
  if (am_get_u32 (buf) != MAGIC)
    return AM_E_FORMAT;
  if (buf[4] != VERSION)
    return AM_E_VERSION;
  o->log_decisions = buf[5] != 0;
  o->self.id = am_get_u32 (buf + 6);
  o->self.boot_id = am_get_u64 (buf + 10);
  o->seed = am_get_u64 (buf + 18);
  read_name (o->self.name, buf + NAMES_OFFSET);
  read_name (o->self.data_centre, buf + CENTRE_OFFSET);
  read_name (o->self.region, buf + REGION_OFFSET);
  memcpy (peer_key, buf + KEY_OFFSET, AM_PEER_KEY_SIZE);
  o->peer_key = peer_key;
  return AM_OK;
}

int
am_event_log_open (struct am_event_log *l, const char *file,
                   struct am_dispatch_options *o, uint8_t *peer_key)
{
  int err;

  memset (l, 0, sizeof *l);
  l->file = fopen (file, "rbe");
  if (!l->file)
    return AM_E_IO;
  err = read_options (l, o, peer_key);
  if (err)
    am_event_log_close (l);
  return err;
}

void
am_event_log_close (struct am_event_log *l)
{
  if (l->file)
    fclose (l->file);
  free (l->data);
  memset (l, 0, sizeof *l);
}

int
am_event_log_write (struct am_event_log *l, const struct am_event *e)
{
  uint8_t buf[EVENT_SIZE];

  buf[0] = (uint8_t)e->type;
  am_put_u64 (buf + 1, e->now_us);
  am_put_u32 (buf + 9, e->from.ip);
  am_put_u16 (buf + 13, e->from.port);
  am_put_u32 (buf + 15, e->service_id);
  am_put_u32 (buf + 19, e->upstream_id);
  am_put_u32 (buf + 23, (uint32_t)e->len);
  am_put_u64 (buf + 27, e->wall_ms);
  if (fwrite (buf, sizeof buf, 1, l->file) != 1)
    return AM_E_IO;
  if (e->len && fwrite (e->data, e->len, 1, l->file) != 1)
    return AM_E_IO;
  return AM_OK;
}

static int
read_data (struct am_event_log *l, size_t len)
{
  uint8_t *grown;

  if (len > AM_EVENT_DATA_MAX)
    return AM_E_TOO_LARGE;
  if (len > l->size)
    {
      grown = realloc (l->data, len);
      if (!grown)
        return AM_E_MEMORY;
      l->data = grown;
      l->size = len;
    }
  if (len && fread (l->data, len, 1, l->file) != 1)
    return AM_E_SHORT;
  return AM_OK;
}

int
am_event_log_read (struct am_event_log *l, struct am_event *e)
{
  uint8_t buf[EVENT_SIZE];
  size_t n = fread (buf, 1, sizeof buf, l->file);
  int err;

  if (n == 0)
    return AM_E_NOT_FOUND;
  if (n < sizeof buf)
    return AM_E_SHORT;
  if (buf[0] > AM_EVENT_DELTA)
    return AM_E_FORMAT;
  memset (e, 0, sizeof *e);
  e->type = (enum am_event_type)buf[0];
  e->now_us = am_get_u64 (buf + 1);
  e->from.ip = am_get_u32 (buf + 9);
  e->from.port = am_get_u16 (buf + 13);
  e->service_id = am_get_u32 (buf + 15);
  e->upstream_id = am_get_u32 (buf + 19);
  e->len = am_get_u32 (buf + 23);
  e->wall_ms = am_get_u64 (buf + 27);
  err = read_data (l, e->len);
  if (err)
    return err;
  e->data = l->data;
  return AM_OK;
}
