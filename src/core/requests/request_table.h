/* Requests pinned to this forwarder and what is held of them.

   Bounds: queued requests by the classes' queue limits, sent ones by credits,
   final ones by AM_OUTCOMES_MAX and the retention time, answers by
   AM_ANSWER_CACHE_BYTES.  */

#ifndef AM_CORE_REQUEST_TABLE_H
#define AM_CORE_REQUEST_TABLE_H

#include "core/board.h"
#include "core/requests/request.h"
#include "core/requests/request_state.h"
#include "core/requests/serial_window.h"

/* Deadline of a class whose record gives none.  */
#define AM_DEADLINE_DEFAULT_MS 5000u

/* A slot whose request timed out stays busy until the upstream answers, the
   connection is lost or this time after the deadline, at which the upstream
   has ended it by itself.  */
#define AM_SLOT_GRACE_US 2000000u

/* Outcomes held at the same time; 10 s at 1,600 requests a second.  */
#define AM_OUTCOMES_MAX 16384u

/* Answers held for retransmissions; a quarter of the 32 MB for control.  */
#define AM_ANSWER_CACHE_BYTES (8u << 20)

struct am_queue_class;

struct am_request
{
  UT_hash_handle by_serial;
  uint64_t serial;
  struct am_service *service;
  struct am_address caller;
  uint64_t connection_id;
  enum am_request_state state;

  /* Class, copied when the request arrived.  */
  uint32_t class_id;
  bool one_time;
  bool owned; /* without a ticket: may be sent under the owner's grant only */
  uint32_t weight;
  uint32_t priority;

  uint64_t arrived_us;
  uint64_t queued_us; /* last put into the queue */
  uint64_t deadline_us;
  bool cancelled;
  bool may_have_run; /* an upstream that had it was lost */
  uint32_t moves;    /* refusals by upstreams */
  uint8_t *payload;
  size_t payload_len;

  struct am_list wait; /* in QUEUED_IN while state QUEUED */
  struct am_queue_class *queued_in;
  struct am_list held;          /* in am_requests.held; holds a slot */
  struct am_upstream *upstream; /* whose slot it holds, or NULL */
  uint32_t last_upstream_id;    /* 0: none yet */
  uint64_t sent_us;

  struct am_list final;  /* in am_requests.finals */
  struct am_list cached; /* in am_requests.answers */
  uint64_t ended_us;
  int error; /* reason of the outcome */
  uint8_t *answer;
  size_t answer_len;
};

struct am_requests
{
  struct am_request *by_serial;
  struct am_list held;    /* by time of sending */
  struct am_list finals;  /* oldest first */
  struct am_list answers; /* oldest first */
  size_t final_count;
  size_t answer_bytes;
  size_t in_progress; /* queued or sent */
  uint64_t last_issue_us;
  uint64_t last_reply_us;
  bool issued;
  uint64_t dropped; /* packets of upstreams that match no sent request */
  struct am_serial_window serials;
};

/* Adds an empty request in state NONE.  Returns NULL if out of memory.  */
struct am_request *am_request_table_add (struct am_requests *t,
                                         uint64_t serial);
struct am_request *am_request_table_find (struct am_requests *t,
                                          uint64_t serial);

/* Returns the request that holds a slot of U and has the low 32 bits of
   serial SEQUENCE and connection id CONNECTION_ID, or NULL.  */
struct am_request *
am_request_table_find_by_sequence (struct am_requests *t,
                                   const struct am_upstream *u,
                                   uint32_t sequence, uint64_t connection_id);

/* Keeps a copy of PAYLOAD with R.  Returns AM_OK or AM_E_MEMORY.  */
int am_request_table_store_payload (struct am_request *r,
                                    const uint8_t *payload, size_t len);

/* Puts R, whose state has just become final, under the retention time; frees
   its payload.  */
void am_request_table_retain (struct am_board *b, struct am_request *r);

/* Keeps a copy of the answer with R; forgets the oldest answers beyond the
   bound.  Returns AM_OK or AM_E_MEMORY.  */
int am_request_table_cache_answer (struct am_requests *t, struct am_request *r,
                                   const uint8_t *answer, size_t len);

/* Takes or frees the slot of U for R.  */
void am_request_table_acquire_slot (struct am_board *b, struct am_request *r,
                                    struct am_upstream *u);
void am_request_table_release_slot (struct am_board *b, struct am_request *r);

/* Forgets R: nothing of it is left but its serial's bit.  It must not be
   queued.  */
void am_request_table_remove (struct am_board *b, struct am_request *r);

/* Forgets what has passed its retention time, and the oldest outcomes beyond
   the bound.  */
void am_request_table_expire (struct am_board *b);

#endif
