/* Cost of one change to an agent and its forwarder.

   Without arguments: a check that a change costs the bytes of that change at
   every size.  With arguments: --services N --change config|member|read
   [--rounds N] prints one JSON object.  Instructions are counted with

     valgrind --tool=callgrind --toggle-collect='agent_send*' ...
     valgrind --tool=callgrind --toggle-collect='forwarder_take*' ...
     valgrind --tool=callgrind --toggle-collect='agent_read*' ...

   at two numbers of rounds, for the difference.  */

#include "control_net.h"
#include "measure.h"

#include "core/control_board.h"
#include "core/dispatch.h"
#include "core/membership/control_members.h"
#include "suite.h"
#include "wire/frame.h"

#define TARGETS_A_SERVICE 10
#define TARGET_SERVICES 580
#define TARGET_MEMBERS 730
#define ROUNDS_MAX 64
#define SELF 1

enum change
{
  CHANGE_CONFIG, /* a new revision of one service */
  CHANGE_MEMBER, /* a member leaves, and is back */
};

struct pair
{
  struct am_control *agent;
  struct am_dispatch forwarder;
  uint64_t now_us;
  uint8_t *sent; /* last message to the forwarder, with its frame header */
  size_t len;
  uint8_t key[AM_PEER_KEY_SIZE];
};

/* Outside a test of check, too.  */
static void
must (bool ok)
{
  if (!ok)
    abort ();
}

static void
from_agent (void *userdata, const struct am_control_action *a)
{
  struct pair *p = userdata;

  if (a->type != AM_CONTROL_SEND_FORWARDER)
    return;
  free (p->sent);
  p->len = AM_FRAME_HEADER_SIZE + a->len;
  p->sent = malloc (p->len);
  am_frame_seal (p->key, a->data, a->len, p->sent);
  memcpy (p->sent + AM_FRAME_HEADER_SIZE, a->data, a->len);
}

static void
from_forwarder (void *userdata, const struct am_action *a)
{
  (void)userdata;
  (void)a;
}

static void
agent_event (struct pair *p, enum am_control_event_type type,
             const Amaranth__Envelope *e)
{
  struct am_control_event event = { .type = type, .now_us = p->now_us };
  uint8_t *data = e ? net_pack (e, &event.len) : NULL;

  event.data = data;
  must (am_control_event (p->agent, &event) == AM_OK);
  free (data);
}

static void
offer (struct pair *p, size_t number, uint64_t revision)
{
  struct record_offer o;
  char name[32];
  char write_id[40];
  char *text;

  snprintf (name, sizeof name, "s%zu", number);
  snprintf (write_id, sizeof write_id, "%032llx",
            (unsigned long long)revision);
  text = net_record_text (name, revision, revision, TARGETS_A_SERVICE);
  record_offer_init (&o, name, revision, text);
  o.version.write_id = write_id;
  agent_event (p, AM_CONTROL_STREAM, &o.envelope);
  free (text);
}

static void
set_member (struct pair *p, uint32_t id, uint64_t incarnation,
            Amaranth__MemberState state, uint64_t boot_id)
{
  Amaranth__Member m = AMARANTH__MEMBER__INIT;
  char name[32];

  snprintf (name, sizeof name, "vm%u", id);
  m.id = id;
  m.name = name;
  m.data_centre = "a";
  m.region = "r";
  m.ip = 0x7f3c0000 + id;
  m.agent_port = 7100;
  m.control_port = 7101;
  m.peer_port = 7001;
  m.incarnation = incarnation;
  m.state = state;
  m.boot_id = boot_id;
  must (am_members_update (p->agent, &m, AM_UPDATE_GOSSIP) == AM_OK);
}

/* The agent sends what changed.  Instructions are counted in here.  */
__attribute__ ((noinline)) static void
agent_send (struct pair *p)
{
  p->now_us += AM_SECOND_US / 5;
  agent_event (p, AM_CONTROL_TICK, NULL);
}

static void
take (struct pair *p, const Amaranth__Envelope *e)
{
  bool delta = e->body_case == AMARANTH__ENVELOPE__BODY_SNAPSHOT_DELTA;
  struct am_event event = { .type = delta ? AM_EVENT_DELTA : AM_EVENT_SNAPSHOT,
                            .now_us = p->now_us };
  const ProtobufCMessage *m
      = delta ? &e->snapshot_delta->base : &e->snapshot->base;
  uint8_t *data;

  must (delta || e->body_case == AMARANTH__ENVELOPE__BODY_SNAPSHOT);
  data = malloc (protobuf_c_message_get_packed_size (m) + 1);
  event.len = protobuf_c_message_pack (m, data);
  event.data = data;
  must (am_dispatch_event (&p->forwarder, &event) == AM_OK);
  free (data);
}

/* The forwarder takes it.  Instructions are counted in here.  */
__attribute__ ((noinline)) static void
forwarder_take (struct pair *p)
{
  Amaranth__Envelope *e;
  const uint8_t *data;
  size_t len;
  size_t used;

  must (p->sent != NULL);
  must (am_frame_open (p->key, p->sent, p->len, &data, &len, &used) == AM_OK);
  e = amaranth__envelope__unpack (NULL, len, data);
  must (e != NULL);
  take (p, e);
  amaranth__envelope__free_unpacked (e, NULL);
  free (p->sent);
  p->sent = NULL;
}

static void
acknowledge (struct pair *p)
{
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  Amaranth__Report r = AMARANTH__REPORT__INIT;

  r.boot_id = p->forwarder.board.self.boot_id;
  r.digest = p->forwarder.board.snapshot_digest;
  e.body_case = AMARANTH__ENVELOPE__BODY_REPORT;
  e.report = &r;
  agent_event (p, AM_CONTROL_FORWARDER, &e);
}

static void
begin (struct pair *p, size_t services)
{
  size_t members = services * TARGET_MEMBERS / TARGET_SERVICES;
  struct am_dispatch_options d
      = { .self = { .id = SELF, .name = "vm1", .region = "r", .boot_id = 77 },
          .sink = { from_forwarder, p } };

  memset (p, 0, sizeof *p);
  d.peer_key = p->key;
  p->now_us = 100 * AM_SECOND_US;
  must (am_dispatch_init (&p->forwarder, &d) == AM_OK);
  p->agent
      = net_engine ("vm1", "a", 1, (struct am_control_sink){ from_agent, p });
  must (p->agent != NULL);
  agent_event (p, AM_CONTROL_TICK, NULL);
  for (size_t i = 0; i < services; i++)
    offer (p, i, 1);
  for (uint32_t id = SELF + 1; id < SELF + members; id++)
    set_member (p, id, 1, AMARANTH__MEMBER_STATE__MEMBER_ALIVE, id);
  p->agent->spread.joined = true;
  agent_event (p, AM_CONTROL_FORWARDER_UP, NULL);
  free (p->sent);
  p->sent = NULL;
  acknowledge (p);
  agent_send (p);
  forwarder_take (p);
  acknowledge (p);
}

static void
finish (struct pair *p)
{
  free (p->sent);
  am_control_free (p->agent);
  am_dispatch_finish (&p->forwarder);
}

static void
make_change (struct pair *p, enum change change, size_t round)
{
  p->agent->link.last_sent_us = p->now_us;
  if (change == CHANGE_CONFIG)
    offer (p, 7, 2 + round);
  else
    set_member (p, 5, 2 + round,
                round % 2 ? AMARANTH__MEMBER_STATE__MEMBER_ALIVE
                          : AMARANTH__MEMBER_STATE__MEMBER_LEAVING,
                5);
}

/* The store's answer to a reader, with nothing new in it.  */
__attribute__ ((noinline)) static void
agent_read (struct pair *p, struct am_control_store *store)
{
  struct am_control_event e
      = { .type = AM_CONTROL_STORE, .now_us = p->now_us, .store = store };

  must (am_control_event (p->agent, &e) == AM_OK);
}

struct cost
{
  size_t bytes;
  double agent_s; /* medians */
  double forwarder_s;
};

static struct cost
measure (size_t services, enum change change, size_t rounds)
{
  static struct pair p;
  struct cost c = { 0 };
  double agent[ROUNDS_MAX];
  double forwarder[ROUNDS_MAX];

  begin (&p, services);
  for (size_t i = 0; i < rounds; i++)
    {
      double from;

      make_change (&p, change, i);
      from = measure_processor ();
      agent_send (&p);
      agent[i] = measure_processor () - from;
      c.bytes = p.len;
      from = measure_processor ();
      forwarder_take (&p);
      forwarder[i] = measure_processor () - from;
      acknowledge (&p);
    }
  c.agent_s = measure_median (agent, rounds);
  c.forwarder_s = measure_median (forwarder, rounds);
  finish (&p);
  return c;
}

/* Returns the median time of reading all records again.  */
static double
measure_read (size_t services, size_t rounds)
{
  static struct pair p;
  struct am_control_value *values = calloc (services, sizeof *values);
  struct am_control_store store
      = { .index = 2, .values = values, .count = services };
  double times[ROUNDS_MAX];

  begin (&p, services);
  for (size_t i = 0; i < services; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "s%zu", i);
      values[i].name = strdup (name);
      values[i].text
          = (uint8_t *)net_record_text (name, 1, 1, TARGETS_A_SERVICE);
      values[i].len = strlen ((const char *)values[i].text);
    }
  for (size_t i = 0; i < rounds; i++)
    {
      double from = measure_processor ();

      agent_read (&p, &store);
      times[i] = measure_processor () - from;
    }
  for (size_t i = 0; i < services; i++)
    {
      free ((char *)(uintptr_t)values[i].name);
      free ((uint8_t *)(uintptr_t)values[i].text);
    }
  free (values);
  finish (&p);
  return measure_median (times, rounds);
}

static int
report (int argc, char **argv)
{
  const char *wanted = measure_option (argc, argv, "--services", NULL);
  const char *name = measure_option (argc, argv, "--change", "config");
  size_t rounds
      = strtoul (measure_option (argc, argv, "--rounds", "20"), NULL, 10);
  size_t services = wanted ? strtoul (wanted, NULL, 10) : TARGET_SERVICES;
  enum change change = CHANGE_CONFIG;
  struct cost c;

  if (strcmp (name, "member") == 0)
    change = CHANGE_MEMBER;
  if (rounds == 0 || rounds > ROUNDS_MAX)
    return EXIT_FAILURE;
  if (strcmp (name, "read") == 0)
    {
      printf ("{\"services\":%zu,\"change\":\"read\",\"agent_ms\":%.3f}\n",
              services, measure_read (services, rounds) * 1e3);
      return EXIT_SUCCESS;
    }
  c = measure (services, change, rounds);
  printf ("{\"services\":%zu,\"change\":\"%s\",\"bytes\":%zu,"
          "\"agent_ms\":%.3f,\"forwarder_ms\":%.3f}\n",
          services, name, c.bytes, c.agent_s * 1e3, c.forwarder_s * 1e3);
  return EXIT_SUCCESS;
}

/* Guards against a message to the forwarder that grows with the number of
   services or members.  */
START_TEST (bytes_do_not_grow)
{
  enum change change = (enum change)_i;
  size_t small = measure (50, change, 4).bytes;
  size_t large = measure (TARGET_SERVICES, change, 4).bytes;

  ck_assert_uint_le (large * 10, small * 11);
}
END_TEST

int
main (int argc, char **argv)
{
  Suite *s = suite_create ("snapshot_cost");
  TCase *t = tcase_create ("cost");

  if (argc > 1)
    return report (argc, argv);
  tcase_set_timeout (t, 60);
  tcase_add_loop_test (t, bytes_do_not_grow, CHANGE_CONFIG, CHANGE_MEMBER + 1);
  suite_add_tcase (s, t);
  return suite_run (s);
}
