/* Client of the platform's key-value service.

   The service speaks HTTP with the paths and parameters of the published
   Consul KV and session interface, version 1: GET /v1/kv/KEY with recurse,
   index and wait (a watch is a blocking query), PUT /v1/kv/KEY with cas,
   acquire and release, DELETE, PUT /v1/session/create|renew|destroy, and
   GET /v1/catalog/service/entry-vm for the list of VMs.  Values are base64
   in JSON.  An index of zero means that the key does not exist.  */

#ifndef AM_IO_STORE_CLIENT_H
#define AM_IO_STORE_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct am_store_entry
{
  char *key;
  uint8_t *value; /* NUL-terminated after VALUE_LEN bytes */
  size_t value_len;
  uint64_t modify_index;
  uint64_t lock_index; /* raised by each acquisition of the key */
  bool locked;         /* a session holds the key */
};

/* Length of a session id with its NUL.  */
#define AM_STORE_SESSION_SIZE 64

struct am_store_result
{
  int error;      /* AM_OK; AM_E_STORE: the service did not take the call;
                     AM_E_STORE_UNSURE: a write may have taken effect;
                     AM_E_CONFLICT: compare-and-swap failed;
                     AM_E_NOT_FOUND; AM_E_FORMAT: malformed answer */
  uint64_t index; /* index of the answer, for the next watch */
  struct am_store_entry *entries;
  size_t entry_count;
  char session[AM_STORE_SESSION_SIZE]; /* of am_store_session_create */
};

typedef void (*am_store_done) (void *userdata,
                               const struct am_store_result *result);

struct am_store_client;

/* Allocates a client of the service at URL; calls end after TIMEOUT_MS (a
   watch after its wait time and TIMEOUT_MS).  Returns AM_OK or
   AM_E_MEMORY.  */
int am_store_client_new (struct am_store_client **c, uv_loop_t *loop,
                         const char *url, uint32_t timeout_ms);

/* Ends every call without its callback and frees C once the loop has run
   again.  */
void am_store_client_free (struct am_store_client *c);

/* Reads all keys that begin with PREFIX.  DONE is called once, on the loop's
   thread.  Returns AM_OK or AM_E_MEMORY.  */
int am_store_read (struct am_store_client *c, const char *prefix,
                   am_store_done done, void *userdata);

/* Waits until a key that begins with PREFIX has changed after INDEX, at most
   WAIT_MS.  The service answers with the names of the keys up to the next "/",
   which are dropped: the result holds the index alone.  A last "/" of PREFIX
   is left off, so that the answer is PREFIX alone; a change of a key that
   differs from PREFIX in its "/" then ends the wait as well.  DONE is called
   once, on the loop's thread.  Returns AM_OK or AM_E_MEMORY.  */
int am_store_watch (struct am_store_client *c, const char *prefix,
                    uint64_t index, uint32_t wait_ms, am_store_done done,
                    void *userdata);

/* Reads the platform's list of entry VMs, which lags.  An entry's key is the
   VM's name, its value "IP:PORT" of its gossip port.  DONE is called once, on
   the loop's thread.  Returns AM_OK or AM_E_MEMORY.  */
int am_store_vms (struct am_store_client *c, am_store_done done,
                  void *userdata);

/* Writes VALUE to KEY if its modify index is still CAS (0: it must not
   exist).  Returns AM_OK or AM_E_MEMORY.  */
int am_store_write (struct am_store_client *c, const char *key,
                    const uint8_t *value, size_t len, uint64_t cas,
                    am_store_done done, void *userdata);

/* Makes a session that ends TTL_S seconds after its last renewal at the
   earliest.  When it ends its keys are released and keep their values.  The
   result holds its id.  Returns AM_OK or AM_E_MEMORY.  */
int am_store_session_create (struct am_store_client *c, uint32_t ttl_s,
                             am_store_done done, void *userdata);

/* Renew or end a session.  The result is AM_E_NOT_FOUND if the store does not
   know it.  Return AM_OK, AM_E_MEMORY or AM_E_ARGUMENT (SESSION is no id).  */
int am_store_session_renew (struct am_store_client *c, const char *session,
                            am_store_done done, void *userdata);
int am_store_session_destroy (struct am_store_client *c, const char *session,
                              am_store_done done, void *userdata);

/* Write VALUE to KEY and give the key to SESSION, or release it from SESSION.
   The result is AM_E_CONFLICT if another session holds the key (acquire) or
   SESSION does not (release).  Return AM_OK, AM_E_MEMORY or AM_E_ARGUMENT
   (SESSION is no id).  */
int am_store_acquire (struct am_store_client *c, const char *key,
                      const char *session, const uint8_t *value, size_t len,
                      am_store_done done, void *userdata);
int am_store_release (struct am_store_client *c, const char *key,
                      const char *session, const uint8_t *value, size_t len,
                      am_store_done done, void *userdata);

/* Blocking forms, for the operators' command.  The caller frees R with
   am_store_result_free.  Return R->error.  */
int am_store_read_now (const char *url, uint32_t timeout_ms,
                       const char *prefix, struct am_store_result *r);
int am_store_write_now (const char *url, uint32_t timeout_ms, const char *key,
                        const uint8_t *value, size_t len, uint64_t cas,
                        struct am_store_result *r);
void am_store_result_free (struct am_store_result *r);

#endif
