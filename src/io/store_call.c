#include "io/store_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

/* An answer holds every record under a prefix.  */
#define ANSWER_MAX (64u << 20)

static size_t
on_body (char *data, size_t size, size_t count, void *userdata)
{
  struct am_store_call *c = userdata;
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
  struct am_store_call *c = userdata;
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

struct am_store_call *
am_store_call_new (uint32_t timeout_ms)
{
  struct am_store_call *c = calloc (1, sizeof *c);

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
  /* HTTP does not tell which call an answer belongs to: on a connection that
     was used before, a late second copy of an answer would be taken for the
     next one.  */
  curl_easy_setopt (c->easy, CURLOPT_FORBID_REUSE, 1L);
  return c;
}

void
am_store_call_free (struct am_store_call *c)
{
  am_list_remove (&c->node);
  curl_easy_cleanup (c->easy);
  free (c->body);
  free (c->answer);
  free (c);
}

struct am_store_call *
am_store_call_read (const char *url, uint32_t timeout_ms, const char *prefix)
{
  char full[AM_STORE_URL_SIZE];
  struct am_store_call *c;
  int n;

  n = snprintf (full, sizeof full, "%s/v1/kv/%s?recurse", url, prefix);
  if (n < 0 || (size_t)n >= sizeof full)
    return NULL;
  c = am_store_call_new (timeout_ms);
  if (c)
    curl_easy_setopt (c->easy, CURLOPT_URL, full);
  return c;
}

struct am_store_call *
am_store_call_watch (const char *url, uint32_t timeout_ms, const char *prefix,
                     uint64_t index, uint32_t wait_ms)
{
  char full[AM_STORE_URL_SIZE];
  struct am_store_call *c;
  size_t len = strlen (prefix);
  int n;

  /* Without its last "/" the prefix itself is the only name up to the
     separator: the answer does not grow with the number of keys.  */
  if (len && prefix[len - 1] == '/')
    len--;
  n = snprintf (full, sizeof full,
                "%s/v1/kv/%.*s?keys&separator=/&index=%llu&wait=%ums", url,
                (int)len, prefix, (unsigned long long)index, wait_ms);

  if (n < 0 || (size_t)n >= sizeof full)
    return NULL;
  c = am_store_call_new (timeout_ms + wait_ms);
  if (!c)
    return NULL;
  c->index_only = true;
  curl_easy_setopt (c->easy, CURLOPT_URL, full);
  return c;
}

struct am_store_call *
am_store_call_put (const char *url, uint32_t timeout_ms,
                   enum am_store_call_kind kind, const char *path,
                   const uint8_t *value, size_t len)
{
  char full[AM_STORE_URL_SIZE];
  struct am_store_call *c;
  int n = snprintf (full, sizeof full, "%s/v1/%s", url, path);

  if (n < 0 || (size_t)n >= sizeof full)
    return NULL;
  c = am_store_call_new (timeout_ms);
  if (!c)
    return NULL;
  c->kind = kind;
  c->body = malloc (len + 1);
  if (!c->body)
    {
      am_store_call_free (c);
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

struct am_store_call *
am_store_call_write (const char *url, uint32_t timeout_ms, const char *key,
                     const uint8_t *value, size_t len, uint64_t cas)
{
  char path[AM_STORE_URL_SIZE];
  int n = snprintf (path, sizeof path, "kv/%s?cas=%llu", key,
                    (unsigned long long)cas);

  if (n < 0 || (size_t)n >= sizeof path)
    return NULL;
  return am_store_call_put (url, timeout_ms, AM_STORE_CALL_WRITE, path, value,
                            len);
}

static int
perform (struct am_store_call *c, struct am_store_result *r)
{
  memset (r, 0, sizeof *r);
  if (!c)
    r->error = AM_E_MEMORY;
  else
    {
      am_store_call_result (c, curl_easy_perform (c->easy), r);
      am_store_call_free (c);
    }
  return r->error;
}

int
am_store_read_now (const char *url, uint32_t timeout_ms, const char *prefix,
                   struct am_store_result *r)
{
  return perform (am_store_call_read (url, timeout_ms, prefix), r);
}

int
am_store_write_now (const char *url, uint32_t timeout_ms, const char *key,
                    const uint8_t *value, size_t len, uint64_t cas,
                    struct am_store_result *r)
{
  return perform (am_store_call_write (url, timeout_ms, key, value, len, cas),
                  r);
}
