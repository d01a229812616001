/* Decision lines of the core: written to the log at a bounded rate, and the
   most recent ones kept for an operator's question about one connection.  */

#ifndef AM_FORWARDER_DECISION_LOG_H
#define AM_FORWARDER_DECISION_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/log.h"

#define AM_DECISION_RING_SIZE 8192
#define AM_DECISION_LINE_SIZE 240
#define AM_DECISION_KINDS_MAX 48
#define AM_DECISION_KIND_SIZE 24

/* Lines a second of one event kind; a storm of thousands of opens a second
   would otherwise fill the log and cost more than the opens.  */
#define AM_DECISION_RATE 200

struct am_decision_line
{
  uint64_t tag;
  char text[AM_DECISION_LINE_SIZE];
};

struct am_decision_kind
{
  char name[AM_DECISION_KIND_SIZE];
  struct am_log_limiter limiter;
};

struct am_decision_log
{
  struct am_log *log; /* not owned */
  bool write;         /* to the log; the ring is always kept */
  struct am_decision_line *ring;
  size_t next;
  size_t count;
  struct am_decision_kind kinds[AM_DECISION_KINDS_MAX];
  size_t kind_count;
};

/* Returns AM_OK or AM_E_MEMORY.  */
int am_decision_log_init (struct am_decision_log *d, struct am_log *log,
                          bool write);
void am_decision_log_finish (struct am_decision_log *d);

/* Takes one line of LEN bytes about TAG.  */
void am_decision_log_add (struct am_decision_log *d, uint64_t now_us,
                          uint64_t tag, const char *text, size_t len);

/* Reports lines that were held back and that no later line of the same kind
   reported.  Called once a second.  */
void am_decision_log_tick (struct am_decision_log *d, uint64_t now_us);

/* Fills LINES with up to MAX lines about the connection or request ID, oldest
   first.  They stay valid until the next line is added.  Returns their number.
   */
size_t am_decision_log_find (const struct am_decision_log *d, uint64_t id,
                             const char **lines, size_t max);

#endif
