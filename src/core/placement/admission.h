/* Admission control: a bounded queue for each request class of a service.

   A request is refused on arrival if the queue of its class is full, if the
   estimated queueing delay is too long, or if the requests ahead of it and its
   own expected response time would exceed its deadline.  The response time is
   a smoothed average per class.

   Classes are served by priority level, the lowest number first.  The level is
   the priority in the class record, minus one if the weight of the class is 2
   or more.  Each class is first in, first out; between classes of the same
   level the request that arrived first is sent first.  After
   AM_PRIORITY_BYPASS_MAX requests of higher classes the head of a lower class
   is sent next, so that no class starves.  */

#ifndef AM_CORE_ADMISSION_H
#define AM_CORE_ADMISSION_H

#include "core/board.h"
#include "core/requests/request_table.h"

/* Maximum number of consecutive requests of higher classes that are sent
   while a lower class waits.  A lower class gets at least 1/17 of the slots.
   Priority ageing (one level for each 500 ms of waiting) is not used: at an
   offered load of twice the capacity a light class then took 57 % of the slots
   while requests of the heavy class were refused, and the weighted goodput
   fell to 0.935 of what the slots allow.  */
#define AM_PRIORITY_BYPASS_MAX 16u

/* Longest estimated queueing delay at which a request is admitted: a fifth of
   the time to its deadline, but at least one second.  With a deadline of 5 s
   such a queue drains in about 3.3 s at a load of 0.7 once an overload ends; a
   full queue of 64 took over 5 s.  */
#define AM_QUEUE_WAIT_DEADLINE_DIVISOR 5u
#define AM_QUEUE_WAIT_MIN_US 1000000u

/* Queue limit, in requests, of a class whose record does not set one.  */
#define AM_QUEUE_LIMIT_DEFAULT 64u

/* Queue and response time estimate of one request class of a service.  */
struct am_queue_class
{
  uint32_t id;            /* of the class, as in the service record */
  struct am_list waiting; /* struct am_request.wait, in order of sending */
  size_t count;           /* requests in WAITING */
  uint64_t answer_us;     /* smoothed response time, 0: no sample yet */
  uint64_t deviation_us;  /* smoothed mean deviation from ANSWER_US */
  uint64_t sampled_us;    /* am_board.now_us at the last sample */
};

/* All queues of a service.  */
struct am_queue
{
  struct am_queue_class classes[AM_CLASSES_MAX];
  size_t class_count;
  size_t count;          /* requests in all classes */
  uint32_t bypass_count; /* consecutive requests sent ahead of a lower class */
};

/* Allocates S->queue if it is NULL; it must be released with
   am_admission_finish.  Returns AM_OK or AM_E_MEMORY.  */
int am_admission_prepare (struct am_service *s);

/* Frees S->queue, which must be empty, and sets it to NULL.  */
void am_admission_finish (struct am_service *s);

/* Returns AM_OK if R may be queued, AM_E_QUEUE_FULL if the queue of its class
   is full or the estimated queueing delay is too long, or AM_E_DEADLINE if R
   is not expected to be answered before its deadline.  LIMIT is the queue
   limit of the class in requests; 0 means AM_QUEUE_LIMIT_DEFAULT.  R is not
   queued by this.  S->queue must have been allocated by am_admission_prepare.
   If the estimate is the reason for the error, it may be lowered as described
   at am_admission_meets_deadline.  */
int am_admission_check (const struct am_board *b, struct am_service *s,
                        const struct am_request *r, uint32_t limit);

/* Queues R in its class.  FRONT puts it at the head, for a request that an
   upstream has refused.  am_admission_remove does nothing if R is not queued.
 */
void am_admission_push (struct am_service *s, struct am_request *r,
                        bool front);
void am_admission_remove (struct am_service *s, struct am_request *r);

/* Returns the request to be sent next, or NULL if none is queued.  The request
   stays in the queue.  */
struct am_request *am_admission_next (const struct am_service *s);

/* Updates am_queue.bypass_count after R, already removed from its queue, has
   been sent to an upstream.  */
void am_admission_sent (struct am_service *s, const struct am_request *r);

/* Returns true if R, the next of its queue, is expected to be answered before
   its deadline: the smoothed response time plus four deviations must fit.  The
   margin is needed because the outcome of a one-time request that misses its
   deadline is UNKNOWN.  If the class has had no answer for a second, each
   return of false, and each refusal by am_admission_check for its estimate,
   lowers the estimate by an eighth, so that a single slow answer cannot keep a
   class out permanently.  */
bool am_admission_meets_deadline (const struct am_board *b,
                                  struct am_service *s,
                                  const struct am_request *r);

/* Adds a sample to the response time estimate of class CLASS_ID: ANSWER_US
   microseconds from sending a request to an upstream until its answer.  Does
   nothing if S->queue is NULL.  */
void am_admission_answered (const struct am_board *b, struct am_service *s,
                            uint32_t class_id, uint64_t answer_us);

#endif
