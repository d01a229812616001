#include "core/lending/quota.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/placement/subset.h"
#include "core/placement/weight.h"

/* Rounds of row and column scaling; the sums are then within 1 % for 7 VMs and
   15 upstreams.  */
#define SHARE_ROUNDS 16

enum kind
{
  SLOTS,
  CONNECTIONS,
  KINDS
};

/* Remainder units assigned so far, by position in the home set.  Each position
   may have LOW units, and EXTRA of the positions one more.  */
struct tally
{
  uint64_t units[AM_HOME_MAX];
  uint64_t low;
  uint64_t extra;
};

/* How the units and requests of one upstream are split over the home VMs.
   Arrays of these are sorted by name.  */
struct allocation
{
  struct am_upstream *upstream;
  uint32_t units[KINDS][AM_HOME_MAX];
  double part[AM_HOME_MAX]; /* of each home VM's requests */
};

static int
compare_ids (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return (x > y) - (x < y);
}

static int
compare_names (const void *a, const void *b)
{
  const struct am_upstream *x = ((const struct allocation *)a)->upstream;
  const struct am_upstream *y = ((const struct allocation *)b)->upstream;
  size_t lx = strlen (x->name);
  size_t ly = strlen (y->name);

  if (lx != ly)
    return lx < ly ? -1 : 1;
  if (strcmp (x->name, y->name) != 0)
    return strcmp (x->name, y->name);
  return (x->id > y->id) - (x->id < y->id);
}

static uint32_t
limit_of (const struct am_upstream *u, enum kind kind)
{
  if (u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
    return 0;
  return kind == SLOTS ? u->slots : u->connections;
}

static bool
has_room (const struct tally *t, size_t at)
{
  return t->units[at] < t->low || (t->units[at] == t->low && t->extra > 0);
}

/* Returns true if position A is preferred to position C for a remainder unit
   of X: a position with room is preferred, then, without room, the one with
   fewer units, then the one with the higher rendezvous score.  */
static bool
is_preferred (const struct am_service *s, const struct allocation *x,
              const struct tally *t, size_t a, size_t c)
{
  if (has_room (t, a) != has_room (t, c))
    return has_room (t, a);
  if (!has_room (t, a) && t->units[a] != t->units[c])
    return t->units[a] < t->units[c];
  return am_hash_rendezvous (x->upstream->id, s->credit_home[a])
         > am_hash_rendezvous (x->upstream->id, s->credit_home[c]);
}

static void
assign_remainder_unit (const struct am_service *s, struct allocation *x,
                       enum kind kind, struct tally *t)
{
  uint32_t even
      = limit_of (x->upstream, kind) / (uint32_t)s->credit_home_count;
  size_t best = AM_HOME_MAX;

  for (size_t i = 0; i < s->credit_home_count; i++)
    {
      if (x->units[kind][i] == even
          && (best == AM_HOME_MAX || is_preferred (s, x, t, i, best)))
        best = i;
    }
  if (t->units[best] >= t->low && t->extra > 0)
    t->extra--;
  t->units[best]++;
  x->units[kind][best]++;
}

/* Moves one unit from position FROM to position TO, at the upstream for which
   TO has the highest rendezvous score.  */
static void
move_unit (const struct am_service *s, struct allocation *sorted, size_t n,
           enum kind kind, struct tally *t, size_t from, size_t to)
{
  struct allocation *best = NULL;
  uint64_t highest = 0;

  for (size_t i = 0; i < n; i++)
    {
      uint64_t score
          = am_hash_rendezvous (sorted[i].upstream->id, s->credit_home[to]);

      if (sorted[i].units[kind][from] <= sorted[i].units[kind][to]
          || (best && score <= highest))
        continue;
      best = &sorted[i];
      highest = score;
    }
  best->units[kind][from]--;
  best->units[kind][to]++;
  t->units[from]--;
  t->units[to]++;
}

/* Moves units until the sums differ by at most one.  For the last upstreams
   the only positions with room may already have a unit of them, which leaves
   larger differences.  */
static void
balance (const struct am_service *s, struct allocation *sorted, size_t n,
         enum kind kind, struct tally *t)
{
  for (;;)
    {
      size_t least = 0;
      size_t most = 0;

      for (size_t i = 1; i < s->credit_home_count; i++)
        {
          if (t->units[i] < t->units[least])
            least = i;
          if (t->units[i] > t->units[most])
            most = i;
        }
      if (t->units[most] - t->units[least] <= 1)
        return;
      move_unit (s, sorted, n, kind, t, most, least);
    }
}

static void
split (const struct am_service *s, struct allocation *sorted, size_t n,
       enum kind kind)
{
  uint32_t homes = (uint32_t)s->credit_home_count;
  struct tally t = { .low = 0 };
  uint64_t odd = 0;

  for (size_t i = 0; i < n; i++)
    odd += limit_of (sorted[i].upstream, kind) % homes;
  t.low = odd / homes;
  t.extra = odd % homes;
  for (size_t i = 0; i < n; i++)
    {
      uint32_t limit = limit_of (sorted[i].upstream, kind);

      for (size_t h = 0; h < homes; h++)
        sorted[i].units[kind][h] = limit / homes;
      for (uint32_t k = limit % homes; k > 0; k--)
        assign_remainder_unit (s, &sorted[i], kind, &t);
    }
  balance (s, sorted, n, kind, &t);
}

static size_t
own_position (const struct am_board *b, const struct am_service *s)
{
  for (size_t i = 0; i < s->credit_home_count; i++)
    {
      if (s->credit_home[i] == b->self.id)
        return i;
    }
  return AM_HOME_MAX;
}

static void
set_quota (const struct am_service *s, struct allocation *x, size_t own)
{
  struct am_upstream *u = x->upstream;
  bool active = u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE;

  for (size_t h = 0; h < s->credit_home_count; h++)
    x->part[h] = active ? x->units[SLOTS][h] * am_upstream_weight (u) : 0;
  u->quota.slots = own < AM_HOME_MAX ? x->units[SLOTS][own] : 0;
  u->quota.connections = own < AM_HOME_MAX ? x->units[CONNECTIONS][own] : 0;
}

static double
capacity_weight (const struct am_upstream *u)
{
  return u->slots * am_upstream_weight (u);
}

static void
scale_columns (struct allocation *sorted, size_t n, size_t homes)
{
  for (size_t i = 0; i < n; i++)
    {
      double sum = 0;

      for (size_t h = 0; h < homes; h++)
        sum += sorted[i].part[h];
      for (size_t h = 0; sum > 0 && h < homes; h++)
        sorted[i].part[h] *= capacity_weight (sorted[i].upstream) / sum;
    }
}

static void
scale_rows (struct allocation *sorted, size_t n, size_t homes)
{
  for (size_t h = 0; h < homes; h++)
    {
      double sum = 0;

      for (size_t i = 0; i < n; i++)
        sum += sorted[i].part[h];
      for (size_t i = 0; sum > 0 && i < n; i++)
        sorted[i].part[h] /= sum;
    }
}

static void
set_request_shares (const struct am_service *s, struct allocation *sorted,
                    size_t n, size_t own)
{
  for (int round = 0; round < SHARE_ROUNDS; round++)
    {
      scale_columns (sorted, n, s->credit_home_count);
      scale_rows (sorted, n, s->credit_home_count);
    }
  for (size_t i = 0; i < n; i++)
    sorted[i].upstream->quota.share
        = own < AM_HOME_MAX ? sorted[i].part[own] : 0;
}

static size_t
sorted_upstreams (const struct am_service *s, struct allocation **sorted)
{
  size_t n = 0;

  am_list_each (u, &s->upstreams, struct am_upstream, node) n++;
  *sorted = calloc (n ? n : 1, sizeof **sorted);
  if (!*sorted)
    return 0;
  n = 0;
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    (*sorted)[n++].upstream = u;
  }
  qsort (*sorted, n, sizeof **sorted, compare_names);
  return n;
}

/* If memory is exhausted the quotas stay unchanged, which is safe.  */
static void
split_service (struct am_board *b, struct am_service *s)
{
  size_t own = own_position (b, s);
  struct allocation *sorted;
  size_t n = sorted_upstreams (s, &sorted);

  if (n > 0 && s->credit_home_count > 0)
    {
      split (s, sorted, n, SLOTS);
      split (s, sorted, n, CONNECTIONS);
    }
  for (size_t i = 0; i < n; i++)
    set_quota (s, &sorted[i], own);
  set_request_shares (s, sorted, n, own);
  free (sorted);
}

static bool
contains (const uint32_t *set, size_t n, uint32_t id)
{
  for (size_t i = 0; i < n; i++)
    {
      if (set[i] == id)
        return true;
    }
  return false;
}

static bool
same_set (const uint32_t *a, size_t na, const uint32_t *b, size_t nb)
{
  return na == nb && memcmp (a, b, na * sizeof *a) == 0;
}

/* Returns true if a member of the active split is missing in the next one.  */
static bool
member_removed (const struct am_service *s)
{
  for (size_t i = 0; i < s->credit_home_count; i++)
    {
      if (!contains (s->credit_next, s->credit_next_count, s->credit_home[i]))
        return true;
    }
  return false;
}

static void
apply_next (struct am_service *s)
{
  memcpy (s->credit_home, s->credit_next, sizeof s->credit_home);
  s->credit_home_count = s->credit_next_count;
  s->credit_due_us = 0;
}

/* Updates the earliest time at which a split is due.  Checking every service
   at each tick of 10 ms cost 1 % of a core at 580 services.  */
static void
record_due (struct am_board *b, const struct am_service *s)
{
  if (b->credit_next_us == 0 || s->credit_due_us < b->credit_next_us)
    b->credit_next_us = s->credit_due_us;
}

static void
update_home_set (struct am_board *b, struct am_service *s)
{
  uint32_t next[AM_HOME_MAX] = { 0 };

  for (size_t i = 0; i < s->home_count; i++)
    next[i] = s->home_set[i]->id;
  qsort (next, s->home_count, sizeof next[0], compare_ids);
  if (!same_set (next, s->home_count, s->credit_next, s->credit_next_count))
    {
      s->credit_due_us = b->now_us + AM_QUOTA_HOLD_DOWN_US;
      record_due (b, s);
    }
  memcpy (s->credit_next, next, sizeof next);
  s->credit_next_count = s->home_count;
  if (!member_removed (s))
    apply_next (s);
}

void
am_quota_recompute_service (struct am_board *b, struct am_service *s)
{
  update_home_set (b, s);
  split_service (b, s);
  am_subset_recompute (b, s);
}

void
am_quota_recompute (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    am_quota_recompute_service (b, s);
  }
}

uint32_t
am_quota_slots (const struct am_upstream *u)
{
  const struct am_upstream_quota *c = &u->quota;
  uint32_t own = c->slots > c->lent ? c->slots - c->lent : 0;

  return own + c->borrowed;
}

bool
am_quota_slot_free (const struct am_upstream *u)
{
  return u->use.busy < am_quota_slots (u);
}

bool
am_quota_connection_free (const struct am_upstream *u)
{
  return u->use.flows + u->use.opening < u->quota.connections;
}

static void
apply_due (struct am_board *b)
{
  b->credit_next_us = 0;
  am_list_each (s, &b->services, struct am_service, node)
  {
    if (s->credit_due_us == 0)
      continue;
    if (b->now_us >= s->credit_due_us)
      {
        apply_next (s);
        split_service (b, s);
      }
    else
      record_due (b, s);
  }
}

void
am_quota_apply_due (struct am_board *b)
{
  if (b->credit_next_us && b->now_us >= b->credit_next_us)
    apply_due (b);
}
