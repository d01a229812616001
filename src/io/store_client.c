#include "io/store_client.h"

#include <curl/curl.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/list.h"

#define URL_SIZE 1024

/* An answer holds every record under a prefix.  */
#define ANSWER_MAX (64u << 20)

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CLIENT_ERROR 400

enum call_kind
{
  CALL_READ,
  CALL_VMS,     /* list of entry VMs */
  CALL_WRITE,   /* answers true or false */
  CALL_CREATE,  /* of a session; answers its id */
  CALL_SESSION, /* renew or destroy */
};

struct call
{
  struct am_list node; /* in am_store_client.calls */
  struct am_store_client *client;
  CURL *easy;
  enum call_kind kind;
  bool index_only; /* the answer's body is dropped */
  uint8_t *body;   /* of a write; owned */
  uint8_t *answer;
  size_t answer_len;
  size_t answer_size;
  uint64_t index;
  char error[CURL_ERROR_SIZE];
  am_store_done done;
  void *userdata;
};

struct am_store_client
{
  uv_loop_t *loop;
  uv_timer_t timer;
  CURLM *multi;
  struct am_list calls;
  char *url;
  uint32_t timeout_ms;
  unsigned handles; /* libuv handles that are not closed */
  bool closing;
};

/* A socket of curl on the loop.  */
struct watch
{
  uv_poll_t poll;
  curl_socket_t socket;
  struct am_store_client *client;
};

/* ---- answers ------------------------------------------------------ */

static size_t
on_body (char *data, size_t size, size_t count, void *userdata)
{
  struct call *c = userdata;
  size_t len = size * count;
  size_t need = c->answer_len + len + 1;

  if (need > ANSWER_MAX)
    return 0;
  if (need > c->answer_size)
    {
      size_t grown_size
          = need > 2 * c->answer_size ? need : 2 * c->answer_size;
      uint8_t *grown = realloc (c->answer, grown_size);

      if (!grown)
        return 0;
      c->answer = grown;
      c->answer_size = grown_size;
    }
  memcpy (c->answer + c->answer_len, data, len);
  c->answer_len += len;
  c->answer[c->answer_len] = '\0';
  return len;
}

static size_t
on_header (char *data, size_t size, size_t count, void *userdata)
{
  static const char name[] = "X-Consul-Index:";
  struct call *c = userdata;
  size_t len = size * count;
  char text[64];

  if (len < sizeof text && len > sizeof name
      && strncasecmp (data, name, sizeof name - 1) == 0)
    {
      memcpy (text, data, len);
      text[len] = '\0';
      c->index = strtoull (text + sizeof name - 1, NULL, 10);
    }
  return len;
}

static int
decode_value (struct am_store_entry *e, const char *base64)
{
  size_t len = strlen (base64);
  size_t size = len / 4 * 3 + 1;

  e->value = calloc (1, size);
  if (!e->value)
    return AM_E_MEMORY;
  if (sodium_base642bin (e->value, size - 1, base64, len, NULL, &e->value_len,
                         NULL, sodium_base64_VARIANT_ORIGINAL))
    {
      e->value_len = 0;
      e->value[0] = '\0';
      return AM_E_FORMAT;
    }
  e->value[e->value_len] = '\0';
  return AM_OK;
}

static int
decode_entry (struct am_store_entry *e, json_t *o)
{
  const char *key = json_string_value (json_object_get (o, "Key"));
  json_t *value = json_object_get (o, "Value");
  json_t *index = json_object_get (o, "ModifyIndex");

  if (!key || !json_is_integer (index))
    return AM_E_FORMAT;
  e->modify_index = (uint64_t)json_integer_value (index);
  e->lock_index
      = (uint64_t)json_integer_value (json_object_get (o, "LockIndex"));
  e->locked = json_is_string (json_object_get (o, "Session"));
  e->key = strdup (key);
  if (!e->key)
    return AM_E_MEMORY;
  if (!json_is_string (value))
    return decode_value (e, "");
  return decode_value (e, json_string_value (value));
}

static int
decode_vm (struct am_store_entry *e, json_t *o)
{
  const char *name = json_string_value (json_object_get (o, "Node"));
  const char *ip = json_string_value (json_object_get (o, "ServiceAddress"));
  json_int_t port = json_integer_value (json_object_get (o, "ServicePort"));
  char *address;
  int n;

  if (!name || !ip || port <= 0 || port > UINT16_MAX)
    return AM_E_FORMAT;
  e->key = strdup (name);
  n = asprintf (&address, "%s:%u", ip, (unsigned)port);
  if (!e->key || n < 0)
    return AM_E_MEMORY;
  e->value = (uint8_t *)address;
  e->value_len = (size_t)n;
  return AM_OK;
}

static int
decode_list (struct call *c, struct am_store_result *r)
{
  json_t *root = json_loadb ((const char *)c->answer, c->answer_len, 0, NULL);
  size_t n = json_array_size (root);
  int err = json_is_array (root) ? AM_OK : AM_E_FORMAT;

  if (!err)
    {
      r->entries = calloc (n + 1, sizeof *r->entries);
      err = r->entries ? AM_OK : AM_E_MEMORY;
    }
  for (size_t i = 0; i < n && !err; i++)
    {
      r->entry_count++;
      err = (c->kind == CALL_VMS ? decode_vm : decode_entry) (
          &r->entries[i], json_array_get (root, i));
    }
  json_decref (root);
  return err;
}

static int
write_result (const struct call *c, long status)
{
  if (status >= HTTP_CLIENT_ERROR && status < 500)
    return AM_E_STORE;
  if (status != HTTP_OK || !c->answer)
    return AM_E_STORE_UNSURE;
  if (strncmp ((const char *)c->answer, "true", 4) == 0)
    return AM_OK;
  if (strncmp ((const char *)c->answer, "false", 5) == 0)
    return AM_E_CONFLICT;
  return AM_E_STORE_UNSURE;
}

/* An id consists of hexadecimal digits and hyphens: it becomes part of a
   path.  */
static bool
is_session (const char *id)
{
  size_t len = strlen (id);

  return len > 0 && len < AM_STORE_SESSION_SIZE
         && strspn (id, "0123456789abcdefABCDEF-") == len;
}

static int
session_result (const struct call *c, long status, struct am_store_result *r)
{
  json_t *root;
  const char *id;

  if (status == HTTP_NOT_FOUND)
    return AM_E_NOT_FOUND;
  if (status >= HTTP_CLIENT_ERROR && status < 500)
    return AM_E_STORE;
  if (status != HTTP_OK)
    return AM_E_STORE_UNSURE;
  if (c->kind == CALL_SESSION)
    return AM_OK;
  root = json_loadb ((const char *)c->answer, c->answer_len, 0, NULL);
  id = json_string_value (json_object_get (root, "ID"));
  if (id && is_session (id))
    snprintf (r->session, sizeof r->session, "%s", id);
  json_decref (root);
  return r->session[0] ? AM_OK : AM_E_FORMAT;
}

/* The transfer failed.  A write may have taken effect unless the connection
   was never made.  */
static int
transfer_error (const struct call *c, CURLcode code)
{
  if (c->kind == CALL_READ || c->kind == CALL_VMS
      || code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
      || code == CURLE_URL_MALFORMAT)
    return AM_E_STORE;
  return AM_E_STORE_UNSURE;
}

static void
make_result (struct call *c, CURLcode code, struct am_store_result *r)
{
  long status = 0;

  memset (r, 0, sizeof *r);
  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &status);
  r->index = c->index;
  if (code != CURLE_OK)
    r->error = transfer_error (c, code);
  else if (c->kind == CALL_WRITE)
    r->error = write_result (c, status);
  else if (c->kind != CALL_READ && c->kind != CALL_VMS)
    r->error = session_result (c, status, r);
  else if (status == HTTP_NOT_FOUND)
    r->error = AM_E_NOT_FOUND;
  else if (status != HTTP_OK)
    r->error = AM_E_STORE;
  else if (!c->index_only)
    r->error = decode_list (c, r);
  if (r->error)
    am_store_result_free (r);
}

void
am_store_result_free (struct am_store_result *r)
{
  for (size_t i = 0; i < r->entry_count; i++)
    {
      free (r->entries[i].key);
      free (r->entries[i].value);
    }
  free (r->entries);
  r->entries = NULL;
  r->entry_count = 0;
}

/* ---- calls -------------------------------------------------------- */

static struct call *
call_new (uint32_t timeout_ms)
{
  struct call *c = calloc (1, sizeof *c);

  if (!c)
    return NULL;
  am_list_init (&c->node);
  c->easy = curl_easy_init ();
  if (!c->easy)
    {
      free (c);
      return NULL;
    }
  curl_easy_setopt (c->easy, CURLOPT_PRIVATE, c);
  curl_easy_setopt (c->easy, CURLOPT_ERRORBUFFER, c->error);
  curl_easy_setopt (c->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (c->easy, CURLOPT_WRITEDATA, c);
  curl_easy_setopt (c->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (c->easy, CURLOPT_HEADERDATA, c);
  curl_easy_setopt (c->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c->easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (c->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  return c;
}

static void
call_free (struct call *c)
{
  am_list_remove (&c->node);
  curl_easy_cleanup (c->easy);
  free (c->body);
  free (c->answer);
  free (c);
}

static struct call *
read_call (const char *url, uint32_t timeout_ms, const char *prefix)
{
  char full[URL_SIZE];
  struct call *c;
  int n;

  n = snprintf (full, sizeof full, "%s/v1/kv/%s?recurse", url, prefix);
  if (n < 0 || (size_t)n >= sizeof full)
    return NULL;
  c = call_new (timeout_ms);
  if (c)
    curl_easy_setopt (c->easy, CURLOPT_URL, full);
  return c;
}

/* Returns a PUT of VALUE to URL followed by the text of PATH, or NULL.  */
static struct call *
watch_call (const char *url, uint32_t timeout_ms, const char *prefix,
            uint64_t index, uint32_t wait_ms)
{
  char full[URL_SIZE];
  struct call *c;
  int n = snprintf (full, sizeof full, "%s/v1/kv/%s?keys&index=%llu&wait=%ums",
                    url, prefix, (unsigned long long)index, wait_ms);

  if (n < 0 || (size_t)n >= sizeof full)
    return NULL;
  c = call_new (timeout_ms + wait_ms);
  if (!c)
    return NULL;
  c->index_only = true;
  curl_easy_setopt (c->easy, CURLOPT_URL, full);
  return c;
}

static struct call *
put_call (const char *url, uint32_t timeout_ms, enum call_kind kind,
          const char *path, const uint8_t *value, size_t len)
{
  char full[URL_SIZE];
  struct call *c;
  int n = snprintf (full, sizeof full, "%s/v1/%s", url, path);

  if (n < 0 || (size_t)n >= sizeof full)
    return NULL;
  c = call_new (timeout_ms);
  if (!c)
    return NULL;
  c->kind = kind;
  c->body = malloc (len + 1);
  if (!c->body)
    {
      call_free (c);
      return NULL;
    }
  if (len)
    memcpy (c->body, value, len);
  curl_easy_setopt (c->easy, CURLOPT_URL, full);
  curl_easy_setopt (c->easy, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (c->easy, CURLOPT_POSTFIELDS, (char *)c->body);
  curl_easy_setopt (c->easy, CURLOPT_POSTFIELDSIZE, (long)len);
  return c;
}

static struct call *
write_call (const char *url, uint32_t timeout_ms, const char *key,
            const uint8_t *value, size_t len, uint64_t cas)
{
  char path[URL_SIZE];
  int n = snprintf (path, sizeof path, "kv/%s?cas=%llu", key,
                    (unsigned long long)cas);

  if (n < 0 || (size_t)n >= sizeof path)
    return NULL;
  return put_call (url, timeout_ms, CALL_WRITE, path, value, len);
}

/* ---- loop --------------------------------------------------------- */

static void
collect (struct am_store_client *s)
{
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (s->multi, &left)))
    {
      struct am_store_result r;
      struct call *c;
      char *private;
      am_store_done done;
      void *userdata;

      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &private);
      c = (struct call *)(void *)private;
      make_result (c, m->data.result, &r);
      done = c->done;
      userdata = c->userdata;
      curl_multi_remove_handle (s->multi, c->easy);
      call_free (c);
      done (userdata, &r);
      am_store_result_free (&r);
      if (s->closing)
        return;
    }
}

static void
on_poll (uv_poll_t *handle, int status, int events)
{
  struct watch *w = handle->data;
  int flags = 0;
  int running;

  if (status < 0)
    flags = CURL_CSELECT_ERR;
  if (events & UV_READABLE)
    flags |= CURL_CSELECT_IN;
  if (events & UV_WRITABLE)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (w->client->multi, w->socket, flags, &running);
  collect (w->client);
}

static void
release (struct am_store_client *s)
{
  if (--s->handles > 0)
    return;
  free (s->url);
  free (s);
}

static void
on_watch_closed (uv_handle_t *handle)
{
  struct watch *w = handle->data;
  struct am_store_client *s = w->client;

  free (w);
  release (s);
}

static struct watch *
watch_new (struct am_store_client *s, curl_socket_t socket)
{
  struct watch *w = calloc (1, sizeof *w);

  if (!w)
    return NULL;
  w->socket = socket;
  w->client = s;
  if (uv_poll_init_socket (s->loop, &w->poll, socket) != 0)
    {
      free (w);
      return NULL;
    }
  w->poll.data = w;
  s->handles++;
  curl_multi_assign (s->multi, socket, w);
  return w;
}

static int
on_socket (CURL *easy, curl_socket_t socket, int action, void *userdata,
           void *socket_data)
{
  struct am_store_client *s = userdata;
  struct watch *w = socket_data;
  int events = 0;

  (void)easy;
  if (action == CURL_POLL_REMOVE)
    {
      if (!w)
        return 0;
      uv_poll_stop (&w->poll);
      uv_close ((uv_handle_t *)&w->poll, on_watch_closed);
      curl_multi_assign (s->multi, socket, NULL);
      return 0;
    }
  if (!w)
    w = watch_new (s, socket);
  if (!w)
    return -1;
  if (action & CURL_POLL_IN)
    events |= UV_READABLE;
  if (action & CURL_POLL_OUT)
    events |= UV_WRITABLE;
  uv_poll_start (&w->poll, events, on_poll);
  return 0;
}

static void
on_timeout (uv_timer_t *timer)
{
  struct am_store_client *s = timer->data;
  int running;

  curl_multi_socket_action (s->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  collect (s);
}

static int
on_timer (CURLM *multi, long timeout_ms, void *userdata)
{
  struct am_store_client *s = userdata;

  (void)multi;
  if (s->closing)
    return 0;
  if (timeout_ms < 0)
    uv_timer_stop (&s->timer);
  else
    uv_timer_start (&s->timer, on_timeout, (uint64_t)timeout_ms, 0);
  return 0;
}

int
am_store_client_new (struct am_store_client **out, uv_loop_t *loop,
                     const char *url, uint32_t timeout_ms)
{
  struct am_store_client *s = calloc (1, sizeof *s);

  *out = NULL;
  if (!s)
    return AM_E_MEMORY;
  s->loop = loop;
  s->timeout_ms = timeout_ms;
  am_list_init (&s->calls);
  s->url = strdup (url);
  s->multi = curl_multi_init ();
  if (!s->url || !s->multi)
    {
      if (s->multi)
        curl_multi_cleanup (s->multi);
      free (s->url);
      free (s);
      return AM_E_MEMORY;
    }
  uv_timer_init (loop, &s->timer);
  s->timer.data = s;
  s->handles = 1;
  curl_multi_setopt (s->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (s->multi, CURLMOPT_SOCKETDATA, s);
  curl_multi_setopt (s->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (s->multi, CURLMOPT_TIMERDATA, s);
  *out = s;
  return AM_OK;
}

static void
on_client_timer_closed (uv_handle_t *handle)
{
  release (handle->data);
}

void
am_store_client_free (struct am_store_client *s)
{
  if (!s)
    return;
  s->closing = true;
  am_list_each_safe (c, next, &s->calls, struct call, node)
  {
    curl_multi_remove_handle (s->multi, c->easy);
    call_free (c);
  }
  curl_multi_cleanup (s->multi);
  uv_close ((uv_handle_t *)&s->timer, on_client_timer_closed);
}

static int
start (struct am_store_client *s, struct call *c, am_store_done done,
       void *userdata)
{
  if (!c)
    return AM_E_MEMORY;
  c->client = s;
  c->done = done;
  c->userdata = userdata;
  am_list_push_back (&s->calls, &c->node);
  if (curl_multi_add_handle (s->multi, c->easy) != CURLM_OK)
    {
      call_free (c);
      return AM_E_MEMORY;
    }
  return AM_OK;
}

int
am_store_read (struct am_store_client *s, const char *prefix,
               am_store_done done, void *userdata)
{
  return start (s, read_call (s->url, s->timeout_ms, prefix), done, userdata);
}

int
am_store_vms (struct am_store_client *s, am_store_done done, void *userdata)
{
  char full[URL_SIZE];
  struct call *c = NULL;
  int n
      = snprintf (full, sizeof full, "%s/v1/catalog/service/entry-vm", s->url);

  if (n >= 0 && (size_t)n < sizeof full)
    c = call_new (s->timeout_ms);
  if (c)
    {
      c->kind = CALL_VMS;
      curl_easy_setopt (c->easy, CURLOPT_URL, full);
    }
  return start (s, c, done, userdata);
}

int
am_store_watch (struct am_store_client *s, const char *prefix, uint64_t index,
                uint32_t wait_ms, am_store_done done, void *userdata)
{
  return start (s, watch_call (s->url, s->timeout_ms, prefix, index, wait_ms),
                done, userdata);
}

int
am_store_write (struct am_store_client *s, const char *key,
                const uint8_t *value, size_t len, uint64_t cas,
                am_store_done done, void *userdata)
{
  return start (s, write_call (s->url, s->timeout_ms, key, value, len, cas),
                done, userdata);
}

/* ---- sessions ----------------------------------------------------- */

int
am_store_session_create (struct am_store_client *s, uint32_t ttl_s,
                         am_store_done done, void *userdata)
{
  char body[128];
  int n = snprintf (body, sizeof body,
                    "{\"TTL\":\"%us\",\"Behavior\":\"release\","
                    "\"LockDelay\":\"0s\"}",
                    ttl_s);

  return start (s,
                put_call (s->url, s->timeout_ms, CALL_CREATE, "session/create",
                          (const uint8_t *)body, (size_t)n),
                done, userdata);
}

static int
change_session (struct am_store_client *s, const char *verb,
                const char *session, am_store_done done, void *userdata)
{
  char path[URL_SIZE];

  if (!is_session (session))
    return AM_E_ARGUMENT;
  snprintf (path, sizeof path, "session/%s/%s", verb, session);
  return start (s,
                put_call (s->url, s->timeout_ms, CALL_SESSION, path, NULL, 0),
                done, userdata);
}

int
am_store_session_renew (struct am_store_client *s, const char *session,
                        am_store_done done, void *userdata)
{
  return change_session (s, "renew", session, done, userdata);
}

int
am_store_session_destroy (struct am_store_client *s, const char *session,
                          am_store_done done, void *userdata)
{
  return change_session (s, "destroy", session, done, userdata);
}

static int
change_lock (struct am_store_client *s, const char *key, const char *verb,
             const char *session, const uint8_t *value, size_t len,
             am_store_done done, void *userdata)
{
  char path[URL_SIZE];
  int n;

  if (!is_session (session))
    return AM_E_ARGUMENT;
  n = snprintf (path, sizeof path, "kv/%s?%s=%s", key, verb, session);
  if (n < 0 || (size_t)n >= sizeof path)
    return AM_E_ARGUMENT;
  return start (s,
                put_call (s->url, s->timeout_ms, CALL_WRITE, path, value, len),
                done, userdata);
}

int
am_store_acquire (struct am_store_client *s, const char *key,
                  const char *session, const uint8_t *value, size_t len,
                  am_store_done done, void *userdata)
{
  return change_lock (s, key, "acquire", session, value, len, done, userdata);
}

int
am_store_release (struct am_store_client *s, const char *key,
                  const char *session, const uint8_t *value, size_t len,
                  am_store_done done, void *userdata)
{
  return change_lock (s, key, "release", session, value, len, done, userdata);
}

/* ---- blocking forms ----------------------------------------------- */

static int
perform (struct call *c, struct am_store_result *r)
{
  memset (r, 0, sizeof *r);
  if (!c)
    r->error = AM_E_MEMORY;
  else
    {
      make_result (c, curl_easy_perform (c->easy), r);
      call_free (c);
    }
  return r->error;
}

int
am_store_read_now (const char *url, uint32_t timeout_ms, const char *prefix,
                   struct am_store_result *r)
{
  return perform (read_call (url, timeout_ms, prefix), r);
}

int
am_store_write_now (const char *url, uint32_t timeout_ms, const char *key,
                    const uint8_t *value, size_t len, uint64_t cas,
                    struct am_store_result *r)
{
  return perform (write_call (url, timeout_ms, key, value, len, cas), r);
}
