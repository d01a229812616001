#include "core/requests/request_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/lending/quota.h"

struct am_request *
am_request_table_add (struct am_requests *t, uint64_t serial)
{
  struct am_request *r = calloc (1, sizeof *r);

  if (!r)
    return NULL;
  r->serial = serial;
  am_list_init (&r->wait);
  am_list_init (&r->held);
  am_list_init (&r->final);
  am_list_init (&r->cached);
  HASH_ADD (by_serial, t->by_serial, serial, sizeof r->serial, r);
  return r;
}

struct am_request *
am_request_table_find (struct am_requests *t, uint64_t serial)
{
  struct am_request *r;

  HASH_FIND (by_serial, t->by_serial, &serial, sizeof serial, r);
  return r;
}

struct am_request *
am_request_table_find_by_sequence (struct am_requests *t,
                                   const struct am_upstream *u,
                                   uint32_t sequence, uint64_t connection_id)
{
  am_list_each (r, &t->held, struct am_request, held)
  {
    if (r->upstream == u && (uint32_t)r->serial == sequence
        && r->connection_id == connection_id)
      return r;
  }
  return NULL;
}

int
am_request_table_store_payload (struct am_request *r, const uint8_t *payload,
                                size_t len)
{
  r->payload = malloc (len ? len : 1);
  if (!r->payload)
    return AM_E_MEMORY;
  if (len)
    memcpy (r->payload, payload, len);
  r->payload_len = len;
  return AM_OK;
}

static void
evict_answer (struct am_requests *t, struct am_request *r)
{
  am_list_remove (&r->cached);
  if (!r->answer)
    return;
  t->answer_bytes -= r->answer_len;
  free (r->answer);
  r->answer = NULL;
}

void
am_request_table_remove (struct am_board *b, struct am_request *r)
{
  struct am_requests *t = b->requests;

  am_request_table_release_slot (b, r);
  evict_answer (t, r);
  if (!am_list_empty (&r->final))
    t->final_count--;
  am_list_remove (&r->final);
  am_list_remove (&r->wait);
  HASH_DELETE (by_serial, t->by_serial, r);
  free (r->payload);
  free (r);
}

void
am_request_table_retain (struct am_board *b, struct am_request *r)
{
  struct am_requests *t = b->requests;

  r->ended_us = b->now_us;
  free (r->payload);
  r->payload = NULL;
  r->payload_len = 0;
  am_list_push_back (&t->finals, &r->final);
  t->final_count++;
}

int
am_request_table_cache_answer (struct am_requests *t, struct am_request *r,
                               const uint8_t *answer, size_t len)
{
  r->answer = malloc (len ? len : 1);
  if (!r->answer)
    return AM_E_MEMORY;
  if (len)
    memcpy (r->answer, answer, len);
  r->answer_len = len;
  t->answer_bytes += len;
  am_list_push_back (&t->answers, &r->cached);
  while (t->answer_bytes > AM_ANSWER_CACHE_BYTES)
    evict_answer (
        t, am_container_of (t->answers.next, struct am_request, cached));
  return AM_OK;
}

void
am_request_table_acquire_slot (struct am_board *b, struct am_request *r,
                               struct am_upstream *u)
{
  r->upstream = u;
  r->last_upstream_id = u->id;
  r->sent_us = b->now_us;
  u->use.busy++;
  am_list_push_back (&b->requests->held, &r->held);
}

void
am_request_table_release_slot (struct am_board *b, struct am_request *r)
{
  if (!r->upstream)
    return;
  if (r->upstream->use.busy > 0)
    r->upstream->use.busy--;
  r->upstream = NULL;
  am_list_remove (&r->held);
  am_quota_release_idle_leases (b);
}

void
am_request_table_expire (struct am_board *b)
{
  uint64_t retention_us = AM_OUTCOME_RETENTION_MS * (uint64_t)1000;

  am_list_each_safe (r, next, &b->requests->finals, struct am_request, final)
  {
    if (b->now_us - r->ended_us < retention_us
        && b->requests->final_count <= AM_OUTCOMES_MAX)
      return;
    am_request_table_remove (b, r);
  }
}
