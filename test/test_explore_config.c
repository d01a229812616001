/* Random schedules of control engines and a store.

   A schedule starts a few engines, then takes random steps: writes, operators
   that hand records over, loss, duplication, reordering, partitions, crashes,
   restarts, a store that goes down and one that comes back older.  Throughout,
   no engine may give a version up for an older one and no forwarder may get
   an older or empty snapshot.  When the links have healed, all must hold the
   newest version that any engine accepted, within the bound.

   Usage: test_explore_config [--schedules N] [--seed S]; with --seed only that
   schedule runs, with its decision lines.  */

#include "control_net.h"
#include "suite.h"

#define SCHEDULES 600
#define STEPS 40
#define RECORDS 4

/* Back-off of a reader up to 10 s, then 6 s for the spread.  */
#define CONVERGE_US (20 * NET_SECOND)

struct schedule
{
  struct net n;
  uint64_t seed;
  uint64_t revisions[RECORDS]; /* next one to be written */
  struct net_store old;        /* kept for a return to it */
  bool has_old;
};

static unsigned schedules = SCHEDULES;
static uint64_t only_seed;

static uint32_t
below (struct schedule *s, uint32_t n)
{
  return am_rng_below (&s->n.rng, n);
}

static void
record_name (char *name, size_t size, unsigned record)
{
  snprintf (name, size, "s%u", record);
}

/* A write by compare-and-swap: a revision above the one in the store.  */
static void
write_record (struct schedule *s)
{
  unsigned i = below (s, RECORDS);
  char name[16];

  if (s->n.store.down)
    return;
  record_name (name, sizeof name, i);
  net_store_put (&s->n, name, s->revisions[i], below (s, 1000) + 1,
                 below (s, 3));
  s->revisions[i]++;
}

/* An operator's command hands a record of the store to an agent; it arrives
   twice now and then.  */
static void
hand_over (struct schedule *s)
{
  struct net *n = &s->n;
  size_t node = below (s, (uint32_t)n->count);
  struct net_record *r;
  struct record_offer o;
  uint8_t *buf;
  size_t len;

  if (!n->store.count)
    return;
  r = &n->store.records[below (s, (uint32_t)n->store.count)];
  record_offer_init (&o, r->name, r->revision, r->text);
  buf = net_pack (&o.envelope, &len);
  net_schedule (n, below (s, 5000000), NET_STREAM, node, NET_NODES_MAX, buf,
                len);
  if (below (s, 3) == 0)
    net_schedule (n, below (s, 5000000), NET_STREAM, node, NET_NODES_MAX, buf,
                  len);
  free (buf);
}

static void
copy_store (struct net_store *to, const struct net_store *from)
{
  *to = *from;
  for (size_t i = 0; i < from->count; i++)
    to->records[i].text = strdup (from->records[i].text);
}

static void
free_texts (struct net_store *s)
{
  for (size_t i = 0; i < s->count; i++)
    free (s->records[i].text);
}

static void
keep_store (struct schedule *s)
{
  if (s->has_old)
    free_texts (&s->old);
  copy_store (&s->old, &s->n.store);
  s->has_old = true;
}

/* The store comes back with an older state; its index may go back, too.  The
   records it lost keep their place, so that the checks still see them.  */
static void
return_older (struct schedule *s)
{
  struct net_store *now = &s->n.store;

  if (!s->has_old)
    return;
  for (size_t i = 0; i < s->old.count; i++)
    {
      free (now->records[i].text);
      now->records[i].text = strdup (s->old.records[i].text);
      now->records[i].revision = s->old.records[i].revision;
    }
  now->index = below (s, 2) ? s->old.index : now->index + 1;
  net_store_down (&s->n, false);
}

static void
cut (struct schedule *s)
{
  for (size_t i = 0; i < s->n.count; i++)
    s->n.nodes[i].group = below (s, 2);
}

static void
heal (struct schedule *s)
{
  for (size_t i = 0; i < s->n.count; i++)
    s->n.nodes[i].group = 0;
}

static void
crash_or_start (struct schedule *s)
{
  size_t node = below (s, (uint32_t)s->n.count);

  if (s->n.nodes[node].control)
    net_kill (&s->n, node);
  else
    net_start (&s->n, node);
}

static void
step (struct schedule *s)
{
  switch (below (s, 12))
    {
    case 0:
    case 1:
    case 2:
      write_record (s);
      break;
    case 3:
      hand_over (s);
      break;
    case 4:
      cut (s);
      break;
    case 5:
      heal (s);
      break;
    case 6:
      net_store_down (&s->n, true);
      break;
    case 7:
      net_store_down (&s->n, false);
      break;
    case 8:
      keep_store (s);
      break;
    case 9:
      return_older (s);
      break;
    case 10:
      crash_or_start (s);
      break;
    default:
      s->n.loss = below (s, 4) * 0.1;
      s->n.duplicate = below (s, 4) * 0.1;
      s->n.jitter_us = below (s, 2) ? 1000 : 900000;
    }
  net_run (&s->n, below (s, 3000000));
}

/* The newest revision of a record that any engine holds.  */
static uint64_t
newest (const struct net *n, const char *name)
{
  uint64_t best = 0;

  for (size_t i = 0; i < n->count; i++)
    {
      uint64_t r = am_control_revision (n->nodes[i].control, name);

      best = r > best ? r : best;
    }
  return best;
}

static bool
converged (const struct net *n)
{
  struct am_control_view first;
  struct am_control_view v;

  am_control_look (n->nodes[0].control, &first);
  for (size_t i = 0; i < n->count; i++)
    {
      am_control_look (n->nodes[i].control, &v);
      if (v.config_digest != first.config_digest
          || v.acked_digest != v.config_digest)
        return false;
    }
  return true;
}

static unsigned
lowered (const struct net *n)
{
  unsigned sum = 0;

  for (size_t i = 0; i < n->count; i++)
    sum += n->nodes[i].forwarder.lowered;
  return sum;
}

/* Returns NULL if everything held, or what failed.  */
static const char *
finish (struct schedule *s)
{
  struct net *n = &s->n;
  uint64_t held[RECORDS];
  uint64_t end;
  char name[16];

  heal (s);
  n->loss = 0;
  n->duplicate = 0;
  n->jitter_us = 1000;
  for (size_t i = 0; i < n->count; i++)
    if (!n->nodes[i].control)
      net_start (n, i);
  net_store_down (n, false);
  for (unsigned i = 0; i < RECORDS; i++)
    {
      record_name (name, sizeof name, i);
      held[i] = newest (n, name);
    }
  end = n->now + CONVERGE_US;
  do
    net_run (n, NET_SECOND / 4);
  while (n->now < end && !converged (n));
  for (size_t i = 0; n->verbose && i < n->count; i++)
    {
      struct am_control_view v;

      am_control_look (n->nodes[i].control, &v);
      printf ("node %zu alive=%zu records=%zu digest=%016llx acked=%016llx\n",
              i, v.members_alive, v.records,
              (unsigned long long)v.config_digest,
              (unsigned long long)v.acked_digest);
    }
  if (!converged (n))
    return "not converged";
  for (unsigned i = 0; i < RECORDS; i++)
    {
      record_name (name, sizeof name, i);
      if (net_count_holding (n, name, held[i]) != n->count)
        return "a version was lost";
    }
  return NULL;
}

static const char *
run (uint64_t seed, bool verbose)
{
  struct schedule *s = calloc (1, sizeof *s);
  const char *failure;

  s->seed = seed;
  net_init (&s->n, 3 + seed % 4, 2, seed);
  s->n.verbose = verbose;
  for (unsigned i = 0; i < RECORDS; i++)
    s->revisions[i] = 1;
  net_start_all (&s->n);
  for (unsigned i = 0; i < STEPS; i++)
    step (s);
  failure = finish (s);
  if (s->n.reversions)
    failure = "an engine stepped back";
  if (lowered (&s->n))
    failure = "a forwarder got an older snapshot";
  if (s->has_old)
    free_texts (&s->old);
  net_finish (&s->n);
  free (s);
  return failure;
}

/* Guards against every fault in the comment at the head of this file.  */
START_TEST (all_schedules_hold)
{
  unsigned failures = 0;

  for (uint64_t seed = 1; seed <= schedules; seed++)
    {
      const char *failure = run (seed, false);

      if (failure)
        printf ("seed %llu: %s\n", (unsigned long long)seed, failure);
      failures += failure != NULL;
    }
  printf ("%u schedules of %d steps, %u failed\n", schedules, STEPS, failures);
  fflush (stdout);
  ck_assert_uint_eq (failures, 0);
}
END_TEST

int
main (int argc, char **argv)
{
  Suite *s = suite_create ("explore_config");
  TCase *t = tcase_create ("schedules");

  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--schedules") == 0)
        schedules = (unsigned)strtoul (argv[i + 1], NULL, 10);
      else if (strcmp (argv[i], "--seed") == 0)
        only_seed = strtoull (argv[i + 1], NULL, 10);
    }
  if (only_seed)
    {
      const char *failure = run (only_seed, true);

      printf ("seed %llu: %s\n", (unsigned long long)only_seed,
              failure ? failure : "holds");
      return failure ? EXIT_FAILURE : EXIT_SUCCESS;
    }
  tcase_set_timeout (t, 110);
  tcase_add_test (t, all_schedules_hold);
  suite_add_tcase (s, t);
  return suite_run (s);
}
