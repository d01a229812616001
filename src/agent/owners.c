#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent.h"
#include "base/error.h"
#include "core/ownership/owner_lease.h"

#define KEY_PREFIX "amaranth/owners/"
#define KEY_SIZE (sizeof KEY_PREFIX + AM_RECORD_NAME_SIZE)

struct owner_call
{
  struct am_list node; /* in am_agent.owner_calls */
  struct am_agent *agent;
  uint32_t service_id;
  int type;
  uint64_t call;
  char key[KEY_SIZE];
};

static void
end_call (struct owner_call *o)
{
  am_list_remove (&o->node);
  free (o);
}

void
am_agent_end_owner_calls (struct am_agent *a)
{
  am_list_each_safe (o, next, &a->owner_calls, struct owner_call, node)
  {
    end_call (o);
  }
}

/* Fills R with the entry of the key; keys that only begin with it are passed
   over.  */
static void
find_entry (const struct owner_call *o, const struct am_store_result *result,
            struct am_control_owner_result *r)
{
  if (r->error)
    return;
  r->error = AM_E_NOT_FOUND;
  for (size_t i = 0; i < result->entry_count; i++)
    {
      const struct am_store_entry *e = &result->entries[i];

      if (strcmp (e->key, o->key) != 0)
        continue;
      r->error = AM_OK;
      r->locked = e->locked;
      r->lock_index = e->lock_index;
      r->value = e->value;
      r->len = e->value_len;
    }
}

static void
on_done (void *userdata, const struct am_store_result *result)
{
  struct owner_call *o = userdata;
  struct am_agent *a = o->agent;
  struct am_control_owner_result r = { .service_id = o->service_id,
                                       .type = o->type,
                                       .call = o->call,
                                       .error = result->error,
                                       .session = result->session };
  struct am_control_event e = { .type = AM_CONTROL_OWNER, .owner = &r };

  if (o->type == AM_LEASE_READ)
    find_entry (o, result, &r);
  end_call (o);
  am_agent_event (a, &e);
}

static int
start_call (struct owner_call *o, const struct am_control_owner_call *call)
{
  struct am_store_client *s = o->agent->store;
  const uint8_t *value = (const uint8_t *)call->value;

  switch (call->type)
    {
    case AM_LEASE_READ:
      return am_store_read (s, o->key, on_done, o);
    case AM_LEASE_CREATE:
      return am_store_session_create (s, AM_LEASE_TTL_US / 1000000u, on_done,
                                      o);
    case AM_LEASE_ACQUIRE:
      return am_store_acquire (s, o->key, call->session, value, call->len,
                               on_done, o);
    case AM_LEASE_RELEASE:
      return am_store_release (s, o->key, call->session, value, call->len,
                               on_done, o);
    case AM_LEASE_RENEW:
      return am_store_session_renew (s, call->session, on_done, o);
    default:
      return am_store_session_destroy (s, call->session, on_done, o);
    }
}

/* A call that cannot be made stays without a result: the lease waits, and its
   validity ends by itself.  */
void
am_agent_owner_call (struct am_agent *a,
                     const struct am_control_owner_call *call)
{
  struct owner_call *o = calloc (1, sizeof *o);

  if (!o)
    return;
  o->agent = a;
  o->service_id = call->service_id;
  o->type = call->type;
  o->call = call->call;
  snprintf (o->key, sizeof o->key, KEY_PREFIX "%s", call->name);
  am_list_push_back (&a->owner_calls, &o->node);
  if (start_call (o, call))
    {
      am_log_line (&a->log, AM_LOG_ERROR, "event=owner_call_failed key=%s",
                   o->key);
      end_call (o);
    }
}
