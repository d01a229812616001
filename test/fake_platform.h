/* A small store and small agents inside a test program.  The kernel chooses
   their ports, so that test programs of several build folders may run at the
   same time.  */

#ifndef AM_TEST_FAKE_PLATFORM_H
#define AM_TEST_FAKE_PLATFORM_H

#include <arpa/inet.h>
#include <check.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "own_address.h"
#include "record/record.h"
#include "wire/frame.h"

#define STORE_HOST 1
#define AGENT_HOST 2 /* of the first */
#define KEYS_MAX 16
#define AGENTS 3

struct fake_key
{
  char name[128];
  char *value;
  size_t len;
  uint64_t index;
};

struct fake_store
{
  pthread_mutex_t lock;
  struct MHD_Daemon *daemon;
  char url[64];
  struct fake_key keys[KEYS_MAX];
  size_t count;
  uint64_t index;
  unsigned writes;        /* that took effect */
  unsigned lose_answers;  /* writes that take effect without an answer */
  unsigned lose_requests; /* writes dropped without an answer */
  bool outage;
  /* Written by somebody else just before the next write of a record.  */
  char *race;
};

struct fake_upload
{
  char *data;
  size_t len;
};

static struct fake_key *
store_find (struct fake_store *s, const char *name)
{
  for (size_t i = 0; i < s->count; i++)
    if (strcmp (s->keys[i].name, name) == 0)
      return &s->keys[i];
  return NULL;
}

static void
store_put (struct fake_store *s, const char *name, const char *value,
           size_t len)
{
  struct fake_key *k = store_find (s, name);

  if (!k)
    {
      ck_assert_uint_lt (s->count, KEYS_MAX);
      k = &s->keys[s->count++];
      snprintf (k->name, sizeof k->name, "%s", name);
    }
  free (k->value);
  k->value = malloc (len + 1);
  ck_assert_ptr_nonnull (k->value);
  memcpy (k->value, value, len);
  k->value[len] = '\0';
  k->len = len;
  k->index = ++s->index;
}

static enum MHD_Result
store_answer (struct MHD_Connection *c, unsigned status, char *text)
{
  struct MHD_Response *r = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result = MHD_queue_response (c, status, r);

  MHD_destroy_response (r);
  return result;
}

static enum MHD_Result
store_get (struct fake_store *s, struct MHD_Connection *c, const char *prefix)
{
  json_t *list = json_array ();
  char *text;

  for (size_t i = 0; i < s->count; i++)
    {
      const struct fake_key *k = &s->keys[i];
      size_t size
          = sodium_base64_encoded_len (k->len, sodium_base64_VARIANT_ORIGINAL);
      char *encoded = malloc (size);

      sodium_bin2base64 (encoded, size, (const unsigned char *)k->value,
                         k->len, sodium_base64_VARIANT_ORIGINAL);
      if (strncmp (k->name, prefix, strlen (prefix)) == 0)
        json_array_append_new (
            list, json_pack ("{s:s, s:s, s:I}", "Key", k->name, "Value",
                             encoded, "ModifyIndex", (json_int_t)k->index));
      free (encoded);
    }
  text = json_dumps (list, 0);
  size_t n = json_array_size (list);
  json_decref (list);
  return store_answer (c, n ? 200 : 404, text);
}

static enum MHD_Result
store_cas (struct fake_store *s, struct MHD_Connection *c, const char *name,
           const struct fake_upload *u)
{
  const char *cas
      = MHD_lookup_connection_value (c, MHD_GET_ARGUMENT_KIND, "cas");
  bool record
      = strncmp (name, AM_RECORD_PREFIX, strlen (AM_RECORD_PREFIX)) == 0;
  const struct fake_key *k;
  bool fits;

  if (record && s->lose_requests)
    {
      s->lose_requests--;
      return MHD_NO;
    }
  if (record && s->race)
    {
      store_put (s, name, s->race, strlen (s->race));
      free (s->race);
      s->race = NULL;
    }
  k = store_find (s, name);
  fits = cas && strtoull (cas, NULL, 10) == (k ? k->index : 0);
  if (fits)
    {
      store_put (s, name, u->data ? u->data : "", u->len);
      s->writes += record;
    }
  if (record && s->lose_answers)
    {
      s->lose_answers--;
      return MHD_NO;
    }
  return store_answer (c, 200, strdup (fits ? "true" : "false"));
}

static enum MHD_Result
store_handle (void *userdata, struct MHD_Connection *c, const char *url,
              const char *method, const char *version, const char *data,
              size_t *len, void **context)
{
  struct fake_store *s = userdata;
  struct fake_upload *u = *context;
  enum MHD_Result result;

  (void)version;
  if (!u)
    {
      *context = calloc (1, sizeof *u);
      return MHD_YES;
    }
  if (*len)
    {
      u->data = realloc (u->data, u->len + *len);
      memcpy (u->data + u->len, data, *len);
      u->len += *len;
      *len = 0;
      return MHD_YES;
    }
  if (strncmp (url, "/v1/kv/", 7) != 0)
    return store_answer (c, 404, strdup (""));
  pthread_mutex_lock (&s->lock);
  if (s->outage)
    result = store_answer (c, 503, strdup ("outage"));
  else if (strcmp (method, "GET") == 0)
    result = store_get (s, c, url + 7);
  else
    result = store_cas (s, c, url + 7, u);
  pthread_mutex_unlock (&s->lock);
  return result;
}

static void
store_completed (void *userdata, struct MHD_Connection *c, void **context,
                 enum MHD_RequestTerminationCode code)
{
  struct fake_upload *u = *context;

  (void)userdata;
  (void)c;
  (void)code;
  if (u)
    free (u->data);
  free (u);
}

static void
store_start (struct fake_store *s)
{
  struct sockaddr_in sa
      = own_sockaddr ((struct am_address){ own_ip (STORE_HOST), 0 });
  char ip[INET_ADDRSTRLEN];
  const union MHD_DaemonInfo *info;

  memset (s, 0, sizeof *s);
  pthread_mutex_init (&s->lock, NULL);
  inet_ntop (AF_INET, &sa.sin_addr, ip, sizeof ip);
  s->daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, store_handle, s,
      MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
      MHD_OPTION_NOTIFY_COMPLETED, store_completed, NULL, MHD_OPTION_END);
  ck_assert_ptr_nonnull (s->daemon);
  info = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_BIND_PORT);
  snprintf (s->url, sizeof s->url, "http://%s:%u", ip, info->port);
}

static void
store_stop (struct fake_store *s)
{
  MHD_stop_daemon (s->daemon);
  for (size_t i = 0; i < s->count; i++)
    free (s->keys[i].value);
  free (s->race);
}

/* An agent of an entry VM: takes records and says that they are in force.  */
struct fake_agent
{
  unsigned number;
  struct am_address address;
  char address_text[AM_ADDRESS_TEXT_SIZE];
  pthread_t thread;
  int fd;
  const uint8_t *key;
  bool deaf; /* takes no records */
  unsigned stops;
  size_t count;
  struct am_record records[KEYS_MAX];
};

static struct fake_agent *fake_agents; /* AGENTS of them */

static void
agent_take (struct fake_agent *a, const Amaranth__RecordList *list)
{
  for (size_t i = 0; i < list->n_records && !a->deaf; i++)
    {
      struct am_record r;
      struct am_fault f;
      size_t at;

      if (am_record_parse_json (&r, (char *)list->records[i]->text.data,
                                list->records[i]->text.len, &f))
        continue;
      for (at = 0; at < a->count; at++)
        if (strcmp (a->records[at].name, r.name) == 0)
          break;
      if (at == a->count)
        a->count++;
      else
        am_record_finish (&a->records[at]);
      a->records[at] = r;
    }
}

static void
agent_send (struct fake_agent *a, int fd, const Amaranth__Envelope *e)
{
  size_t len = amaranth__envelope__get_packed_size (e);
  uint8_t *frame = malloc (AM_FRAME_HEADER_SIZE + len);

  amaranth__envelope__pack (e, frame + AM_FRAME_HEADER_SIZE);
  am_frame_seal (a->key, frame + AM_FRAME_HEADER_SIZE, len, frame);
  /* The command may have closed the connection already.  */
  if (send (fd, frame, AM_FRAME_HEADER_SIZE + len, MSG_NOSIGNAL) < 0)
    shutdown (fd, SHUT_RDWR);
  free (frame);
}

static void
agent_member (Amaranth__Member *m, unsigned number)
{
  static char *const names[] = { "vm-1", "vm-2", "vm-3" };

  amaranth__member__init (m);
  m->id = number + 1;
  m->name = names[number];
  m->data_centre = "lv-a";
  m->ip = fake_agents[number].address.ip;
  m->control_port = fake_agents[number].address.port;
}

static void
agent_status (struct fake_agent *a, int fd)
{
  Amaranth__Member members[AGENTS];
  Amaranth__Member *list[AGENTS];
  Amaranth__RecordVersion versions[KEYS_MAX];
  Amaranth__RecordVersion *in_force[KEYS_MAX];
  Amaranth__StatusReply body = AMARANTH__STATUS_REPLY__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  for (unsigned i = 0; i < AGENTS; i++)
    {
      agent_member (&members[i], i);
      list[i] = &members[i];
    }
  for (size_t i = 0; i < a->count; i++)
    {
      amaranth__record_version__init (&versions[i]);
      versions[i].name = a->records[i].name;
      versions[i].revision = a->records[i].revision;
      versions[i].write_id = a->records[i].write_id;
      in_force[i] = &versions[i];
    }
  body.self = list[a->number];
  body.n_members = AGENTS;
  body.members = list;
  body.n_in_force = body.n_records = a->count;
  body.in_force = body.records = in_force;
  e.body_case = AMARANTH__ENVELOPE__BODY_STATUS_REPLY;
  e.status_reply = &body;
  agent_send (a, fd, &e);
}

/* Answers with every record it has; the command picks the newer ones.  */
static void
agent_records (struct fake_agent *a, int fd)
{
  Amaranth__Record records[KEYS_MAX];
  Amaranth__Record *list[KEYS_MAX];
  Amaranth__RecordList body = AMARANTH__RECORD_LIST__INIT;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;

  for (size_t i = 0; i < a->count; i++)
    {
      amaranth__record__init (&records[i]);
      records[i].text.data = (uint8_t *)am_record_to_json (&a->records[i]);
      records[i].text.len = strlen ((char *)records[i].text.data);
      list[i] = &records[i];
    }
  body.n_records = a->count;
  body.records = list;
  e.body_case = AMARANTH__ENVELOPE__BODY_RECORD_LIST;
  e.record_list = &body;
  agent_send (a, fd, &e);
  for (size_t i = 0; i < a->count; i++)
    free (records[i].text.data);
}

static void
agent_simple (struct fake_agent *a, int fd, const Amaranth__Envelope *request)
{
  Amaranth__Explain explain = AMARANTH__EXPLAIN__INIT;
  Amaranth__MetricsReply metrics = AMARANTH__METRICS_REPLY__INIT;
  Amaranth__Metric metric = AMARANTH__METRIC__INIT;
  Amaranth__Metric *one = &metric;
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  char *line = "flow=7 upstream=u";

  if (request->body_case == AMARANTH__ENVELOPE__BODY_EXPLAIN)
    {
      explain.id = request->explain->id;
      explain.n_lines = explain.id == 7;
      explain.lines = &line;
      e.body_case = AMARANTH__ENVELOPE__BODY_EXPLAIN;
      e.explain = &explain;
    }
  else
    {
      metric.name = "am_flows";
      metric.value = 3;
      metrics.n_metrics = 1;
      metrics.metrics = &one;
      e.body_case = AMARANTH__ENVELOPE__BODY_METRICS_REPLY;
      e.metrics_reply = &metrics;
    }
  agent_send (a, fd, &e);
}

static void
agent_answer (struct fake_agent *a, int fd, const Amaranth__Envelope *request)
{
  switch (request->body_case)
    {
    case AMARANTH__ENVELOPE__BODY_STATUS_REQUEST:
      agent_status (a, fd);
      break;
    case AMARANTH__ENVELOPE__BODY_RECORD_LIST:
      agent_take (a, request->record_list);
      break;
    case AMARANTH__ENVELOPE__BODY_DIGEST_REQUEST:
      agent_records (a, fd);
      break;
    case AMARANTH__ENVELOPE__BODY_STOP_REQUEST:
      a->stops++;
      shutdown (fd, SHUT_RDWR);
      break;
    case AMARANTH__ENVELOPE__BODY_EXPLAIN:
    case AMARANTH__ENVELOPE__BODY_METRICS_REQUEST:
      agent_simple (a, fd, request);
      break;
    default:
      break;
    }
}

static void
agent_serve (struct fake_agent *a, int fd)
{
  static const size_t size = 1 << 20;
  uint8_t *buf = malloc (size);
  size_t len = 0;
  ssize_t n;

  while ((n = recv (fd, buf + len, size - len, 0)) > 0)
    {
      const uint8_t *message;
      size_t message_len;
      size_t used;

      len += (size_t)n;
      while (am_frame_open (a->key, buf, len, &message, &message_len, &used)
             == 0)
        {
          Amaranth__Envelope *e
              = amaranth__envelope__unpack (NULL, message_len, message);

          if (e)
            agent_answer (a, fd, e);
          amaranth__envelope__free_unpacked (e, NULL);
          memmove (buf, buf + used, len - used);
          len -= used;
        }
      if (len >= AM_FRAME_HEADER_SIZE
          && am_frame_open (a->key, buf, len, &message, &message_len, &used)
                 == -8)
        break;
    }
  free (buf);
}

static void *
agent_run (void *userdata)
{
  struct fake_agent *a = userdata;
  int fd;

  while ((fd = accept (a->fd, NULL, NULL)) >= 0)
    {
      agent_serve (a, fd);
      close (fd);
    }
  return NULL;
}

static void
agent_start (struct fake_agent *a, unsigned number, const uint8_t *key)
{
  uint32_t ip = own_ip (AGENT_HOST + number);
  struct sockaddr_in sa = own_sockaddr ((struct am_address){ ip, 0 });
  socklen_t size = sizeof sa;

  memset (a, 0, sizeof *a);
  a->number = number;
  a->key = key;
  a->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (a->fd, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (a->fd, 16), 0);
  ck_assert_int_eq (getsockname (a->fd, (struct sockaddr *)&sa, &size), 0);
  a->address.ip = ip;
  a->address.port = ntohs (sa.sin_port);
  am_address_format (a->address, a->address_text);
  ck_assert_int_eq (pthread_create (&a->thread, NULL, agent_run, a), 0);
}

static void
agent_stop (struct fake_agent *a)
{
  shutdown (a->fd, SHUT_RDWR);
  pthread_join (a->thread, NULL);
  close (a->fd);
  for (size_t i = 0; i < a->count; i++)
    am_record_finish (&a->records[i]);
  a->count = 0;
}

#endif
