#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "io/clock.h"
#include "upstream/standin_upstream.h"

#define US_PER_MS 1000u

/* A cold target takes this many times as long at first.  */
#define COLD_FACTOR 3.0

#define ANSWER_MAX ((size_t)AM_ANSWER_SIZE_MAX)
#define REQ_SIZE 64
#define KIND_SIZE 16

struct standin_job
{
  struct am_list node; /* in running or queued */
  uv_timer_t timer;
  struct standin_upstream *upstream;
  struct am_stream *stream; /* NULL: it has closed */
  uint64_t connection_id;
  uint32_t sequence;
  uint64_t deadline_us;
  char req[REQ_SIZE];
  char kind[KIND_SIZE];
};

/* ---- replies ------------------------------------------------------------ */

static void
send_packet (struct am_stream *s, const struct am_packet *p)
{
  size_t size = AM_PACKET_HEADER_SIZE + p->body_len;
  uint8_t *buf = s ? malloc (size) : NULL;
  size_t len;

  if (!buf)
    return;
  if (am_packet_encode (p, buf, size, &len) == AM_OK)
    am_stream_send (s, buf, len);
  free (buf);
}

/* Sends the load and EXTRA bytes after it.  */
static void
send_reply (struct standin_upstream *u, struct am_stream *s,
            const struct am_packet *to, uint8_t type, const uint8_t *extra,
            size_t extra_len)
{
  struct am_load load = standin_upstream_load (u, standin_now_us ());
  uint8_t *body = malloc (AM_LOAD_SIZE + extra_len);
  struct am_packet p = { .type = type,
                         .connection_id = to->connection_id,
                         .sequence = to->sequence,
                         .body = body,
                         .body_len = AM_LOAD_SIZE + extra_len };

  if (!body)
    return;
  am_load_encode (&load, body);
  if (extra_len)
    memcpy (body + AM_LOAD_SIZE, extra, extra_len);
  send_packet (s, &p);
  free (body);
}

static void
refuse (struct standin_upstream *u, struct am_stream *s,
        const struct am_packet *to, const char *req, int error)
{
  struct am_outcome_body outcome = { AM_OUTCOME_NOT_RUN, error };
  uint8_t extra[AM_OUTCOME_BODY_SIZE];

  u->refused++;
  standin_history_event (&u->world->history, "refused",
                         "\"upstream\":\"%s\",\"service\":\"%s\",\"req\":\"%"
                         "s\",\"reason\":\"%s\"",
                         u->spec.name, u->spec.service, req,
                         am_error_name (error));
  am_outcome_body_encode (&outcome, extra);
  send_reply (u, s, to, AM_PACKET_OUTCOME, extra, sizeof extra);
}

static void
refuse_job (struct standin_job *j, int error)
{
  struct am_packet to
      = { .connection_id = j->connection_id, .sequence = j->sequence };

  refuse (j->upstream, j->stream, &to, j->req, error);
}

/* ---- running ---------------------------------------------------------------
 */

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
free_job (struct standin_job *j)
{
  am_list_remove (&j->node);
  uv_close ((uv_handle_t *)&j->timer, on_timer_closed);
}

/* Fills the LEN bytes at BUF with the answer to J: its request and upstream on
   the first line, then bytes that differ between requests and runs.  */
static void
fill_answer (struct standin_job *j, uint8_t *buf, size_t len)
{
  struct am_rng rng;
  int head = snprintf ((char *)buf, len, "%s %s %s\n", j->req,
                       j->upstream->spec.name, j->upstream->spec.service);

  am_rng_init (&rng, am_hash_bytes (j->req, strlen (j->req),
                                    am_rng_next (&j->upstream->world->rng)));
  for (size_t i = (size_t)head; i < len; i++)
    buf[i] = (uint8_t)('a' + am_rng_below (&rng, 26));
}

static size_t
answer_size (struct standin_upstream *u)
{
  double spread = 0.5 + am_rng_unit (&u->world->rng);
  size_t size = (size_t)((double)u->world->work.answer_bytes * spread);

  if (size < 2 * REQ_SIZE + 2 * STANDIN_NAME_SIZE)
    size = 2 * REQ_SIZE + 2 * STANDIN_NAME_SIZE;
  return size < ANSWER_MAX ? size : ANSWER_MAX;
}

static void start_queued (struct standin_upstream *u);

static void
on_done (uv_timer_t *timer)
{
  struct standin_job *j = timer->data;
  struct standin_upstream *u = j->upstream;
  struct am_packet to
      = { .connection_id = j->connection_id, .sequence = j->sequence };
  size_t len = answer_size (u);
  uint64_t now = standin_now_us ();
  uint8_t *answer;

  if (now < u->frozen_until_us)
    {
      uv_timer_start (timer, on_done,
                      (u->frozen_until_us - now) / US_PER_MS + 1, 0);
      return;
    }
  answer = malloc (len);
  u->busy--;
  if (answer)
    {
      fill_answer (j, answer, len);
      standin_history_event (
          &u->world->history, "done",
          "\"upstream\":\"%s\",\"service\":\"%s\",\"req\":\"%s\","
          "\"bytes\":%zu,\"digest\":\"%016" PRIx64 "\"",
          u->spec.name, u->spec.service, j->req, len,
          am_hash_bytes (answer, len, 0));
      send_reply (u, j->stream, &to, AM_PACKET_ANSWER, answer, len);
    }
  free (answer);
  free_job (j);
  start_queued (u);
}

static uint64_t
service_ms (struct standin_upstream *u)
{
  struct standin_world *w = u->world;
  uint64_t now = standin_now_us ();
  double ms = (double)w->work.service_ms * (0.5 + am_rng_unit (&w->rng));

  if (standin_upstream_cold (u, now))
    {
      double share = (double)(now - u->changed_us)
                     / (double)(w->work.cold_ms * US_PER_MS);

      ms *= COLD_FACTOR - (COLD_FACTOR - 1) * share;
    }
  return (uint64_t)(ms + 0.5) + u->slow_ms;
}

static void
run (struct standin_job *j)
{
  struct standin_upstream *u = j->upstream;

  am_list_remove (&j->node);
  am_list_push_back (&u->running, &j->node);
  u->busy++;
  u->ran++;
  if (u->busy > u->busy_max)
    u->busy_max = u->busy;
  standin_history_event (
      &u->world->history, "run",
      "\"upstream\":\"%s\",\"service\":\"%s\",\"req\":\"%s\",\"kind\":\"%s\"",
      u->spec.name, u->spec.service, j->req, j->kind);
  uv_timer_start (&j->timer, on_done, service_ms (u), 0);
}

static void
start_queued (struct standin_upstream *u)
{
  while (u->busy < u->spec.slots && !am_list_empty (&u->queued))
    {
      struct standin_job *j
          = am_container_of (u->queued.next, struct standin_job, node);

      u->waiting--;
      if (standin_now_us () >= j->deadline_us)
        {
          refuse_job (j, AM_E_DEADLINE);
          free_job (j);
        }
      else
        run (j);
    }
}

/* ---- arrival
 * ----------------------------------------------------------------- */

static void
take_line (char *to, size_t size, const uint8_t **data, const uint8_t *end)
{
  size_t n = 0;

  while (*data < end && **data != '\n')
    {
      uint8_t c = *(*data)++;

      if (n + 1 < size && c > ' ' && c < 127 && c != '"' && c != '\\')
        to[n++] = (char)c;
    }
  if (*data < end)
    ++*data;
  to[n] = '\0';
}

/* Returns why a request is refused, or AM_OK.  */
static int
refusal (struct standin_upstream *u, const struct am_run_body *body)
{
  struct standin_world *w = u->world;

  if (body->service_id != am_hash_name (u->spec.service))
    {
      u->wrong_service++;
      standin_history_event (
          &w->history, "wrong_service",
          "\"upstream\":\"%s\",\"service\":\"%s\",\"got\":\"%" PRIu32 "\"",
          u->spec.name, u->spec.service, body->service_id);
      return AM_E_SERVICE_UNKNOWN;
    }
  if (!body->remaining_ms
      || (body->not_after_ms && am_clock_wall_ms () > body->not_after_ms))
    return AM_E_DEADLINE;
  if (u->drained)
    return AM_E_DRAINING;
  if (u->shed > 0 && am_rng_unit (&w->rng) < u->shed)
    return AM_E_SHED;
  if (u->busy >= u->spec.slots && u->waiting >= w->work.queue)
    {
      standin_history_event (
          &w->history, "over_limit",
          "\"upstream\":\"%s\",\"service\":\"%s\",\"what\":\"slots\"",
          u->spec.name, u->spec.service);
      return AM_E_SHED;
    }
  return AM_OK;
}

static struct standin_job *
new_job (struct standin_upstream *u, struct am_stream *s,
         const struct am_packet *p)
{
  struct standin_job *j = calloc (1, sizeof *j);

  if (!j)
    return NULL;
  am_list_init (&j->node);
  j->upstream = u;
  j->stream = s;
  j->connection_id = p->connection_id;
  j->sequence = p->sequence;
  uv_timer_init (&u->world->program.loop, &j->timer);
  j->timer.data = j;
  return j;
}

static void
take_request (struct standin_upstream *u, struct am_stream *s,
              const struct am_packet *p)
{
  const uint8_t *data = p->body + AM_RUN_BODY_SIZE;
  const uint8_t *end = p->body + p->body_len;
  struct am_run_body body;
  struct standin_job *j;
  int err;

  if (am_run_body_decode (&body, p->body, p->body_len) != AM_OK)
    return;
  j = new_job (u, s, p);
  if (!j)
    return;
  take_line (j->req, sizeof j->req, &data, end);
  take_line (j->kind, sizeof j->kind, &data, end);
  j->deadline_us = standin_now_us () + (uint64_t)body.remaining_ms * US_PER_MS;
  err = refusal (u, &body);
  if (err)
    {
      refuse_job (j, err);
      free_job (j);
    }
  else if (u->busy < u->spec.slots)
    run (j);
  else
    {
      u->waiting++;
      am_list_push_back (&u->queued, &j->node);
    }
}

static void
take_cancel (struct standin_upstream *u, const struct am_packet *p)
{
  am_list_each_safe (j, next, &u->queued, struct standin_job, node)
  {
    if (j->connection_id == p->connection_id && j->sequence == p->sequence)
      {
        u->waiting--;
        refuse_job (j, AM_E_CANCELLED);
        free_job (j);
      }
  }
}

void
standin_run_packet (struct standin_upstream *u, struct am_stream *s,
                    const uint8_t *data, size_t len)
{
  struct am_packet p;

  if (am_packet_decode_stream (&p, data, len) != AM_OK)
    return;
  if (p.type == AM_PACKET_REQUEST)
    take_request (u, s, &p);
  else if (p.type == AM_PACKET_CANCEL)
    take_cancel (u, &p);
  else if (p.type == AM_PACKET_PROBE)
    send_reply (u, s, &p, AM_PACKET_REPORT, NULL, 0);
}

void
standin_run_stream_closed (struct standin_upstream *u, struct am_stream *s)
{
  struct am_list *lists[] = { &u->running, &u->queued };

  for (size_t i = 0; i < 2; i++)
    am_list_each (j, lists[i], struct standin_job, node)
    {
      if (j->stream == s)
        j->stream = NULL;
    }
}

void
standin_run_abandon (struct standin_upstream *u)
{
  struct am_list *lists[] = { &u->running, &u->queued };

  for (size_t i = 0; i < 2; i++)
    am_list_each_safe (j, next, lists[i], struct standin_job, node)
        free_job (j);
  u->busy = 0;
  u->waiting = 0;
}
