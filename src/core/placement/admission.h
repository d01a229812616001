/* Admission: one bounded queue per class and service.

   A request is refused at once if the queue of its class is full, by number
   or by the time it would take, or if its deadline cannot be met with the
   work ahead of it and the smoothed time to answer.  Order: priority of the
   class, where a weight of 2 gains one level; within a class first come, first
   served.  After AM_PRIORITY_BYPASS_MAX requests of higher classes the head of
   a lower class goes next, so that no class starves.  */

#ifndef AM_CORE_ADMISSION_H
#define AM_CORE_ADMISSION_H

#include "core/board.h"
#include "core/requests/request_table.h"

/* Requests of higher classes that may be sent while a lower one waits.  It
   leaves a lower class at least 1/17 of the slots.  Ageing by waiting time
   instead (one level each 500 ms) gave a waiting light class 57 % of the slots
   at twice the capacity, and the heavy class was refused: 0.935 of the
   weighted goodput that the slots allow.  */
#define AM_PRIORITY_BYPASS_MAX 16u

/* Longest wait that is admitted: a fifth of the deadline, but at least one
   second.  After an overload of a class with a deadline of 5 s, a load of 0.7
   works off such a queue in about 3.3 s; a full queue of 64 took over 5 s.  */
#define AM_QUEUE_WAIT_DEADLINE_DIVISOR 5u
#define AM_QUEUE_WAIT_MIN_US 1000000u

/* Queue limit of a class whose record gives none.  */
#define AM_QUEUE_LIMIT_DEFAULT 64u

struct am_queue_class
{
  uint32_t id;
  struct am_list waiting;
  size_t count;
  uint64_t answer_us;  /* smoothed time to answer, 0: not known */
  uint64_t spread_us;  /* smoothed deviation from it */
  uint64_t sampled_us; /* time of the last answer */
};

struct am_queue
{
  struct am_queue_class classes[AM_CLASSES_MAX];
  size_t class_count;
  size_t count;         /* requests in all classes */
  uint32_t passed_over; /* requests sent while a lower class waited */
};

/* Sets up S->queue if there is none.  Returns AM_OK or AM_E_MEMORY.  */
int am_admission_prepare (struct am_service *s);

/* Frees S->queue, which must be empty.  */
void am_admission_finish (struct am_service *s);

/* Returns AM_OK if R may wait for a slot, else AM_E_QUEUE_FULL or
   AM_E_DEADLINE.  LIMIT is the class's queue limit.  */
int am_admission_check (const struct am_board *b, struct am_service *s,
                        const struct am_request *r, uint32_t limit);

/* Puts R into its queue: at the end, or at the FRONT after a refusal.  */
void am_admission_push (struct am_service *s, struct am_request *r,
                        bool front);
void am_admission_remove (struct am_service *s, struct am_request *r);

/* Returns the request to be sent next, or NULL.  It stays in the queue.  */
struct am_request *am_admission_next (const struct am_service *s);

/* Notes that R, which is no longer in its queue, is handed to an upstream.  */
void am_admission_sent (struct am_service *s, const struct am_request *r);

/* Returns true if R, next in its queue, can still be answered in time: by the
   smoothed time to answer and four deviations, since a one-time request that
   misses its deadline is UNKNOWN.  Without an answer for a second each
   refusal lowers the estimate, so that one slow answer does not shut a class
   out for good.  */
bool am_admission_meets_deadline (const struct am_board *b,
                                  struct am_service *s,
                                  const struct am_request *r);

/* Notes that a request of class CLASS_ID was answered after ANSWER_US.  */
void am_admission_answered (const struct am_board *b, struct am_service *s,
                            uint32_t class_id, uint64_t answer_us);

#endif
