#include "core/placement/subset.h"

#include <stdlib.h>

#include "base/hash.h"
#include "core/placement/choice.h"

struct ranked
{
  uint64_t key;
  struct am_upstream *upstream;
};

static int
compare (const void *a, const void *b)
{
  const struct ranked *x = a;
  const struct ranked *y = b;

  if (x->key != y->key)
    return x->key < y->key ? -1 : 1;
  return x->upstream->id < y->upstream->id ? -1 : 1;
}

static bool
is_active (const struct am_upstream *u)
{
  return u->state == AMARANTH__UPSTREAM_STATE__UPSTREAM_ACTIVE;
}

/* Returns the index of this entry VM among the home VMs of S, ordered by id.
 */
static size_t
own_position (const struct am_board *b, const struct am_service *s)
{
  size_t n = 0;

  for (size_t i = 0; i < s->home_count; i++)
    n += s->home_set[i]->id < b->self.id;
  return n;
}

/* Sets in_subset of the N upstreams in LIST.  Each is assigned to SHARE
   consecutive VMs of HOMES; POSITION is the index of this VM.  */
static void
assign_subset (const struct ranked *list, size_t n, size_t homes, size_t share,
               size_t position)
{
  for (size_t i = 0; i < n; i++)
    {
      size_t first = i * share % homes;

      list[i].upstream->in_subset = (position + homes - first) % homes < share;
    }
}

void
am_subset_recompute (struct am_board *b, struct am_service *s)
{
  struct ranked *list;
  size_t share;
  size_t n = 0;
  size_t at = 0;

  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    u->in_subset = false;
    n += is_active (u);
  }
  if (n <= AM_CANDIDATES_MAX || !s->home)
    return;
  list = calloc (n, sizeof *list);
  if (!list)
    return;
  am_list_each (u, &s->upstreams, struct am_upstream, node)
  {
    if (!is_active (u))
      continue;
    list[at].key = am_hash_rendezvous (s->id, u->id);
    list[at++].upstream = u;
  }
  qsort (list, n, sizeof *list, compare);
  share = AM_CANDIDATES_MAX * s->home_count / n;
  assign_subset (list, n, s->home_count, share ? share : 1,
                 own_position (b, s));
  free (list);
}
