#define NODES_MAX 7

#include "core_fixture.h"

#include "core/binding/tracked.h"
#include "suite.h"

#define FLOWS 400
#define SEEDS 40

static struct net net;
static struct config config;
static struct am_rng rng;

struct flow
{
  struct am_address caller;
  struct am_address at;
  bool known; /* by an entry VM that did not fail */
  bool moved;
};

static struct flow flows[FLOWS];

struct outcome
{
  unsigned moved;      /* flows at another upstream than before */
  unsigned avoidable;  /* moved flows known to an entry VM that did not fail */
  unsigned exceptions; /* exceptions whose owner and backup both failed */
};

static struct am_tracked *
tracked (size_t node)
{
  return am_board_service (&net.nodes[node].board, 77)->binding_state;
}

/* Sends a packet of F through NODE.  Returns the address of the upstream that
   received it, with port 0 if none did.  */
static struct am_address
packet (size_t node, const struct flow *f)
{
  struct am_address fabric = { 0x7f280801, 7900 };
  struct am_address got = { 0, 0 };
  struct kept_action *k;

  net_datagram (&net, node, AM_EVENT_CALLER, fabric, f->caller,
                fixture_service, (const uint8_t *)"data", 4);
  net_pump (&net);
  while ((k = net_take (&net, AM_ACTION_UPSTREAM)) != NULL)
    got = k->a.to;
  return got;
}

static size_t
live_node (void)
{
  size_t node;

  do
    node = am_rng_below (&rng, NODES_MAX);
  while (net.unreachable >> node & 1);
  return node;
}

/* Sends PACKETS packets of each flow through random VMs.  Then upstream 0
   leaves, so that its flows become exceptions.  */
static void
begin (uint64_t seed, unsigned packets)
{
  am_rng_init (&rng, seed);
  net_begin (&net, &config, NODES_MAX, AMARANTH__BINDING__BINDING_TRACKED, 3);
  net.now_us += AM_TRACKED_OWNER_QUERY_US + SECOND;
  for (size_t i = 0; i < FLOWS; i++)
    {
      flows[i].caller.ip = (uint32_t)am_rng_next (&rng);
      flows[i].caller.port = (uint16_t)(1 + am_rng_below (&rng, 60000));
      flows[i].at = packet (live_node (), &flows[i]);
      flows[i].moved = false;
      for (unsigned p = 1; p < packets; p++)
        packet (live_node (), &flows[i]);
    }
  net_drain_first (&net, &config);
  net_travel (&net, &config, 2 * SECOND);
  net.now_us += 10 * SECOND;
}

static void
send_and_check (struct flow *f)
{
  struct am_address got = packet (live_node (), f);

  if (got.port && !am_address_equal (got, f->at))
    f->moved = true;
}

/* Applies the configuration to the entry VMs that have not failed, one after
   the other from a random one on, and sends packets of SENT random flows after
   each.  */
static void
disseminate (unsigned sent)
{
  for (size_t i = 0, at = am_rng_below (&rng, NODES_MAX); i < NODES_MAX;
       i++, at = (at + 1) % NODES_MAX)
    {
      if (net.unreachable >> at & 1)
        continue;
      ck_assert_int_eq (net_apply (&net, at, &config), AM_OK);
      for (unsigned n = 0; n < sent; n++)
        send_and_check (&flows[am_rng_below (&rng, FLOWS)]);
    }
}

static void
set_state (size_t node, Amaranth__MemberState state)
{
  config.member[node].state = state;
}

/* Reports two entry VMs that have already failed as suspect, and then as
   failed, one after the other or together.  */
static void
disseminate_failures (const size_t failed[2], unsigned sent)
{
  set_state (failed[0], AMARANTH__MEMBER_STATE__MEMBER_SUSPECT);
  set_state (failed[1], AMARANTH__MEMBER_STATE__MEMBER_SUSPECT);
  disseminate (sent);
  set_state (failed[0], AMARANTH__MEMBER_STATE__MEMBER_DEAD);
  if (am_rng_below (&rng, 2))
    {
      disseminate (sent);
      net.now_us += am_rng_below (&rng, 2 * SECOND);
    }
  set_state (failed[1], AMARANTH__MEMBER_STATE__MEMBER_DEAD);
  disseminate (sent);
}

static bool
is_known (const struct flow *f)
{
  for (size_t i = 0; i < NODES_MAX; i++)
    if (!(net.unreachable >> i & 1)
        && am_tracked_find (tracked (i), f->caller))
      return true;
  return false;
}

/* Returns true if F is an exception and its owner and backup both fail.  */
static bool
is_orphaned (const struct flow *f, const size_t failed[2],
             const uint32_t *owner, const uint32_t *backup)
{
  const struct am_service *s = am_board_service (&net.nodes[0].board, 77);
  uint32_t bucket = am_tracked_bucket_of (s, f->caller);
  uint32_t a = (uint32_t)failed[0] + 1;
  uint32_t b = (uint32_t)failed[1] + 1;

  return f->at.ip == config.upstream[0].ip
         && ((owner[bucket] == a && backup[bucket] == b)
             || (owner[bucket] == b && backup[bucket] == a));
}

static void
one_run (uint64_t seed, unsigned packets, uint64_t pause_us, unsigned sent,
         struct outcome *out)
{
  static uint32_t owner[AM_TRACKED_BUCKETS];
  static uint32_t backup[AM_TRACKED_BUCKETS];
  size_t failed[2];

  begin (seed, packets);
  for (size_t i = 0; i < AM_TRACKED_BUCKETS; i++)
    {
      owner[i] = tracked (0)->buckets[i].owner_id;
      backup[i] = tracked (0)->buckets[i].backup_id;
    }
  for (size_t i = 0; i < 2; i++)
    {
      failed[i] = live_node ();
      net.unreachable |= 1u << failed[i];
    }
  for (size_t i = 0; i < FLOWS; i++)
    {
      flows[i].known = is_known (&flows[i]);
      out->exceptions += is_orphaned (&flows[i], failed, owner, backup);
    }
  disseminate_failures (failed, sent);
  if (pause_us)
    net_travel (&net, &config, pause_us);
  for (size_t i = 0; i < FLOWS; i++)
    {
      for (int repeat = 0; repeat < 3; repeat++)
        send_and_check (&flows[i]);
      out->moved += flows[i].moved;
      out->avoidable += flows[i].moved && flows[i].known;
    }
  net_finish (&net);
}

static const struct
{
  unsigned packets;
  uint64_t pause_us;
  unsigned sent; /* packets sent after each entry VM is informed */
} cases[] = { { 1, 0, 0 },           { 3, 0, 0 },  { 1, 20 * SECOND, 0 },
              { 3, 20 * SECOND, 0 }, { 1, 0, 40 }, { 3, 0, 40 } };

/* Guards against flows that move when owner and backup of their bucket fail
   together although another entry VM knows their upstream, whether their next
   packet arrives while the failures are being disseminated, immediately
   afterwards or long afterwards.  */
START_TEST (test_owner_and_backup_fail)
{
  struct outcome out = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    one_run (seed, cases[_i].packets, cases[_i].pause_us, cases[_i].sent,
             &out);
  printf ("packets=%u pause_s=%u sent=%u flows=%u orphans=%u moved=%u "
          "avoidable=%u\n",
          cases[_i].packets, (unsigned)(cases[_i].pause_us / SECOND),
          cases[_i].sent, FLOWS * SEEDS, out.exceptions, out.moved,
          out.avoidable);
  fflush (stdout);
  ck_assert_uint_gt (out.exceptions, 0);
  ck_assert_uint_eq (out.avoidable, 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("tracked_orphans");
  TCase *c = tcase_create ("tracked_orphans");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, test_owner_and_backup_fail, 0, 6);
  suite_add_tcase (s, c);
  return suite_run (s);
}
