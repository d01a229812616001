/* Stand-in for the platform's store: the Consul KV and session interface over
   HTTP, with faults set by PUT /standin/fault.  */

#include <argp.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include "base/error.h"
#include "base/list.h"
#include "base/socket_address.h"
#include "common/standin_program.h"
#include "io/program.h"
#include "store/standin_kv.h"

#define TICK_MS 5
#define US_PER_MS 1000u
#define US_PER_SECOND 1000000u

/* Consul's default for a blocking query without a wait time.  */
#define WAIT_DEFAULT_US 300000000u
#define CONNECTIONS_MAX 4000
#define BODY_MAX (STANDIN_VALUE_MAX + 1)
#define RUNS_MAX 64

/* How often waiting watches are looked through for callers that left.  */
#define LEFT_CHECK_US 200000u

/* X (field) */
#define KIND_LIST(X) \
  X (read) X (watch) X (write) X (delete) X (session) X (catalog)

enum kind
{
#define KIND_ENUM(name) KIND_##name,
  KIND_LIST (KIND_ENUM) KIND_COUNT
#undef KIND_ENUM
};

static const char *const kind_names[] = {
#define KIND_NAME(name) #name,
  KIND_LIST (KIND_NAME)
#undef KIND_NAME
};

enum call_state
{
  CALL_NEW,
  CALL_WAITING, /* watch */
  CALL_DELAYED, /* answer is ready and held back */
  CALL_READY,
  CALL_DROPPED, /* connection is closed without an answer */
};

struct call
{
  struct am_list node; /* in store.held while suspended */
  struct MHD_Connection *connection;
  enum call_state state;
  char *body;
  size_t body_len;
  bool too_large;
  char *prefix; /* watch */
  bool exact;
  bool names; /* list the names of the keys alone */
  uint64_t index;
  uint64_t due_us;
  struct MHD_Response *response;
  unsigned status;
};

struct faults
{
  uint64_t outage_until_us;
  uint64_t delay_us;
  uint64_t lose_answers;
  uint64_t lose_requests;
};

struct counts
{
  uint64_t calls[KIND_COUNT];
  uint64_t second;
  uint64_t in_second;
  uint64_t peak;
  uint64_t writes_in_second;
  uint64_t writes_peak;
  uint64_t dropped;
};

/* A list of VMs and when it becomes visible.  */
struct vm_list
{
  json_t *seen;
  json_t *next;
  uint64_t next_us;
  uint64_t lag_us;
};

struct store
{
  struct standin_program program;
  struct am_address listen;
  struct MHD_Daemon *daemon;
  uv_poll_t poll;
  uv_timer_t tick;
  struct standin_kv kv;
  struct am_list held;
  struct faults faults;
  struct counts counts;
  struct vm_list vms;
  uint64_t next_left_check_us;
};

static void
run_daemon (struct store *s)
{
  MHD_UNSIGNED_LONG_LONG timeout;

  for (int i = 0; i < RUNS_MAX; i++)
    {
      MHD_run (s->daemon);
      if (MHD_get_timeout (s->daemon, &timeout) != MHD_YES || timeout != 0)
        return;
    }
}

/* ---- answers ------------------------------------------------------- */

static void
set_answer (struct call *c, unsigned status, char *text)
{
  size_t len = text ? strlen (text) : 0;

  c->status = status;
  c->response = MHD_create_response_from_buffer (
      len, text, text ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
}

static void
set_text (struct call *c, unsigned status, const char *text)
{
  set_answer (c, status, strdup (text));
}

static void
set_json (struct call *c, json_t *value)
{
  set_answer (c, MHD_HTTP_OK, json_dumps (value, JSON_COMPACT));
  if (c->response)
    MHD_add_response_header (c->response, "Content-Type", "application/json");
  json_decref (value);
}

static enum MHD_Result
send_answer (struct call *c)
{
  if (!c->response)
    return MHD_NO;
  return MHD_queue_response (c->connection, c->status, c->response);
}

static void
hold (struct store *s, struct call *c, enum call_state state, uint64_t due_us)
{
  c->state = state;
  c->due_us = due_us;
  am_list_push_back (&s->held, &c->node);
  MHD_suspend_connection (c->connection);
}

static void
release (struct call *c, enum call_state state)
{
  c->state = state;
  am_list_remove (&c->node);
  MHD_resume_connection (c->connection);
}

/* Sends the answer of C now or, with a delay set, later.  */
static enum MHD_Result
finish_call (struct store *s, struct call *c)
{
  if (!s->faults.delay_us)
    return send_answer (c);
  hold (s, c, CALL_DELAYED, standin_now_us () + s->faults.delay_us);
  return MHD_YES;
}

/* ---- counting and faults -------------------------------------------- */

static void
count_call (struct store *s, enum kind kind)
{
  struct counts *n = &s->counts;
  uint64_t second = standin_now_us () / US_PER_SECOND;

  if (second != n->second)
    {
      n->second = second;
      n->in_second = 0;
      n->writes_in_second = 0;
    }
  n->calls[kind]++;
  n->in_second++;
  if (kind == KIND_write || kind == KIND_delete)
    n->writes_in_second++;
  if (n->in_second > n->peak)
    n->peak = n->in_second;
  if (n->writes_in_second > n->writes_peak)
    n->writes_peak = n->writes_in_second;
}

static bool
in_outage (const struct store *s)
{
  return standin_now_us () < s->faults.outage_until_us;
}

static bool
take_one (uint64_t *n)
{
  if (!*n)
    return false;
  --*n;
  return true;
}

static void
take_number (json_t *body, const char *name, uint64_t *value, uint64_t unit)
{
  json_t *n = json_object_get (body, name);

  if (json_is_integer (n) && json_integer_value (n) >= 0)
    *value = (uint64_t)json_integer_value (n) * unit;
}

/* Wakes every watch, as after a restart of the store.  */
static void
wake_all (struct store *s)
{
  am_list_each_safe (c, next, &s->held, struct call, node)
  {
    if (c->state == CALL_WAITING)
      release (c, CALL_WAITING);
  }
}

static void
begin_outage (struct store *s, uint64_t us)
{
  s->faults.outage_until_us = us ? standin_now_us () + us : 0;
  if (!us)
    return;
  am_list_each_safe (c, next, &s->held, struct call, node)
  {
    release (c, CALL_DROPPED);
    s->counts.dropped++;
  }
}

static void
answer_fault (struct store *s, struct call *c)
{
  json_t *body = json_loadb (c->body, c->body_len, 0, NULL);
  const char *keep = json_string_value (json_object_get (body, "snapshot"));
  const char *restore = json_string_value (json_object_get (body, "restore"));
  uint64_t outage_us = UINT64_MAX;
  int err = body ? AM_OK : AM_E_FORMAT;

  take_number (body, "outage_ms", &outage_us, US_PER_MS);
  take_number (body, "delay_ms", &s->faults.delay_us, US_PER_MS);
  take_number (body, "lose_answers", &s->faults.lose_answers, 1);
  take_number (body, "lose_requests", &s->faults.lose_requests, 1);
  if (keep)
    err = standin_kv_keep (&s->kv, keep);
  if (restore)
    {
      err = standin_kv_restore (&s->kv, restore);
      wake_all (s);
    }
  if (outage_us != UINT64_MAX)
    begin_outage (s, outage_us);
  json_decref (body);
  if (err)
    set_text (c, MHD_HTTP_BAD_REQUEST, am_error_text (err));
  else
    set_text (c, MHD_HTTP_OK, "{\"ok\":true}");
}

static void
answer_counts (struct store *s, struct call *c)
{
  json_t *o = json_object ();
  uint64_t total = 0;
  int waiting = 0;

  for (int i = 0; i < KIND_COUNT; i++)
    {
      json_object_set_new (o, kind_names[i],
                           json_integer ((json_int_t)s->counts.calls[i]));
      total += s->counts.calls[i];
    }
  am_list_each (held, &s->held, struct call, node) waiting
      += held->state == CALL_WAITING;
  json_object_set_new (o, "total", json_integer ((json_int_t)total));
  json_object_set_new (o, "waiting", json_integer (waiting));
  json_object_set_new (o, "dropped",
                       json_integer ((json_int_t)s->counts.dropped));
  json_object_set_new (o, "peak_per_second",
                       json_integer ((json_int_t)s->counts.peak));
  json_object_set_new (o, "peak_writes_per_second",
                       json_integer ((json_int_t)s->counts.writes_peak));
  json_object_set_new (o, "index", json_integer ((json_int_t)s->kv.index));
  set_json (c, o);
}

/* ---- list of VMs ----------------------------------------------------- */

static void
show_vms (struct vm_list *v)
{
  if (!v->next || standin_now_us () < v->next_us)
    return;
  json_decref (v->seen);
  v->seen = v->next;
  v->next = NULL;
}

static void
put_vms (struct store *s, struct call *c)
{
  json_t *list = json_loadb (c->body, c->body_len, 0, NULL);

  if (!json_is_array (list))
    {
      json_decref (list);
      set_text (c, MHD_HTTP_BAD_REQUEST, "an array is needed");
      return;
    }
  show_vms (&s->vms);
  json_decref (s->vms.next);
  s->vms.next = list;
  s->vms.next_us = standin_now_us () + s->vms.lag_us;
  set_text (c, MHD_HTTP_OK, "{\"ok\":true}");
}

static void
answer_catalog (struct store *s, struct call *c)
{
  json_t *out = json_array ();
  json_t *vm;
  size_t i;

  show_vms (&s->vms);
  json_array_foreach (s->vms.seen, i, vm)
  {
    json_array_append_new (
        out,
        json_pack ("{s:O,s:O,s:s,s:O,s:O,s:{s:O,s:O,s:O}}", "Node",
                   json_object_get (vm, "name"), "Address",
                   json_object_get (vm, "address"), "ServiceName", "entry-vm",
                   "ServiceAddress", json_object_get (vm, "address"),
                   "ServicePort", json_object_get (vm, "port"), "ServiceMeta",
                   "id", json_object_get (vm, "id"), "data_centre",
                   json_object_get (vm, "data_centre"), "state",
                   json_object_get (vm, "state")));
  }
  set_json (c, out);
}

/* ---- keys and sessions ------------------------------------------------ */

static const char *
argument (struct call *c, const char *name)
{
  return MHD_lookup_connection_value (c->connection, MHD_GET_ARGUMENT_KIND,
                                      name);
}

/* A parameter without a value is looked up as present here.  */
static enum MHD_Result
note_flag (void *userdata, enum MHD_ValueKind kind, const char *key,
           const char *value)
{
  const char **wanted = userdata;

  (void)kind;
  (void)value;
  if (strcmp (key, *wanted) == 0)
    *wanted = "";
  return MHD_YES;
}

static bool
has_flag (struct call *c, const char *name)
{
  const char *wanted = name;

  MHD_get_connection_values (c->connection, MHD_GET_ARGUMENT_KIND, note_flag,
                             &wanted);
  return *wanted == '\0';
}

/* Reads a duration such as "10s", "500ms" or "5m"; WITHOUT if there is
   none.  */
static uint64_t
duration_us (const char *text, uint64_t without)
{
  char *unit;
  double n;

  if (!text)
    return without;
  n = strtod (text, &unit);
  if (n < 0)
    return without;
  if (strcmp (unit, "ms") == 0)
    return (uint64_t)(n * US_PER_MS);
  if (strcmp (unit, "m") == 0)
    return (uint64_t)(n * 60 * US_PER_SECOND);
  return (uint64_t)(n * US_PER_SECOND);
}

static void
set_entries (struct store *s, struct call *c)
{
  json_t *list = c->names ? standin_kv_names (&s->kv, c->prefix,
                                              argument (c, "separator"))
                          : standin_kv_read (&s->kv, c->prefix, c->exact);
  char index[24];

  if (json_array_size (list))
    set_json (c, list);
  else
    {
      json_decref (list);
      set_text (c, MHD_HTTP_NOT_FOUND, "");
    }
  snprintf (index, sizeof index, "%" PRIu64,
            standin_kv_index (&s->kv, c->prefix));
  if (c->response)
    MHD_add_response_header (c->response, "X-Consul-Index", index);
}

static enum MHD_Result
read_keys (struct store *s, struct call *c, const char *key)
{
  const char *index = argument (c, "index");
  uint64_t now = standin_now_us ();

  c->prefix = strdup (key);
  if (!c->prefix)
    return MHD_NO;
  c->names = has_flag (c, "keys");
  c->exact = !c->names && !has_flag (c, "recurse");
  c->index = index ? strtoull (index, NULL, 10) : 0;
  count_call (s, c->index ? KIND_watch : KIND_read);
  if (c->index && standin_kv_index (&s->kv, key) <= c->index)
    {
      hold (s, c, CALL_WAITING,
            now + duration_us (argument (c, "wait"), WAIT_DEFAULT_US));
      return MHD_YES;
    }
  set_entries (s, c);
  return finish_call (s, c);
}

static struct standin_condition
condition_of (struct call *c)
{
  const char *cas = argument (c, "cas");
  struct standin_condition condition
      = { .has_cas = cas != NULL,
          .cas = cas ? strtoull (cas, NULL, 10) : 0,
          .acquire = argument (c, "acquire"),
          .release = argument (c, "release") };

  return condition;
}

/* Wakes the watches that the last change concerns.  */
static void
wake_changed (struct store *s)
{
  am_list_each_safe (c, next, &s->held, struct call, node)
  {
    if (c->state == CALL_WAITING
        && standin_kv_index (&s->kv, c->prefix) > c->index)
      release (c, CALL_WAITING);
  }
}

/* Carries out a write or delete; its answer may be lost.  */
static enum MHD_Result
change_key (struct store *s, struct call *c, const char *key, bool delete)
{
  struct standin_condition condition = condition_of (c);
  int err;

  count_call (s, delete ? KIND_delete : KIND_write);
  if (take_one (&s->faults.lose_requests))
    {
      s->counts.dropped++;
      return MHD_NO;
    }
  if (c->too_large || c->body_len > STANDIN_VALUE_MAX)
    {
      set_text (c, MHD_HTTP_CONTENT_TOO_LARGE, "value exceeds 1 MiB");
      return finish_call (s, c);
    }
  err = delete ? standin_kv_delete (&s->kv, key, has_flag (c, "recurse"),
                                    &condition)
               : standin_kv_write (&s->kv, key, (const uint8_t *)c->body,
                                   c->body_len, &condition);
  wake_changed (s);
  if (err == AM_OK && take_one (&s->faults.lose_answers))
    {
      s->counts.dropped++;
      return MHD_NO;
    }
  if (err == AM_E_NOT_FOUND)
    set_text (c, MHD_HTTP_INTERNAL_SERVER_ERROR, "invalid session");
  else
    set_text (c, MHD_HTTP_OK, err ? "false" : "true");
  return finish_call (s, c);
}

static enum MHD_Result
change_session (struct store *s, struct call *c, const char *path)
{
  uint64_t now = standin_now_us ();

  count_call (s, KIND_session);
  if (strcmp (path, "create") == 0)
    {
      json_t *body = json_loadb (c->body, c->body_len, 0, NULL);
      const char *ttl = json_string_value (json_object_get (body, "TTL"));
      const char *id = standin_kv_session (&s->kv, duration_us (ttl, 0), now);

      json_decref (body);
      set_json (c, json_pack ("{s:s}", "ID", id ? id : ""));
    }
  else if (strncmp (path, "renew/", 6) == 0)
    {
      if (standin_kv_renew (&s->kv, path + 6, now))
        set_json (c, json_pack ("[{s:s}]", "ID", path + 6));
      else
        set_text (c, MHD_HTTP_NOT_FOUND, "session not found");
    }
  else if (strncmp (path, "destroy/", 8) == 0)
    {
      standin_kv_destroy (&s->kv, path + 8);
      wake_changed (s);
      set_text (c, MHD_HTTP_OK, "true");
    }
  else
    set_text (c, MHD_HTTP_NOT_FOUND, "");
  return finish_call (s, c);
}

/* ---- HTTP --------------------------------------------------------------- */

static const char *
after (const char *path, const char *prefix)
{
  size_t len = strlen (prefix);

  return strncmp (path, prefix, len) == 0 ? path + len : NULL;
}

static enum MHD_Result
own_path (struct store *s, struct call *c, const char *method,
          const char *path)
{
  bool put = strcmp (method, "PUT") == 0;

  if (put && strcmp (path, "fault") == 0)
    answer_fault (s, c);
  else if (put && strcmp (path, "vms") == 0)
    put_vms (s, c);
  else if (strcmp (path, "counts") == 0)
    answer_counts (s, c);
  else
    set_text (c, MHD_HTTP_NOT_FOUND, "");
  return send_answer (c);
}

static enum MHD_Result
handle (struct store *s, struct call *c, const char *method, const char *url)
{
  const char *own = after (url, "/standin/");
  const char *key = after (url, "/v1/kv/");
  const char *session = after (url, "/v1/session/");

  if (own)
    return own_path (s, c, method, own);
  if (in_outage (s))
    {
      s->counts.dropped++;
      return MHD_NO;
    }
  if (key && strcmp (method, "GET") == 0)
    return read_keys (s, c, key);
  if (key && strcmp (method, "PUT") == 0)
    return change_key (s, c, key, false);
  if (key && strcmp (method, "DELETE") == 0)
    return change_key (s, c, key, true);
  if (session && strcmp (method, "PUT") == 0)
    return change_session (s, c, session);
  if (after (url, "/v1/catalog/service/entry-vm"))
    {
      count_call (s, KIND_catalog);
      answer_catalog (s, c);
      return finish_call (s, c);
    }
  set_text (c, MHD_HTTP_NOT_FOUND, "");
  return send_answer (c);
}

static enum MHD_Result
take_body (struct call *c, const char *data, size_t len)
{
  char *grown;

  if (c->body_len + len > BODY_MAX)
    {
      c->too_large = true;
      return MHD_YES;
    }
  grown = realloc (c->body, c->body_len + len);
  if (!grown)
    return MHD_NO;
  memcpy (grown + c->body_len, data, len);
  c->body = grown;
  c->body_len += len;
  return MHD_YES;
}

static enum MHD_Result
on_request (void *userdata, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *len, void **state)
{
  struct store *s = userdata;
  struct call *c = *state;

  (void)version;
  if (!c)
    {
      c = calloc (1, sizeof *c);
      *state = c;
      if (!c)
        return MHD_NO;
      am_list_init (&c->node);
      c->connection = connection;
      return MHD_YES;
    }
  if (*len)
    {
      enum MHD_Result result = take_body (c, data, *len);

      *len = 0;
      return result;
    }
  switch (c->state)
    {
    case CALL_WAITING:
      set_entries (s, c);
      return finish_call (s, c);
    case CALL_READY:
      return send_answer (c);
    case CALL_DROPPED:
      return MHD_NO;
    default:
      return handle (s, c, method, url);
    }
}

static void
on_completed (void *userdata, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct call *c = *state;

  (void)userdata;
  (void)connection;
  (void)code;
  if (!c)
    return;
  am_list_remove (&c->node);
  if (c->response)
    MHD_destroy_response (c->response);
  free (c->prefix);
  free (c->body);
  free (c);
  *state = NULL;
}

/* ---- loop --------------------------------------------------------------- */

static bool
caller_left (struct call *c)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;

  return info
         && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
drop_left (struct store *s, uint64_t now)
{
  if (now < s->next_left_check_us)
    return;
  s->next_left_check_us = now + LEFT_CHECK_US;
  am_list_each_safe (c, next, &s->held, struct call, node)
  {
    if (c->state == CALL_WAITING && caller_left (c))
      release (c, CALL_DROPPED);
  }
}

static void
on_tick (uv_timer_t *timer)
{
  struct store *s = timer->data;
  uint64_t now = standin_now_us ();

  if (standin_kv_expire (&s->kv, now))
    wake_changed (s);
  am_list_each_safe (c, next, &s->held, struct call, node)
  {
    if (c->due_us <= now)
      release (c, c->state == CALL_WAITING ? CALL_WAITING : CALL_READY);
  }
  drop_left (s, now);
  run_daemon (s);
}

static void
on_readable (uv_poll_t *poll, int status, int events)
{
  (void)status;
  (void)events;
  run_daemon (poll->data);
}

static int
start_daemon (struct store *s)
{
  struct sockaddr_in sa = am_address_to_socket (s->listen);
  const union MHD_DaemonInfo *info;

  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, s->listen.port, NULL, NULL,
      on_request, s, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (!s->daemon)
    return AM_E_IO;
  info = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (!info || uv_poll_init (&s->program.loop, &s->poll, info->epoll_fd) != 0)
    return AM_E_IO;
  s->poll.data = s;
  uv_poll_start (&s->poll, UV_READABLE, on_readable);
  uv_timer_init (&s->program.loop, &s->tick);
  s->tick.data = s;
  uv_timer_start (&s->tick, on_tick, TICK_MS, TICK_MS);
  return AM_OK;
}

static void
stop_daemon (struct store *s)
{
  am_list_each_safe (c, next, &s->held, struct call, node)
      release (c, CALL_DROPPED);
  MHD_stop_daemon (s->daemon);
  standin_kv_finish (&s->kv);
  json_decref (s->vms.seen);
  json_decref (s->vms.next);
}

/* ---- options --------------------------------------------------------------
 */

const char *argp_program_version = "standin-store " AM_VERSION;

static const struct argp_option options[]
    = { { "listen", 'l', "IP:PORT", 0, "Address of the HTTP interface", 0 },
        { "vm-list-lag-ms", 'v', "N", 0,
          "How long the list of VMs lags behind", 0 },
        { 0 } };

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct store *s = state->input;
  uint64_t n;

  switch (key)
    {
    case 'l':
      if (am_address_parse (&s->listen, text) != AM_OK)
        argp_error (state, "--listen: '%s' is not IP:PORT", text);
      return 0;
    case 'v':
      if (standin_parse_number (&n, text, UINT32_MAX) != AM_OK)
        argp_error (state, "--vm-list-lag-ms: '%s' is not a number", text);
      s->vms.lag_us = n * US_PER_MS;
      return 0;
    case ARGP_KEY_END:
      if (!s->listen.port)
        argp_error (state, "--listen is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Stand-in for the platform's key-value store.",
          NULL,    NULL,
          NULL };
  struct store s = { 0 };
  int err;

  am_program_parse (&argp, argc, argv, &s);
  am_list_init (&s.held);
  standin_kv_init (&s.kv);
  err = standin_program_init (&s.program, NULL, NULL);
  if (!err)
    err = start_daemon (&s);
  if (err)
    return standin_fail ("standin-store", "listen", err, AM_EXIT_UNAVAILABLE);
  standin_program_run (&s.program);
  standin_program_finish (&s.program);
  stop_daemon (&s);
  return AM_EXIT_OK;
}
