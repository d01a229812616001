#include "core_fixture.h"

#include "core/binding/tracked_batch.h"
#include "suite.h"

/* Time for a configuration to be active on every entry VM (design 1.2).  */
#define DISSEMINATION_MAX_US (6 * SECOND)

/* Limit for the control traffic of an entry VM in bytes a second.  */
#define CONTROL_RATE 6000

static struct net net;
static struct config config;

/* ---- encoding ----------------------------------------------------- */

struct seen
{
  size_t count;
  uint64_t digest;
};

static void
record_flow (void *userdata, uint64_t key, uint32_t id, uint32_t incarnation)
{
  struct seen *s = userdata;
  uint64_t fields[] = { key, (uint64_t)id << 32 | incarnation };

  s->count++;
  s->digest ^= am_hash_bytes (fields, sizeof fields, 0);
}

/* Guards against copies that differ in flow or upstream from those of the
   owner: decoding must return what was encoded, for any keys.  */
START_TEST (test_round_trip)
{
  static struct am_tracked_flow flows[600];
  static struct am_tracked_batch batch;
  struct am_tracked_flow *list[600];
  struct am_rng rng;

  am_rng_init (&rng, 20261204);
  for (int round = 0; round < 200; round++)
    {
      size_t n = 1 + am_rng_below (&rng, 600);
      unsigned spread = 1 + am_rng_below (&rng, 48);
      struct seen wrote = { 0 };
      struct seen read = { 0 };
      size_t taken;

      for (size_t i = 0; i < n; i++)
        {
          flows[i].key = am_rng_next (&rng) >> (64 - spread);
          flows[i].upstream_id = am_rng_below (&rng, 4) * 0x40000000u;
          flows[i].incarnation = am_rng_below (&rng, 2);
          list[i] = &flows[i];
        }
      am_tracked_batch_sort (list, n);
      taken = am_tracked_batch_fill (&batch, list, n);
      ck_assert_uint_gt (taken, 0);
      ck_assert_uint_le (batch.len, AM_TRACKED_BATCH_SIZE);
      for (size_t i = 0; i < taken; i++)
        record_flow (&wrote, list[i]->key, list[i]->upstream_id,
                     list[i]->incarnation);
      ck_assert_int_eq (
          am_tracked_batch_parse (batch.body, batch.len, record_flow, &read),
          AM_OK);
      ck_assert_uint_eq (read.count, taken);
      ck_assert_uint_eq (read.digest, wrote.digest);
    }
}
END_TEST

/* Guards against a batch that is applied in part or read beyond its end.  */
START_TEST (test_malformed_batches)
{
  static const uint8_t good[]
      = { 4, 0, 0, 0, 1, 0, 0, 0, 9, 0, 0, 0, 1, 2, 0x85, 1, 7 };
  uint8_t bad[32];
  struct seen read = { 0 };

  ck_assert_int_eq (
      am_tracked_batch_parse (good, sizeof good, record_flow, &read), AM_OK);
  ck_assert_uint_eq (read.count, 2);
  for (size_t len = 0; len < sizeof good; len++)
    if (len != AM_TRACKED_BATCH_HEADER_SIZE)
      ck_assert_int_lt (am_tracked_batch_parse (good, len, record_flow, &read),
                        0);
  memcpy (bad, good, sizeof good);
  bad[13] = 0;
  ck_assert_int_lt (
      am_tracked_batch_parse (bad, sizeof good, record_flow, &read), 0);
  memset (bad + 14, 0xff, sizeof bad - 14);
  bad[13] = 1;
  ck_assert_int_lt (
      am_tracked_batch_parse (bad, sizeof bad, record_flow, &read), 0);
  ck_assert_uint_eq (read.count, 2);
}
END_TEST

/* ---- time and traffic --------------------------------------------- */

static struct am_tracked *
tracked (size_t node)
{
  return am_board_service (&net.nodes[node].board, 77)->binding_state;
}

/* Opens flows from random callers until node 0 owns N.  */
static void
open_flows (size_t n)
{
  struct am_address fabric = { 0x7f280801, 7900 };
  struct am_rng rng;
  size_t owned = 0;

  net.now_us += AM_TRACKED_OWNER_QUERY_US + SECOND;
  am_rng_init (&rng, 20261204);
  while (owned < n)
    {
      struct am_address a
          = { (uint32_t)am_rng_next (&rng), (uint16_t)am_rng_next (&rng) };
      const struct am_tracked *t = tracked (0);
      uint32_t bucket = am_tracked_bucket_of (
          am_board_service (&net.nodes[0].board, 77), a);

      if (t->buckets[bucket].owner_id != 1)
        continue;
      owned++;
      net_datagram (&net, 0, AM_EVENT_CALLER, fabric, a, fixture_service,
                    (const uint8_t *)"data", 4);
      net.kept_count = 0;
    }
}

/* Advances the time by 100 ms.  Returns the number of bytes that node 0 sent
   to its peer, including IP and UDP headers.  */
static size_t
run_step (void)
{
  struct kept_action *k;
  size_t bytes = 0;

  net_run (&net, 100 * MS);
  for (size_t i = 0; i < net.kept_count; i++)
    if (net.kept[i].a.type == AM_ACTION_PEER && net.kept[i].node == 0)
      bytes += net.kept[i].a.len + 28;
  net_pump (&net);
  while ((k = net_take (&net, AM_ACTION_UPSTREAM)) != NULL)
    continue;
  return bytes;
}

static const struct
{
  size_t flows;
  uint64_t limit_us;
} copies[] = {
  { 1000, DISSEMINATION_MAX_US },
  { 10000, DISSEMINATION_MAX_US },
  /* 8 bytes each, less the burst, at AM_TRACKED_COPY_RATE  */
  { 50000, 74 * SECOND },
};

/* Guards against exceptions that are lost with their owner because their
   copies are still queued: 10,000 must be at the backup by the time that the
   configuration which caused them is active on every entry VM.  Guards against
   copies above the limit: at most 6 KB a second on average over any minute. */
START_TEST (test_time_and_traffic)
{
  static size_t sent[3000];
  size_t n = copies[_i].flows;
  size_t total = 0;
  size_t highest = 0;
  size_t minute = 0;
  uint64_t took;

  net_begin (&net, &config, 2, AMARANTH__BINDING__BINDING_TRACKED, 1);
  open_flows (n);
  config.service.revision = 2;
  config.service.n_upstreams = 2;
  config.upstream[0].state = AMARANTH__UPSTREAM_STATE__UPSTREAM_LEAVING;
  net_apply_all (&net, &config);
  took = 0;
  for (size_t i = 0; i < 1200; i++)
    {
      sent[i] = run_step ();
      total += sent[i];
      minute += sent[i];
      if (i >= 600)
        minute -= sent[i - 600];
      if (minute > highest)
        highest = minute;
      if (!took && am_tracked_copy_done (tracked (0)))
        took = (i + 1) * 100 * MS;
    }
  printf ("exceptions=%zu copied_ms=%llu bytes=%zu bytes_each=%.1f "
          "worst_minute_bytes_s=%.0f\n",
          n, (unsigned long long)took / MS, total, (double)total / (double)n,
          (double)highest / 60);
  fflush (stdout);
  ck_assert_uint_ne (took, 0);
  ck_assert_uint_le (took, copies[_i].limit_us);
  ck_assert_uint_le (highest, 60 * CONTROL_RATE);
  ck_assert_uint_ge (HASH_COUNT (tracked (1)->flows), n);
  net_finish (&net);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("tracked_copy");
  TCase *c = tcase_create ("tracked_copy");

  tcase_set_timeout (c, 60);
  tcase_add_test (c, test_round_trip);
  tcase_add_test (c, test_malformed_batches);
  tcase_add_loop_test (c, test_time_and_traffic, 0, 3);
  suite_add_tcase (s, c);
  return suite_run (s);
}
