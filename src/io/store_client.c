#include "io/store_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "io/store_call.h"

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

/* ---- loop --------------------------------------------------------- */

static void
collect (struct am_store_client *s)
{
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (s->multi, &left)))
    {
      struct am_store_result r;
      struct am_store_call *c;
      char *private;
      am_store_done done;
      void *userdata;

      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &private);
      c = (struct am_store_call *)(void *)private;
      am_store_call_result (c, m->data.result, &r);
      done = c->done;
      userdata = c->userdata;
      curl_multi_remove_handle (s->multi, c->easy);
      am_store_call_free (c);
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
  am_list_each_safe (c, next, &s->calls, struct am_store_call, node)
  {
    curl_multi_remove_handle (s->multi, c->easy);
    am_store_call_free (c);
  }
  curl_multi_cleanup (s->multi);
  uv_close ((uv_handle_t *)&s->timer, on_client_timer_closed);
}

static int
start (struct am_store_client *s, struct am_store_call *c, am_store_done done,
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
      am_store_call_free (c);
      return AM_E_MEMORY;
    }
  return AM_OK;
}

int
am_store_read (struct am_store_client *s, const char *prefix,
               am_store_done done, void *userdata)
{
  return start (s, am_store_call_read (s->url, s->timeout_ms, prefix), done,
                userdata);
}

int
am_store_vms (struct am_store_client *s, am_store_done done, void *userdata)
{
  char full[AM_STORE_URL_SIZE];
  struct am_store_call *c = NULL;
  int n
      = snprintf (full, sizeof full, "%s/v1/catalog/service/entry-vm", s->url);

  if (n >= 0 && (size_t)n < sizeof full)
    c = am_store_call_new (s->timeout_ms);
  if (c)
    {
      c->kind = AM_STORE_CALL_VMS;
      curl_easy_setopt (c->easy, CURLOPT_URL, full);
    }
  return start (s, c, done, userdata);
}

int
am_store_watch (struct am_store_client *s, const char *prefix, uint64_t index,
                uint32_t wait_ms, am_store_done done, void *userdata)
{
  return start (
      s, am_store_call_watch (s->url, s->timeout_ms, prefix, index, wait_ms),
      done, userdata);
}

int
am_store_write (struct am_store_client *s, const char *key,
                const uint8_t *value, size_t len, uint64_t cas,
                am_store_done done, void *userdata)
{
  return start (
      s, am_store_call_write (s->url, s->timeout_ms, key, value, len, cas),
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
                am_store_call_put (s->url, s->timeout_ms, AM_STORE_CALL_CREATE,
                                   "session/create", (const uint8_t *)body,
                                   (size_t)n),
                done, userdata);
}

static int
change_session (struct am_store_client *s, const char *verb,
                const char *session, am_store_done done, void *userdata)
{
  char path[AM_STORE_URL_SIZE];

  if (!am_store_is_session (session))
    return AM_E_ARGUMENT;
  snprintf (path, sizeof path, "session/%s/%s", verb, session);
  return start (s,
                am_store_call_put (s->url, s->timeout_ms,
                                   AM_STORE_CALL_SESSION, path, NULL, 0),
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
  char path[AM_STORE_URL_SIZE];
  int n;

  if (!am_store_is_session (session))
    return AM_E_ARGUMENT;
  n = snprintf (path, sizeof path, "kv/%s?%s=%s", key, verb, session);
  if (n < 0 || (size_t)n >= sizeof path)
    return AM_E_ARGUMENT;
  return start (s,
                am_store_call_put (s->url, s->timeout_ms, AM_STORE_CALL_WRITE,
                                   path, value, len),
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
