/* Blocking reads and writes of the store, for the operators' command.  To be
   deleted when the store client lands.  */

#include <curl/curl.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "io/store_client.h"

#define URL_SIZE 1024
#define ANSWER_MAX (16u << 20)

struct answer
{
  char *data;
  size_t len;
};

static size_t
take (char *data, size_t size, size_t n, void *userdata)
{
  struct answer *a = userdata;
  size_t len = size * n;
  char *grown;

  if (a->len + len > ANSWER_MAX)
    return 0;
  grown = realloc (a->data, a->len + len + 1);
  if (!grown)
    return 0;
  a->data = grown;
  memcpy (a->data + a->len, data, len);
  a->len += len;
  a->data[a->len] = '\0';
  return len;
}

static CURL *
prepare (const char *url, uint32_t timeout_ms, struct answer *a)
{
  CURL *curl = curl_easy_init ();

  if (!curl)
    return NULL;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, a);
  return curl;
}

static int
add_entry (struct am_store_result *r, const json_t *item)
{
  struct am_store_entry *e = &r->entries[r->entry_count];
  const char *key = json_string_value (json_object_get (item, "Key"));
  const char *value = json_string_value (json_object_get (item, "Value"));
  size_t size;

  if (!key)
    return AM_E_FORMAT;
  size = value ? strlen (value) : 0;
  e->key = strdup (key);
  e->value = calloc (1, size + 1);
  r->entry_count++;
  if (!e->key || !e->value)
    return AM_E_MEMORY;
  e->modify_index
      = (uint64_t)json_integer_value (json_object_get (item, "ModifyIndex"));
  if (value
      && sodium_base642bin (e->value, size, value, size, NULL, &e->value_len,
                            NULL, sodium_base64_VARIANT_ORIGINAL))
    return AM_E_FORMAT;
  return AM_OK;
}

static int
read_entries (struct am_store_result *r, const struct answer *a)
{
  json_t *root = json_loadb (a->data, a->len, 0, NULL);
  json_t *item;
  size_t i;
  int err = json_is_array (root) ? AM_OK : AM_E_FORMAT;

  r->entries = calloc (json_array_size (root) + 1, sizeof *r->entries);
  if (!r->entries)
    err = AM_E_MEMORY;
  json_array_foreach (root, i, item) if (!err) err = add_entry (r, item);
  json_decref (root);
  return err;
}

int
am_store_read_now (const char *url, uint32_t timeout_ms, const char *prefix,
                   struct am_store_result *r)
{
  char path[URL_SIZE];
  struct answer a = { 0 };
  long status = 0;
  CURL *curl;

  memset (r, 0, sizeof *r);
  snprintf (path, sizeof path, "%s/v1/kv/%s?recurse=true", url, prefix);
  curl = prepare (path, timeout_ms, &a);
  if (!curl)
    return r->error = AM_E_MEMORY;
  r->error = curl_easy_perform (curl) == CURLE_OK ? AM_OK : AM_E_STORE;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  if (!r->error && status == 404)
    r->error = AM_E_NOT_FOUND;
  else if (!r->error && status != 200)
    r->error = AM_E_STORE;
  else if (!r->error)
    r->error = read_entries (r, &a);
  free (a.data);
  return r->error;
}

static int
write_error (CURLcode code, long status, const struct answer *a)
{
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
    return AM_E_STORE;
  if (code != CURLE_OK || status >= 500)
    return AM_E_STORE_UNSURE;
  if (status != 200 || !a->data)
    return AM_E_STORE;
  return strncmp (a->data, "true", 4) == 0 ? AM_OK : AM_E_CONFLICT;
}

int
am_store_write_now (const char *url, uint32_t timeout_ms, const char *key,
                    const uint8_t *value, size_t len, uint64_t cas,
                    struct am_store_result *r)
{
  char path[URL_SIZE];
  struct answer a = { 0 };
  long status = 0;
  CURLcode code;
  CURL *curl;

  memset (r, 0, sizeof *r);
  snprintf (path, sizeof path, "%s/v1/kv/%s?cas=%llu", url, key,
            (unsigned long long)cas);
  curl = prepare (path, timeout_ms, &a);
  if (!curl)
    return r->error = AM_E_MEMORY;
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, value);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)len);
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  r->error = write_error (code, status, &a);
  free (a.data);
  return r->error;
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
  memset (r, 0, sizeof *r);
}
