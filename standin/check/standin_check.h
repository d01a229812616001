/* Checker of histories (docs/notes/history.md).

   Reads the events that callers, upstreams and operators wrote, in order of
   time, and decides the promises of docs/design.md, section 1.2.  Memory
   grows with the number of flows and requests, not with that of lines.  */

#ifndef STANDIN_CHECK_H
#define STANDIN_CHECK_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/* Promises are numbered from 1 as in docs/design.md.  */
#define HISTORY_PROMISES 8

/* Violations that are named in full, for each promise.  */
#define HISTORY_NAMED_MAX 5

/* Bounds of docs/design.md, sections 1.2 and 7.  */
#define HISTORY_LEAVING_BOUND_US 3000000
#define HISTORY_CONFIG_BOUND_US 6000000

/* An open feed whose upstream goes on sending while the caller receives
   nothing for this long did not survive.  Twice the bound for re-opening a
   silent flow.  */
#define HISTORY_STALL_BOUND_US 10000000

/* Events of one file may be written slightly out of order by threads of one
   process.  A step back beyond this is a fault of the file.  */
#define HISTORY_DISORDER_US 1000000

/* Place of an event.  */
struct history_place
{
  uint32_t file; /* index in the order of the arguments */
  uint32_t line; /* from 1; 0: none */
};

/* Counts of one promise.  */
struct history_promise
{
  uint64_t checked; /* events that it was decided by */
  uint64_t violations;
  char *named[HISTORY_NAMED_MAX];
};

/* Each name of a service, upstream, VM or reason is kept once; equal names
   are equal pointers.  */
struct history_name
{
  UT_hash_handle hh;
  char text[];
};

/* One of the upstreams that accepted a flow.  Two entry VMs may each open a
   flow when its first packet was repeated.  */
struct history_holder
{
  struct history_holder *next;
  const struct history_name *upstream;
};

struct history_flow
{
  UT_hash_handle hh;
  const struct history_name *service;  /* NULL: no caller opened it */
  const struct history_name *upstream; /* of the alerts received */
  struct history_holder *holders;
  struct history_flow *replaces;
  struct history_place place;
  int64_t open_us;
  int64_t opened_us;  /* -1: not yet */
  int64_t ended_us;   /* -1: open; closed or broken */
  int64_t sent_us;    /* last alert sent, -1: none */
  int64_t alert_us;   /* last alert received, -1: none */
  int64_t stalled_us; /* when the alert that was missed first was sent */
  int64_t cause_us;   /* failure that excuses its end, -1: none */
  bool broken;
  char id[];
};

/* One execution's answer.  */
struct history_done
{
  struct history_done *next;
  int64_t bytes;
  char digest[];
};

struct history_request
{
  UT_hash_handle hh;
  const struct history_name *service; /* NULL: no caller sent it */
  const struct history_name *reason;
  struct history_done *done;
  char *digest; /* of the answer received */
  int64_t bytes;
  int64_t sent_us;
  int64_t ended_us; /* -1: no result yet */
  struct history_place sent;
  struct history_place ran;
  struct history_place ended;
  uint32_t runs;
  uint32_t results;
  bool one_time;
  bool answered;
  bool not_run;
  bool unknown;
  bool gave_up;
  char id[];
};

/* What the operators know of one upstream.  */
struct history_upstream
{
  UT_hash_handle hh;
  const struct history_name *service;
  int64_t leaving_us; /* -1: not leaving */
  int64_t crashed_us; /* -1: never */
  char id[];
};

/* One accepted revision of a record.  */
struct history_config
{
  uint64_t revision;
  int64_t t_us;
  struct history_place place;
};

struct history_record
{
  UT_hash_handle hh;
  struct history_config *configs; /* in order of acceptance */
  size_t config_count;
  char id[];
};

/* What one entry VM was seen to have in force of one record.  */
struct history_view
{
  struct history_view *next;
  struct history_record *record;
  uint64_t revision;
  struct history_place place;
  size_t reached; /* accepted revisions that it has reached */
};

struct history_vm
{
  UT_hash_handle hh;
  struct history_view *views;
  int64_t up_us;
  bool down;
  char id[];
};

struct history_stop
{
  int64_t from_us;
  int64_t to_us; /* INT64_MAX: not ended */
  struct history_vm *vm;
  struct history_place place;
};

struct history_figures
{
  uint64_t lines;
  uint64_t flows;
  uint64_t flows_opened;
  uint64_t flows_closed;
  uint64_t broken;
  uint64_t broken_excused;
  uint64_t reopened;
  uint64_t stalled;
  int64_t reopen_max_us; /* from the end of the old flow to the new one */
  int64_t silent_reopen_max_us; /* from the fault to the new flow */
  uint64_t alerts_sent;
  uint64_t alerts;
  int64_t alert_latency_max_us;
  uint64_t requests;
  uint64_t answered;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t unknown_unplanned;
  uint64_t gave_up;
  uint64_t no_result;
  uint64_t runs;
  uint64_t refused;
  uint64_t over_limit;
  uint64_t doubled;
  uint64_t false_not_run;
  uint64_t crossed;
  uint64_t partial;
  uint64_t several_results;
  uint64_t lost_orders;
  uint64_t wrong_service;
  uint64_t work_after_leaving;
  int64_t leaving_delay_max_us; /* last new work after the mark */
  uint64_t cut_by_stop;
  uint64_t stops;
  uint64_t kills;
  uint64_t configs;
  uint64_t reverted;
  uint64_t accepted_twice;
  uint64_t config_late;
  int64_t spread_max_us;
  int64_t spread_sum_us;
  uint64_t spread_count;
};

struct history
{
  const char *const *files;
  struct history_name *names;
  struct history_flow *flows;
  struct history_request *requests;
  struct history_upstream *upstreams;
  struct history_vm *vms;
  struct history_record *records;
  struct history_stop *stops;
  size_t stop_count;
  int64_t *faults; /* times of unplanned failures, ascending */
  size_t fault_count;
  int64_t silence_us; /* last silence of open flows; -1: none */
  int64_t end_us;
  bool out_of_memory;
  struct history_promise promises[HISTORY_PROMISES];
  struct history_figures figures;
};

/* Says what is wrong with an input.  */
struct history_fault
{
  char text[256];
};

/* Sets up an empty checker.  FILES names the inputs in messages and must
   outlive H.  */
void history_init (struct history *h, const char *const *files);
void history_finish (struct history *h);

/* Takes one event, an object that the caller keeps.  Events come in order of
   time.  Returns AM_OK, AM_E_MEMORY, or AM_E_FORMAT for an unknown event or
   for a missing field or one of the wrong type, with the reason in F.  */
int history_add (struct history *h, struct history_place place,
                 const json_t *event, struct history_fault *f);

/* Reads H's COUNT files, merges them by time and adds every event.  With
   ALLOW_CUT an unfinished last line of a file is passed over.  Returns as
   history_add, or AM_E_IO, or AM_E_SHORT if a file is empty or the files hold
   no flow, request or configuration at all.  */
int history_read (struct history *h, size_t count, bool allow_cut,
                  struct history_fault *f);

/* Decides what only the end of the run can show.  Call once, after the last
   event.  Returns AM_OK or AM_E_MEMORY.  */
int history_decide (struct history *h);

/* Returns true if every promise holds.  */
bool history_holds (const struct history *h);

/* Returns a new object with the promises and the figures, or NULL if memory
   is short.  */
json_t *history_report (const struct history *h);

#endif
