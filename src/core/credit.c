#include "core/credit.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "core/lending.h"
#include "core/policy.h"

/* Rounds of scaling; the sums are then within 1 % for 7 VMs and 15 upstreams.
 */
#define SHARE_ROUNDS 16

/* Units handed out so far, by position in the home set.  */
struct tally
{
  uint64_t slots[AM_HOME_MAX];
  uint64_t connections[AM_HOME_MAX];
};

/* Element of an array sorted by name.  */
struct ranked
{
  struct am_upstream *upstream;
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
  const struct am_upstream *x = ((const struct ranked *)a)->upstream;
  const struct am_upstream *y = ((const struct ranked *)b)->upstream;
  size_t lx = strlen (x->name);
  size_t ly = strlen (y->name);

  if (lx != ly)
    return lx < ly ? -1 : 1;
  if (strcmp (x->name, y->name) != 0)
    return strcmp (x->name, y->name);
  return (x->id > y->id) - (x->id < y->id);
}

/* Returns the position that gets the next odd unit of U: the lowest tally
   among those not yet TAKEN.  */
static size_t
next_position (const struct am_service *s, const struct am_upstream *u,
               const uint64_t *tally, const bool *taken)
{
  size_t best = AM_HOME_MAX;
  uint64_t best_score = 0;

  for (size_t i = 0; i < s->credit_home_count; i++)
    {
      uint64_t score = am_hash_rendezvous (u->id, s->credit_home[i]);

      if (taken[i])
        continue;
      if (best == AM_HOME_MAX || tally[i] < tally[best]
          || (tally[i] == tally[best] && score > best_score))
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

/* Splits LIMIT units of U into SHARES, one for each position.  */
static void
split (const struct am_service *s, const struct am_upstream *u, uint32_t limit,
       uint64_t *tally, uint32_t *shares)
{
  uint32_t n = (uint32_t)s->credit_home_count;
  bool taken[AM_HOME_MAX] = { false };

  for (size_t i = 0; i < n; i++)
    shares[i] = limit / n;
  for (uint32_t odd = limit % n; odd > 0; odd--)
    {
      size_t at = next_position (s, u, tally, taken);

      taken[at] = true;
      tally[at]++;
      shares[at]++;
    }
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
set_credit (const struct am_service *s, struct ranked *x, struct tally *t,
            size_t own)
{
  uint32_t slots[AM_HOME_MAX] = { 0 };
  uint32_t connections[AM_HOME_MAX] = { 0 };
  struct am_upstream *u = x->upstream;

  if (s->credit_home_count
      && u->state != AMARANTH__UPSTREAM_STATE__UPSTREAM_RETIRED)
    {
      split (s, u, u->slots, t->slots, slots);
      split (s, u, u->connections, t->connections, connections);
    }
  for (size_t i = 0; i < s->credit_home_count; i++)
    x->part[i] = u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE
                     ? slots[i] * am_policy_weight (u)
                     : 0;
  u->credit.slots = own < AM_HOME_MAX ? slots[own] : 0;
  u->credit.connections = own < AM_HOME_MAX ? connections[own] : 0;
}

static double
wanted_by (const struct am_upstream *u)
{
  return u->slots * am_policy_weight (u);
}

static void
scale_columns (struct ranked *sorted, size_t n, size_t homes)
{
  for (size_t i = 0; i < n; i++)
    {
      double sum = 0;

      for (size_t h = 0; h < homes; h++)
        sum += sorted[i].part[h];
      for (size_t h = 0; sum > 0 && h < homes; h++)
        sorted[i].part[h] *= wanted_by (sorted[i].upstream) / sum;
    }
}

static void
scale_rows (struct ranked *sorted, size_t n, size_t homes)
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
set_request_shares (const struct am_service *s, struct ranked *sorted,
                    size_t n, size_t own)
{
  for (int round = 0; round < SHARE_ROUNDS; round++)
    {
      scale_columns (sorted, n, s->credit_home_count);
      scale_rows (sorted, n, s->credit_home_count);
    }
  for (size_t i = 0; i < n; i++)
    sorted[i].upstream->credit.share
        = own < AM_HOME_MAX ? sorted[i].part[own] : 0;
}

static size_t
sorted_upstreams (const struct am_service *s, struct ranked **sorted)
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

/* Without memory the shares stay as they are, which is safe.  */
static void
split_service (struct am_board *b, struct am_service *s)
{
  size_t own = own_position (b, s);
  struct tally t = { { 0 }, { 0 } };
  struct ranked *sorted;
  size_t n = sorted_upstreams (s, &sorted);

  for (size_t i = 0; i < n; i++)
    set_credit (s, &sorted[i], &t, own);
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

/* Returns true if a member of the present split is missing in the next.  */
static bool
member_vanished (const struct am_service *s)
{
  for (size_t i = 0; i < s->credit_home_count; i++)
    {
      if (!contains (s->credit_next, s->credit_next_count, s->credit_home[i]))
        return true;
    }
  return false;
}

static void
adopt (struct am_service *s)
{
  memcpy (s->credit_home, s->credit_next, sizeof s->credit_home);
  s->credit_home_count = s->credit_next_count;
  s->credit_due_us = 0;
}

static void
note_home_set (struct am_board *b, struct am_service *s)
{
  uint32_t next[AM_HOME_MAX] = { 0 };

  for (size_t i = 0; i < s->home_count; i++)
    next[i] = s->home_set[i]->id;
  qsort (next, s->home_count, sizeof next[0], compare_ids);
  if (!same_set (next, s->home_count, s->credit_next, s->credit_next_count))
    s->credit_due_us = b->now_us + AM_CREDIT_HOLD_US;
  memcpy (s->credit_next, next, sizeof next);
  s->credit_next_count = s->home_count;
  if (!member_vanished (s))
    adopt (s);
}

void
am_credit_recompute (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    note_home_set (b, s);
    split_service (b, s);
  }
}

uint32_t
am_credit_slots (const struct am_upstream *u)
{
  const struct am_upstream_credit *c = &u->credit;
  uint32_t own = c->slots > c->lent ? c->slots - c->lent : 0;

  return own + c->borrowed;
}

bool
am_credit_slot_free (const struct am_upstream *u)
{
  return u->use.busy < am_credit_slots (u);
}

bool
am_credit_connection_free (const struct am_upstream *u)
{
  return u->use.flows + u->use.opening < u->credit.connections;
}

void
am_credit_tick (struct am_board *b)
{
  am_list_each (s, &b->services, struct am_service, node)
  {
    if (s->credit_due_us == 0 || b->now_us < s->credit_due_us)
      continue;
    adopt (s);
    split_service (b, s);
  }
  am_lending_tick (b);
}
