/* Table of the requests of this forwarder, with their payloads, retained
   outcomes and cached answers.

   Bounds: queued requests by the queue limits of the classes, sent ones by the
   slot quotas, final ones by AM_OUTCOMES_MAX and AM_OUTCOME_RETENTION_MS,
   answers by AM_ANSWER_CACHE_BYTES.

   A request in a final state is retained: it stays in the table, to answer
   retransmissions, until it is removed.  Fields in _us are times of
   am_board.now_us.  */

#ifndef AM_CORE_REQUEST_TABLE_H
#define AM_CORE_REQUEST_TABLE_H

#include "core/board.h"
#include "core/requests/request.h"
#include "core/requests/request_state.h"
#include "core/requests/serial_window.h"

/* Deadline in milliseconds of a class whose record sets none.  */
#define AM_DEADLINE_DEFAULT_MS 5000u

/* The slot of a request that timed out stays busy until the upstream answers,
   its connection is lost or this many microseconds have passed since the
   deadline, by when the upstream has ended the request itself.  */
#define AM_SLOT_GRACE_US 2000000u

/* Limit of retained outcomes; 10 s at 1,600 requests per second.  */
#define AM_OUTCOMES_MAX 16384u

/* Limit in bytes of the answers cached for retransmission; a quarter of the
   32 MB for control.  */
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
  bool owned; /* arrived without a ticket: sent only while the OwnerGrant of
                 this VM for the service is valid (core/ownership/ticketless.h)
               */
  uint32_t weight;
  uint32_t priority;

  uint64_t arrived_us;
  uint64_t queued_us; /* last time it was queued */
  uint64_t deadline_us;
  bool cancelled;
  bool may_have_run; /* sent to an upstream whose connection was lost, or
                        which reported UNKNOWN */
  uint32_t moves;    /* times it was queued again because an upstream refused
                        it or could not be connected to */
  uint8_t *payload;  /* owned by the request; NULL in a final state */
  size_t payload_len;

  struct am_list wait; /* in QUEUED_IN while in state QUEUED */
  struct am_queue_class *queued_in;
  struct am_list held;          /* in am_requests.held while it holds a slot */
  struct am_upstream *upstream; /* upstream of the slot it holds, or NULL */
  uint32_t last_upstream_id;    /* 0: none yet */
  uint64_t sent_us;

  struct am_list final;  /* in am_requests.finals in a final state */
  struct am_list cached; /* in am_requests.answers while ANSWER is cached */
  uint64_t ended_us;
  int error;       /* reason in the OUTCOME */
  uint8_t *answer; /* owned by the request; NULL: not cached */
  size_t answer_len;
};

/* The table of requests.  */
struct am_requests
{
  struct am_request *by_serial;
  struct am_list held;    /* requests that hold a slot, in sending order */
  struct am_list finals;  /* requests in a final state, oldest first */
  struct am_list answers; /* requests with a cached answer, oldest first */
  size_t final_count;
  size_t answer_bytes;
  size_t in_progress;     /* queued or sent */
  uint64_t last_issue_us; /* last ticket issued to a caller */
  uint64_t last_reply_us; /* last outcome sent to a caller */
  bool issued;            /* a ticket has been issued to a caller */
  uint64_t dropped; /* packets from upstreams that match no sent request */
  struct am_serial_window serials;
};

/* Adds an empty request in state NONE.  Returns NULL if out of memory.  The
   table owns it.  */
struct am_request *am_request_table_add (struct am_requests *t,
                                         uint64_t serial);

/* Returns the request with SERIAL, or NULL.  */
struct am_request *am_request_table_find (struct am_requests *t,
                                          uint64_t serial);

/* Returns the request that holds a slot of U, whose serial has the low 32 bits
   SEQUENCE and whose connection id is CONNECTION_ID, or NULL.  */
struct am_request *
am_request_table_find_by_sequence (struct am_requests *t,
                                   const struct am_upstream *u,
                                   uint32_t sequence, uint64_t connection_id);

/* Stores a copy of PAYLOAD of LEN bytes in R, which must have none.  Returns
   AM_OK or AM_E_MEMORY.  */
int am_request_table_store_payload (struct am_request *r,
                                    const uint8_t *payload, size_t len);

/* Starts the retention time of R, whose state has just become final, and frees
   its payload.  */
void am_request_table_retain (struct am_board *b, struct am_request *r);

/* Caches a copy of ANSWER of LEN bytes in R and evicts the oldest answers
   above AM_ANSWER_CACHE_BYTES.  R must have no cached answer.  Returns AM_OK,
   or AM_E_MEMORY, in which case nothing is cached.  */
int am_request_table_cache_answer (struct am_requests *t, struct am_request *r,
                                   const uint8_t *answer, size_t len);

/* Counts a slot of U as busy with R and records U and the time as those of
   sending.  Does not check that a slot is free; see am_choice_pick.  */
void am_request_table_acquire_slot (struct am_board *b, struct am_request *r,
                                    struct am_upstream *u);

/* Releases the slot of R, if it holds one, and then calls
   am_quota_release_idle_leases.  */
void am_request_table_release_slot (struct am_board *b, struct am_request *r);

/* Removes and frees R, which must not be queued.  Its serial stays marked as
   used.  */
void am_request_table_remove (struct am_board *b, struct am_request *r);

/* Removes requests whose retention time has passed, and the oldest outcomes
   above AM_OUTCOMES_MAX.  */
void am_request_table_expire (struct am_board *b);

#endif
