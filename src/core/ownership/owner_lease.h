/* Lease in the store that makes one entry VM the owner of the ticketless
   requests of a service: state machine of the agent
   (docs/notes/one-time-tracked.md).

   One key of the store for each service names the owner.  The embedding
   program executes the store calls and sends the messages that the lease
   emits, and reports exactly one result for each store call.  The state
   machine is deterministic: the same events give the same actions.

     state      event                              becomes
     IDLE       poll due                           CHECKING
     CHECKING   key free and this VM may acquire   CREATING; else IDLE
     CREATING   session created                    READING; failure: IDLE
     READING    still free, no promise given       ACQUIRING; else ENDING
     ACQUIRING  acquired                           VERIFYING; else ENDING
     VERIFYING  lock index equals written epoch    HOLDING; else ENDING
     HOLDING    session unknown to the store       IDLE
     HOLDING    stop                               LEAVING
     HOLDING    new forwarder process              RELEASING
     LEAVING    forwarder stopped or grant expired RELEASING
     RELEASING  any result                         ENDING
     ENDING     session ended                      IDLE

   Consul accepts only one of cas and acquire in a write, so an acquisition
   that is based on an older value may overwrite a newer one.  The value
   therefore contains the lock index that its acquisition is expected to get,
   the epoch.  If the lock index of a key differs from the epoch in its value,
   the list of eligible successors has been lost.

   All times are in microseconds of the monotonic clock.  */

#ifndef AM_CORE_OWNER_LEASE_H
#define AM_CORE_OWNER_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* TTL of the session and interval of its renewal.  10 s is the shortest TTL
   that the platform accepts.  580 services cause 145 renewals per second; the
   store sustains several hundred writes per second.  */
#define AM_LEASE_TTL_US 10000000u
#define AM_LEASE_RENEW_US 4000000u

/* A renewal without a result for this time counts as failed, so that promises
   are requested from the successors while the session is still valid.  */
#define AM_LEASE_RENEW_TIMEOUT_US 1000000u

/* The grant ends this long before the store may end the session: twice the
   500 ms by which the clocks of VMs and upstreams may differ, and 1 s for
   clock drift and the path to the upstream.  */
#define AM_LEASE_MARGIN_US 2000000u

/* A key that never existed may be acquired only if the home set has not
   changed for this time, in which a newly started agent learns of every
   member.  */
#define AM_LEASE_HOME_STABLE_US 10000000u

/* A promise is an undertaking not to acquire the lease before a given time.
   Duration of one promise; also how long a restarted agent waits, since it
   does not know what the previous process promised.  */
#define AM_LEASE_PROMISE_US 30000000u
#define AM_LEASE_PROMISE_RENEW_US 10000000u

/* Delay before a failed store call or an unanswered promise request is
   retried.  */
#define AM_LEASE_RETRY_US 1000000u

/* Consul ends a session between one and two TTLs after the last renewal.  An
   agent that started less than this time ago gives no promise, because an
   acquisition sent by the previous process may still take effect.  */
#define AM_LEASE_SESSION_MAX_US 20000000u

/* Ownership that rests on promises ends this long after the last successful
   renewal, so that a key without a usable list of successors can be acquired
   after this time.  */
#define AM_LEASE_OUTAGE_MAX_US 600000000u

/* The first home VM acquires a free key at once; each following one waits for
   this additional time.  */
#define AM_LEASE_RANK_DELAY_US 500000u

/* Interval at which the first two home VMs read the key, and all others.  */
#define AM_LEASE_POLL_US 2000000u
#define AM_LEASE_POLL_LOW_RANK_US 30000000u

/* How long the other members leave a released key to the member that received
   the complete deduplication table: two of its polls.  */
#define AM_LEASE_SUCCESSOR_PRIORITY_US 4000000u

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

/* Value of the key in the store.  */
struct am_lease_value
{
  uint32_t owner_id;
  uint64_t boot_id;   /* of the owner's forwarder */
  uint64_t epoch;     /* lock index of its acquisition */
  bool released;      /* the owner executes nothing under it any more */
  uint32_t handed_to; /* member with the complete deduplication table; 0: none
                       */
  uint32_t eligible[AM_LEASE_ELIGIBLE_MAX]; /* members that may acquire next */
  size_t eligible_count;
};

/* Result of reading the key.  VALUE is set only if ERROR is AM_OK.  */
struct am_lease_read_result
{
  int error; /* AM_OK, AM_E_NOT_FOUND (no such key) or the failure */
  bool locked;
  uint64_t lock_index;
  struct am_lease_value value;
};

enum am_lease_action_type
{
  AM_LEASE_READ,             /* read the key */
  AM_LEASE_CREATE,           /* create a session */
  AM_LEASE_ACQUIRE,          /* acquire the key with VALUE */
  AM_LEASE_RENEW,            /* renew the session */
  AM_LEASE_RELEASE,          /* release the key with VALUE */
  AM_LEASE_DESTROY,          /* end the session */
  AM_LEASE_REQUEST_PROMISE,  /* request a promise about EPOCH from TO */
  AM_LEASE_PROMISE,          /* reply to TO with a promise about EPOCH */
  AM_LEASE_NOTIFY_FORWARDER, /* send the member GRANT of the lease to the
                                forwarder */
};

/* SESSION and VALUE belong to the lease and are valid only during the
   callback.  */
struct am_lease_action
{
  enum am_lease_action_type type;
  uint64_t call; /* number to return with the result; REQUEST_PROMISE,
                    PROMISE: number of the promise request */
  const char *session;
  const struct am_lease_value *value;
  uint32_t to;
  uint64_t epoch;
};

struct am_lease_sink
{
  /* Must not call functions of the lease.  */
  void (*emit) (void *userdata, const struct am_lease_action *a);
  void *userdata;
};

/* Ownership as reported to the forwarder, which owns the ticketless requests
   of the service before UNTIL_US.  */
struct am_lease_grant
{
  uint64_t boot_id; /* of the forwarder process that it is meant for */
  uint64_t epoch;
  uint64_t until_us; /* monotonic; 0: not the owner */
  bool first;        /* the key did not exist before */
  bool same;         /* the previous owner was the same forwarder process */
  bool handed;       /* the previous owner transferred its table to this one */
};

/* Promise by one eligible successor.  */
struct am_lease_promise
{
  uint64_t requested_us; /* when last requested; 0: never */
  uint64_t question;     /* number of the unanswered request; 0: none */
  uint64_t until_us;     /* end of the promise; 0: none */
};

struct am_lease
{
  struct am_lease_sink sink;
  uint32_t self_id;
  uint64_t boot_id; /* of the forwarder on this VM; 0: unknown */
  uint64_t now_us;
  uint64_t started_us;
  bool stopping;

  uint32_t home[AM_LEASE_ELIGIBLE_MAX]; /* in rendezvous order */
  size_t home_count;
  uint64_t home_changed_us; /* last change of HOME */

  enum am_lease_state state;
  uint64_t call; /* store call that awaits its result; 0: none */
  uint64_t call_sent_us;
  uint64_t calls;
  uint64_t poll_us;       /* next poll, retry or renewal */
  uint64_t free_since_us; /* since when the key is seen free; 0: it is not */
  uint64_t unlisted_since_us; /* since when it is free, and the list of
                                 successors is lost or lacks this VM; 0: not */
  uint64_t unlisted_index;    /* lock index at that time */
  uint64_t highest_epoch;     /* highest seen in the store */
  bool has_read;              /* whether the key was read since the start */
  uint64_t first_index;       /* lock index at the first read; 0: no key */
  char session[AM_LEASE_SESSION_SIZE];
  uint64_t session_us;         /* when its creation or last renewal was sent */
  struct am_lease_value value; /* as last written by this VM */
  struct am_lease_grant grant;
  uint64_t lease_until_us; /* end of ownership by the session */
  uint64_t confirmed_us;   /* last successful renewal in HOLDING */
  bool outage;             /* the last renewal failed */
  struct am_lease_promise promises[AM_LEASE_ELIGIBLE_MAX];
  uint64_t questions;         /* number of promise requests sent */
  uint64_t promised_until_us; /* promise given to the current owner */
};

/* Initializes L at time NOW_US, from which the waiting times of a restarted
   agent count.  Copies SINK.  */
void am_lease_init (struct am_lease *l, uint32_t self_id, uint64_t now_us,
                    const struct am_lease_sink *sink);

/* Sets the home set, the COUNT members IDS responsible for the service in
   rendezvous order.  Only the first AM_LEASE_ELIGIBLE_MAX are used.  */
void am_lease_set_home (struct am_lease *l, const uint32_t *ids, size_t count);

/* Reports the boot id of the forwarder on this VM.  If it has changed, the
   previous process has ended, because both use the same port; a grant to it is
   withdrawn and the key released.  */
void am_lease_set_forwarder (struct am_lease *l, uint64_t now_us,
                             uint64_t boot_id);

/* Reports that the forwarder executes nothing under the grant any more.
   HANDED_TO is the member that received its complete deduplication table, or
   0. Ignored except in LEAVING.  */
void am_lease_forwarder_stopped (struct am_lease *l, uint64_t now_us,
                                 uint32_t handed_to);

/* Report the result of the store call CALL: of a read, of the creation of a
   session, and of any other call (AM_OK, AM_E_CONFLICT, AM_E_NOT_FOUND: no
   such session, or another failure).  Ignored if CALL is not the one awaited.
 */
void am_lease_read_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                         const struct am_lease_read_result *e);
void am_lease_session_created (struct am_lease *l, uint64_t now_us,
                               uint64_t call, int error, const char *session);
void am_lease_call_done (struct am_lease *l, uint64_t now_us, uint64_t call,
                         int error);

/* Handles the request QUESTION of member FROM, the owner of EPOCH, for a
   promise not to acquire the key for AM_LEASE_PROMISE_US.  Emits
   AM_LEASE_PROMISE if the promise is given, else nothing.  */
void am_lease_promise_requested (struct am_lease *l, uint64_t now_us,
                                 uint32_t from, uint64_t question,
                                 uint64_t epoch);

/* Handles the promise of member FROM in reply to request QUESTION.  It counts
   from the time of the request.  */
void am_lease_promise_received (struct am_lease *l, uint64_t now_us,
                                uint32_t from, uint64_t question);

/* Stops acquisition and begins to release the key.  */
void am_lease_stop (struct am_lease *l, uint64_t now_us);

/* Allows acquisition again after am_lease_stop.  */
void am_lease_resume (struct am_lease *l);

/* Sends what is due at NOW_US: polls, renewals, retries and promise requests.
 */
void am_lease_tick (struct am_lease *l, uint64_t now_us);

/* Returns true if a stopping agent does not need to wait for the lease.  */
bool am_lease_may_exit (const struct am_lease *l);

/* Returns the static name of STATE for log lines.  */
const char *am_lease_state_name (enum am_lease_state state);

#endif
