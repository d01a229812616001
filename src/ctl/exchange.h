/* One question to each of several agents, over blocking-free TCP sockets.  */

#ifndef AM_CTL_EXCHANGE_H
#define AM_CTL_EXCHANGE_H

#include "ctl/ctl.h"

/* Time an agent has for its answer.  */
#define CTL_AGENT_TIMEOUT_MS 2000

struct ctl_exchange
{
  struct am_address address;
  char name[AM_RECORD_NAME_SIZE];      /* of the VM; empty: not known */
  const Amaranth__Envelope *request;   /* not owned; may be NULL */
  Amaranth__Envelope__BodyCase wanted; /* ends the exchange */
  bool close_is_answer;
  Amaranth__Envelope **replies; /* owned */
  size_t reply_count;
  int error; /* AM_OK, AM_E_CONNECTION, AM_E_TIMEOUT, AM_E_AUTH, AM_E_FORMAT,
                AM_E_MEMORY or that of a Failure */
  /* Private.  */
  int fd;
  bool done;
  uint8_t *out;
  size_t out_len;
  size_t out_sent;
  uint8_t *in;
  size_t in_len;
  size_t in_size;
};

/* Sets E for a question to ADDRESS.  If WANTED is a StatusReply, a
   StatusRequest follows REQUEST, so that the answer shows that REQUEST was
   taken.  */
void ctl_exchange_init (struct ctl_exchange *e, struct am_address address,
                        const Amaranth__Envelope *request,
                        Amaranth__Envelope__BodyCase wanted);
void ctl_exchange_finish (struct ctl_exchange *e);

/* Runs N exchanges at once and returns when each has an answer or failed.  */
void ctl_exchange_run (struct ctl_exchange *list, size_t n, const uint8_t *key,
                       uint32_t timeout_ms);

/* Returns the first reply of the kind CASE, or NULL.  */
const Amaranth__Envelope *ctl_exchange_reply (const struct ctl_exchange *e,
                                              Amaranth__Envelope__BodyCase c);

/* Returns the StatusReply of E, or NULL.  */
const Amaranth__StatusReply *
ctl_exchange_status (const struct ctl_exchange *e);

/* A live entry VM.  */
struct ctl_vm
{
  uint32_t id;
  char name[AM_RECORD_NAME_SIZE];
  struct am_address agent;
};

/* Asks the named agents for the members and gives the union of those that at
   least one of them does not hold for dead or gone.  The caller frees *VMS.
   Returns AM_OK, AM_E_CONNECTION (no agent answered) or AM_E_MEMORY.  */
int ctl_live_vms (const struct ctl *c, struct ctl_vm **vms, size_t *n);

/* Sends REQUEST to all live entry VMs; the caller frees *LIST with
   ctl_exchange_list_free.  Same errors, which it reports.  */
int ctl_ask_all (struct ctl *c, const Amaranth__Envelope *request,
                 Amaranth__Envelope__BodyCase wanted,
                 struct ctl_exchange **list, size_t *n);
void ctl_exchange_list_free (struct ctl_exchange *list, size_t n);

/* Returns milliseconds of CLOCK_MONOTONIC.  */
uint64_t ctl_now_ms (void);

#endif
