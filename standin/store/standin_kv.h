/* Key-value state of the store stand-in: entries with modify indexes,
   compare-and-swap, sessions with locks, copies of older state.  */

#ifndef AM_STANDIN_KV_H
#define AM_STANDIN_KV_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define STANDIN_SESSION_ID_SIZE 37

/* Largest value of the platform's store.  */
#define STANDIN_VALUE_MAX (1u << 20)

struct standin_entry
{
  char *key;
  uint8_t *value; /* NULL: deleted; the entry keeps its index */
  size_t value_len;
  uint64_t create_index;
  uint64_t modify_index;
  uint64_t lock_index;
  char session[STANDIN_SESSION_ID_SIZE];
  UT_hash_handle hh;
};

struct standin_session
{
  char id[STANDIN_SESSION_ID_SIZE];
  uint64_t ttl_us; /* 0: does not expire */
  uint64_t expires_us;
  UT_hash_handle hh;
};

struct standin_copy;

struct standin_kv
{
  struct standin_entry *entries;
  struct standin_session *sessions;
  struct standin_copy *copies;
  uint64_t index; /* of the last change; at least 1 */
  uint64_t session_number;
};

/* How a write may be refused.  */
struct standin_condition
{
  bool has_cas;
  uint64_t cas;
  const char *acquire; /* session, or NULL */
  const char *release; /* session, or NULL */
};

void standin_kv_init (struct standin_kv *kv);
void standin_kv_finish (struct standin_kv *kv);

/* Returns the greatest modify index below PREFIX (deleted keys included), at
   least 1.  */
uint64_t standin_kv_index (const struct standin_kv *kv, const char *prefix);

/* Returns the entries whose key begins with PREFIX (EXACT: is PREFIX), by
   key, in the form of the Consul interface.  */
json_t *standin_kv_read (struct standin_kv *kv, const char *prefix,
                         bool exact);

/* Returns a list of the names of the keys that begin with PREFIX.  With a
   SEPARATOR, not NULL or empty, a name ends after the first one that follows
   PREFIX, and equal names are listed once.  */
json_t *standin_kv_names (struct standin_kv *kv, const char *prefix,
                          const char *separator);

/* Writes KEY under condition C.  Returns AM_OK, AM_E_CONFLICT,
   AM_E_NOT_FOUND (no such session) or AM_E_MEMORY.  */
int standin_kv_write (struct standin_kv *kv, const char *key,
                      const uint8_t *value, size_t len,
                      const struct standin_condition *c);

/* Deletes KEY, or all keys below it (RECURSE).  Returns AM_OK or
   AM_E_CONFLICT.  */
int standin_kv_delete (struct standin_kv *kv, const char *key, bool recurse,
                       const struct standin_condition *c);

/* Makes a session of TTL_US; returns its id, or NULL: out of memory.  */
const char *standin_kv_session (struct standin_kv *kv, uint64_t ttl_us,
                                uint64_t now_us);

/* Renew or end a session; its locks are released.  Return false if there is
   none.  */
bool standin_kv_renew (struct standin_kv *kv, const char *id, uint64_t now_us);
bool standin_kv_destroy (struct standin_kv *kv, const char *id);

/* Ends sessions past their time.  Returns true if there were any.  */
bool standin_kv_expire (struct standin_kv *kv, uint64_t now_us);

/* Keeps the present state under NAME, or goes back to it, indexes included.
   Return AM_OK, AM_E_MEMORY or AM_E_NOT_FOUND.  */
int standin_kv_keep (struct standin_kv *kv, const char *name);
int standin_kv_restore (struct standin_kv *kv, const char *name);

#endif
