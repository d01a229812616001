#include "network/standin_relay.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/error.h"
#include "common/standin_datagram.h"
#include "common/standin_program.h"

#define US_PER_MS 1000u

/* A reordered datagram is held back for up to this long, so that a few
   others overtake it.  */
#define REORDER_US 10000u

/* Ids remembered at most; beyond this new ones are not silenced.  */
#define FLOWS_MAX 1000000u

struct standin_silenced
{
  uint64_t id;
  bool silent;
  UT_hash_handle hh;
};

void
standin_faults_init (struct standin_faults *f, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  am_rng_init (&f->rng, seed);
}

void
standin_faults_finish (struct standin_faults *f)
{
  struct standin_silenced *s = f->flows;

  HASH_CLEAR (hh, f->flows);
  while (s)
    {
      struct standin_silenced *next = s->hh.next;

      free (s);
      s = next;
    }
}

/* Remembers the flow of a datagram; returns true if it is silenced.  */
static bool
is_silent (struct standin_faults *f, bool up, const uint8_t *data, size_t len)
{
  uint64_t id = standin_flow_of (data, len, up);
  struct standin_silenced *s;

  if (!id)
    return false;
  HASH_FIND (hh, f->flows, &id, sizeof id, s);
  if (s)
    return s->silent;
  if (HASH_COUNT (f->flows) >= FLOWS_MAX)
    return false;
  s = calloc (1, sizeof *s);
  if (!s)
    return false;
  s->id = id;
  HASH_ADD (hh, f->flows, id, sizeof s->id, s);
  return false;
}

static bool
happens (struct standin_faults *f, double share)
{
  return share > 0 && am_rng_unit (&f->rng) < share;
}

uint64_t
standin_faults_delay (struct standin_faults *f)
{
  uint64_t us = f->delay_ms * US_PER_MS;

  if (f->jitter_ms)
    us += (uint64_t)(am_rng_unit (&f->rng) * (double)f->jitter_ms * US_PER_MS);
  return us;
}

struct standin_fate
standin_faults_decide (struct standin_faults *f, bool up, const uint8_t *data,
                       size_t len)
{
  struct standin_fate fate = { 0, { 0, 0 } };

  if (is_silent (f, up, data, len))
    {
      f->silenced++;
      return fate;
    }
  if (up ? f->cut_up : f->cut_down)
    {
      f->cut++;
      return fate;
    }
  if (happens (f, f->loss))
    {
      f->lost++;
      return fate;
    }
  f->passed++;
  fate.copies = 1;
  fate.delay_us[0] = standin_faults_delay (f);
  if (happens (f, f->reorder))
    {
      f->reordered++;
      fate.delay_us[0] += 1 + am_rng_below (&f->rng, REORDER_US);
    }
  if (happens (f, f->duplicate))
    {
      f->duplicated++;
      fate.delay_us[fate.copies++]
          = standin_faults_delay (f) + am_rng_below (&f->rng, REORDER_US);
    }
  return fate;
}

/* Silences a share of the flows seen so far; returns how many.  */
static size_t
silence (struct standin_faults *f, double share)
{
  size_t count = 0;

  for (struct standin_silenced *s = f->flows; s; s = s->hh.next)
    {
      s->silent = s->silent || happens (f, share);
      count += s->silent;
    }
  return count;
}

static json_t *
stats (const struct standin_faults *f)
{
  return json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "passed",
                    (json_int_t)f->passed, "lost", (json_int_t)f->lost,
                    "duplicated", (json_int_t)f->duplicated, "reordered",
                    (json_int_t)f->reordered, "cut", (json_int_t)f->cut,
                    "silenced", (json_int_t)f->silenced, "flows",
                    (json_int_t)HASH_COUNT (f->flows));
}

static bool
set_value (struct standin_faults *f, const char *name, const char *text)
{
  if (strcmp (name, "loss") == 0)
    return standin_parse_share (&f->loss, text) == AM_OK;
  if (strcmp (name, "duplicate") == 0)
    return standin_parse_share (&f->duplicate, text) == AM_OK;
  if (strcmp (name, "reorder") == 0)
    return standin_parse_share (&f->reorder, text) == AM_OK;
  if (strcmp (name, "delay") == 0)
    return standin_parse_number (&f->delay_ms, text, UINT32_MAX) == AM_OK;
  if (strcmp (name, "jitter") == 0)
    return standin_parse_number (&f->jitter_ms, text, UINT32_MAX) == AM_OK;
  return false;
}

static void
restore (struct standin_faults *f)
{
  f->cut_up = false;
  f->cut_down = false;
  for (struct standin_silenced *s = f->flows; s; s = s->hh.next)
    s->silent = false;
}

json_t *
standin_faults_command (struct standin_faults *f, char *const *words,
                        int count)
{
  uint64_t percent;
  bool both = strcmp (words[0], "cut") == 0;

  if (strcmp (words[0], "stats") == 0)
    return stats (f);
  if (strcmp (words[0], "silence") == 0)
    {
      if (standin_parse_number (&percent, words[1], 100) != AM_OK)
        return NULL;
      return json_pack ("{s:b,s:I}", "ok", 1, "silenced",
                        (json_int_t)silence (f, (double)percent / 100));
    }
  if (strcmp (words[0], "restore") == 0)
    restore (f);
  else if (both || strcmp (words[0], "cut-up") == 0
           || strcmp (words[0], "cut-down") == 0)
    {
      f->cut_up |= both || strcmp (words[0], "cut-up") == 0;
      f->cut_down |= both || strcmp (words[0], "cut-down") == 0;
    }
  else if (count < 2 || !set_value (f, words[0], words[1]))
    return NULL;
  return json_pack ("{s:b}", "ok", 1);
}
