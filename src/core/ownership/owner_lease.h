/* Lease by which one entry VM owns the ticketless requests of a service: the
   agent's side (docs/notes/one-time-tracked.md).

   One key of the store for each service names the owner.  The driver carries
   out the store calls and messages and reports every result; each call gets
   exactly one result.  The same events give the same actions.

     state      event                              becomes
     IDLE       poll due                           CHECKING
     CHECKING   key free and this VM may acquire   CREATING; else IDLE
     CREATING   session made                       READING; failure: IDLE
     READING    still free, no promise given       ACQUIRING; else ENDING
     ACQUIRING  taken                              VERIFYING; else ENDING
     VERIFYING  lock index is the epoch written    HOLDING; else ENDING
     HOLDING    session unknown to the store       IDLE
     HOLDING    stop                               LEAVING
     HOLDING    new forwarder process              RELEASING
     LEAVING    forwarder has given up             RELEASING
     RELEASING  any result                         ENDING
     ENDING     session ended                      IDLE

   Consul accepts only one of cas and acquire in a write, so a value may be
   overwritten by an acquisition that is based on an older one.  The value
   therefore carries the lock index that its acquisition is to have; a key
   whose lock index differs has lost the list of eligible successors.  */

#ifndef AM_CORE_CONTROL_OWNER_H
#define AM_CORE_CONTROL_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* 10 s is the shortest TTL that the platform takes.  580 services cost 145
   renewals a second of the several hundred writes that the store takes.  */
#define AM_LEASE_TTL_US 10000000u
#define AM_LEASE_RENEW_US 4000000u

/* A renewal without a result for this time counts as a failure, so that the
   successors are asked while the session is still valid.  */
#define AM_LEASE_RENEW_TIMEOUT_US 1000000u

/* How long before the store may end a session its holder stops: twice the
   500 ms by which clocks of VMs and upstreams may differ, and a second for the
   drift of clocks and the way to the upstream.  */
#define AM_LEASE_MARGIN_US 2000000u

/* A key that never existed is acquired when the home set has not changed for
   this time, in which a fresh agent hears of every member.  */
#define AM_LEASE_HOME_STABLE_US 10000000u

/* Length of one promise, and the wait of a restarted agent, which does not
   know what it promised.  */
#define AM_LEASE_PROMISE_US 30000000u
#define AM_LEASE_PROMISE_RENEW_US 10000000u
#define AM_LEASE_RETRY_US 1000000u

/* Consul ends a session between once and twice its TTL after the last
   renewal.  A younger agent promises nothing: an acquisition that the process
   before it had sent may still take effect.  */
#define AM_LEASE_SESSION_MAX_US 20000000u

/* Ownership by promises ends this long after the last renewal, so that a key
   without a usable list can be acquired again after this time.  */
#define AM_LEASE_OUTAGE_MAX_US 600000000u

/* A free key is taken by the first home VM at once, by each further one after
   this time more.  */
#define AM_LEASE_RANK_DELAY_US 500000u
#define AM_LEASE_POLL_US 2000000u

/* How long the others leave a key to the member that has the whole table: two
   of its polls.  */
#define AM_LEASE_SUCCESSOR_PRIORITY_US 4000000u
#define AM_LEASE_POLL_LOW_RANK_US 30000000u

#define AM_LEASE_ELIGIBLE_MAX 7
#define AM_LEASE_SESSION_SIZE 64

enum am_lease_state
{
  AM_LEASE_IDLE,
  AM_LEASE_CHECKING,
  AM_LEASE_CREATING,
  AM_LEASE_READING,
  AM_LEASE_ACQUIRING,
  AM_LEASE_VERIFYING,
  AM_LEASE_HOLDING,
  AM_LEASE_LEAVING,
  AM_LEASE_RELEASING,
  AM_LEASE_ENDING,
};

struct am_lease_value
{
  uint32_t owner_id;
  uint64_t boot_id;   /* of the owner's forwarder */
  uint64_t epoch;     /* lock index of its acquisition */
  bool released;      /* given up: nothing runs under it any more */
  uint32_t handed_to; /* member that has the whole table; 0: none */
  uint32_t eligible[AM_LEASE_ELIGIBLE_MAX]; /* may acquire next */
  size_t eligible_count;
};

/* Result of reading the key.  */
struct am_lease_read_result
{
  int error; /* AM_OK, AM_E_NOT_FOUND or the failure */
  bool locked;
  uint64_t lock_index;
  struct am_lease_value value;
};

enum am_lease_action_type
{
  AM_LEASE_READ,
  AM_LEASE_CREATE,
  AM_LEASE_ACQUIRE, /* VALUE */
  AM_LEASE_RENEW,
  AM_LEASE_RELEASE, /* VALUE */
  AM_LEASE_DESTROY,
  AM_LEASE_REQUEST_PROMISE,  /* member TO for a promise about EPOCH */
  AM_LEASE_PROMISE,          /* answer to member TO */
  AM_LEASE_NOTIFY_FORWARDER, /* the forwarder: read am_lease_grant */
};

struct am_lease_action
{
  enum am_lease_action_type type;
  uint64_t call; /* to be handed back with the result; ASK, PROMISE: number of
                    the question */
  const char *session;
  const struct am_lease_value *value;
  uint32_t to;
  uint64_t epoch;
};

struct am_lease_sink
{
  /* Must not call back into the lease.  */
  void (*emit) (void *userdata, const struct am_lease_action *a);
  void *userdata;
};

/* What the forwarder is told.  It owns the requests before UNTIL_US.  */
struct am_lease_grant
{
  uint64_t boot_id; /* of the forwarder process that it is for */
  uint64_t epoch;
  uint64_t until_us; /* monotonic; 0: not the owner */
  bool first;        /* the key had no owner before */
  bool same;         /* the owner before was the same forwarder process */
  bool handed;       /* the owner before handed its table over to this one */
};

struct am_lease_promise
{
  uint64_t asked_us;
  uint64_t question;
  uint64_t until_us; /* 0: none */
};

struct am_lease
{
  struct am_lease_sink sink;
  uint32_t self_id;
  uint64_t boot_id; /* of the own forwarder; 0: unknown */
  uint64_t now_us;
  uint64_t started_us;
  bool stopping;

  uint32_t home[AM_LEASE_ELIGIBLE_MAX]; /* in rendezvous order */
  size_t home_count;
  uint64_t home_us; /* last change */

  enum am_lease_state state;
  uint64_t call; /* number of the last call of the state; 0: none waits */
  uint64_t call_sent_us;
  uint64_t calls;
  uint64_t poll_us;           /* next poll, retry or renewal */
  uint64_t free_since_us;     /* key seen free; 0: not */
  uint64_t unlisted_since_us; /* free without a place in the list; 0: not */
  uint64_t unlisted_index;    /* lock index then */
  uint64_t highest_epoch;     /* seen in the store */
  bool has_read;              /* the key, since the start */
  uint64_t first_index;       /* lock index then; 0: the key did not exist */
  char session[AM_LEASE_SESSION_SIZE];
  uint64_t session_us; /* before the last renewal that succeeded was sent */
  struct am_lease_value value; /* as last written by this VM */
  struct am_lease_grant grant;
  uint64_t lease_until_us;
  uint64_t confirmed_us; /* last renewal while HOLDING */
  bool outage;           /* the last renewal failed */
  struct am_lease_promise promises[AM_LEASE_ELIGIBLE_MAX];
  uint64_t questions;
  uint64_t promised_until_us; /* promise given to the present owner */
};

/* Sets up L at time NOW_US; HOLD-off of a restarted agent counts from it.  */
void am_lease_init (struct am_lease *l, uint32_t self_id, uint64_t now_us,
                    const struct am_lease_sink *sink);

/* Sets the home set in rendezvous order.  Of more than
   AM_LEASE_ELIGIBLE_MAX the first are used.  */
void am_lease_set_home (struct am_lease *l, const uint32_t *ids, size_t count);

/* The forwarder's boot id is known or has changed: the process before is gone,
   because it held the same port.  */
void am_lease_set_forwarder (struct am_lease *l, uint64_t now_us,
                             uint64_t boot_id);

/* The forwarder has given up: it runs nothing under the grant any more.
   HANDED_TO has its whole table, or is 0.  */
void am_lease_forwarder_stopped (struct am_lease *l, uint64_t now_us,
                                 uint32_t handed_to);

/* Results of calls; those of an earlier call are dropped.  */
void am_lease_read_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                         const struct am_lease_read_result *e);
void am_lease_session_created (struct am_lease *l, uint64_t now_us,
                               uint64_t call, int error, const char *session);
void am_lease_call_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                         int error);

/* Member FROM asks not to acquire the key for AM_LEASE_PROMISE_US.  */
void am_lease_promise_requested (struct am_lease *l, uint64_t now_us,
                                 uint32_t from, uint64_t question,
                                 uint64_t epoch);

/* Member FROM has promised.  */
void am_lease_promise_received (struct am_lease *l, uint64_t now_us,
                                uint32_t from, uint64_t question);

void am_lease_stop (struct am_lease *l, uint64_t now_us);

/* Lets a lease that was stopped be acquired again.  */
void am_lease_resume (struct am_lease *l);
void am_lease_tick (struct am_lease *l, uint64_t now_us);

/* Returns true if a stopping agent need not wait for the lease.  */
bool am_lease_may_exit (const struct am_lease *l);

const char *am_lease_state_name (enum am_lease_state state);

#endif
