/* One call to the platform's key-value service: how it is made and how its
   answer is read.  Used by io/store_client.h only.  */

#ifndef AM_IO_STORE_CALL_H
#define AM_IO_STORE_CALL_H

#include <curl/curl.h>

#include "base/list.h"
#include "io/store_client.h"

/* Room for a URL or its path.  */
#define AM_STORE_URL_SIZE 1024

enum am_store_call_kind
{
  AM_STORE_CALL_READ,
  AM_STORE_CALL_VMS,     /* list of entry VMs */
  AM_STORE_CALL_WRITE,   /* answers true or false */
  AM_STORE_CALL_CREATE,  /* of a session; answers its id */
  AM_STORE_CALL_SESSION, /* renew or destroy */
};

struct am_store_call
{
  struct am_list node; /* in am_store_client.calls */
  struct am_store_client *client;
  CURL *easy;
  enum am_store_call_kind kind;
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

/* Make a call to the service at URL.  Return NULL if memory fails or the URL
   is too long.  The user frees it with am_store_call_free.

   new: without a URL.  read: all keys that begin with PREFIX.  watch: as
   am_store_watch.  put: VALUE to URL/v1/PATH.  write: as am_store_write.  */
struct am_store_call *am_store_call_new (uint32_t timeout_ms);
struct am_store_call *am_store_call_read (const char *url, uint32_t timeout_ms,
                                          const char *prefix);
struct am_store_call *am_store_call_watch (const char *url,
                                           uint32_t timeout_ms,
                                           const char *prefix, uint64_t index,
                                           uint32_t wait_ms);
struct am_store_call *am_store_call_put (const char *url, uint32_t timeout_ms,
                                         enum am_store_call_kind kind,
                                         const char *path,
                                         const uint8_t *value, size_t len);
struct am_store_call *
am_store_call_write (const char *url, uint32_t timeout_ms, const char *key,
                     const uint8_t *value, size_t len, uint64_t cas);

/* Takes C off its list and frees it.  */
void am_store_call_free (struct am_store_call *c);

/* Reads the result of C, whose transfer ended with CODE, into R.  */
void am_store_call_result (struct am_store_call *c, CURLcode code,
                           struct am_store_result *r);

/* Returns true if ID may be the id of a session.  */
bool am_store_is_session (const char *id);

#endif
