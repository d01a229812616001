#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "io/store_call.h"

/* Reads the service's answers.  */

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CLIENT_ERROR 400

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
decode_list (struct am_store_call *c, struct am_store_result *r)
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
      err = (c->kind == AM_STORE_CALL_VMS ? decode_vm : decode_entry) (
          &r->entries[i], json_array_get (root, i));
    }
  json_decref (root);
  return err;
}

static int
write_result (const struct am_store_call *c, long status)
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
bool
am_store_is_session (const char *id)
{
  size_t len = strlen (id);

  return len > 0 && len < AM_STORE_SESSION_SIZE
         && strspn (id, "0123456789abcdefABCDEF-") == len;
}

static int
session_result (const struct am_store_call *c, long status,
                struct am_store_result *r)
{
  json_t *root;
  const char *id;

  if (status == HTTP_NOT_FOUND)
    return AM_E_NOT_FOUND;
  if (status >= HTTP_CLIENT_ERROR && status < 500)
    return AM_E_STORE;
  if (status != HTTP_OK)
    return AM_E_STORE_UNSURE;
  if (c->kind == AM_STORE_CALL_SESSION)
    return AM_OK;
  root = json_loadb ((const char *)c->answer, c->answer_len, 0, NULL);
  id = json_string_value (json_object_get (root, "ID"));
  if (id && am_store_is_session (id))
    snprintf (r->session, sizeof r->session, "%s", id);
  json_decref (root);
  return r->session[0] ? AM_OK : AM_E_FORMAT;
}

/* The transfer failed.  A write may have taken effect unless the connection
   was never made.  */
static int
transfer_error (const struct am_store_call *c, CURLcode code)
{
  if (c->kind == AM_STORE_CALL_READ || c->kind == AM_STORE_CALL_VMS
      || code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
      || code == CURLE_URL_MALFORMAT)
    return AM_E_STORE;
  return AM_E_STORE_UNSURE;
}

void
am_store_call_result (struct am_store_call *c, CURLcode code,
                      struct am_store_result *r)
{
  long status = 0;

  memset (r, 0, sizeof *r);
  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &status);
  r->index = c->index;
  if (code != CURLE_OK)
    r->error = transfer_error (c, code);
  else if (c->kind == AM_STORE_CALL_WRITE)
    r->error = write_result (c, status);
  else if (c->kind != AM_STORE_CALL_READ && c->kind != AM_STORE_CALL_VMS)
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
