/* Parts that the sources of the history checker share.  */

#ifndef STANDIN_CHECK_PARTS_H
#define STANDIN_CHECK_PARTS_H

#include "check/standin_check.h"

/* Counts a violation of PROMISE and names the first few, with the lines at A
   and B unless they are nowhere.  */
void history_violate (struct history *h, int promise, struct history_place a,
                      struct history_place b, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Counts an event that PROMISE was decided by.  */
void history_checked (struct history *h, int promise);

static const struct history_place nowhere = { 0, 0 };

/* Returns SIZE zeroed bytes followed by the string ID, or NULL.  */
void *history_allocate (struct history *h, size_t size, const char *id);

/* Makes room for one more element in the array that *P points to.  */
bool history_grow (struct history *h, void **p, size_t count, size_t size);

/* Return the entry, added if there is none, or NULL if memory is short; then
   history_add returns AM_E_MEMORY.  */
const struct history_name *history_name_of (struct history *h,
                                            const char *text);
struct history_flow *history_flow_of (struct history *h, const char *id);
struct history_request *history_request_of (struct history *h, const char *id);
struct history_upstream *history_upstream_of (struct history *h,
                                              const char *service,
                                              const char *upstream);
/* A VM that no event started has been up all the time.  */
struct history_vm *history_vm_of (struct history *h, const char *id);
struct history_record *history_record_of (struct history *h, const char *id);
struct history_view *history_view_of (struct history *h, struct history_vm *v,
                                      struct history_record *r);

/* Notes an unplanned failure at time T.  */
void history_add_fault (struct history *h, int64_t t);

/* Returns true if an unplanned failure lies between FROM and TO.  */
bool history_fault_between (const struct history *h, int64_t from, int64_t to);

/* Returns true if UPSTREAM accepted F.  */
bool history_holds_flow (const struct history_flow *f,
                         const struct history_name *upstream);

/* Counts revision C of R as late on V, TOOK microseconds after it was due. */
void history_late_config (struct history *h, const struct history_vm *v,
                          const struct history_record *r,
                          const struct history_config *c, int64_t took);

/* Returns the time since which V has had to have C: its acceptance, or when
   V came up.  */
int64_t history_due_since (const struct history_vm *v,
                           const struct history_config *c);

/* Marks the accepted revisions that V has reached at time T.  */
void history_reach (struct history *h, const struct history_vm *v,
                    struct history_view *w, int64_t t);

#endif
