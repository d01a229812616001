#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "ctl/exchange.h"
#include "ctl/records.h"

#define POLL_PAUSE_MS 200
#define NS_PER_MS 1000000L
#define MS_PER_S 1000
#define LINE_SIZE 160

struct wait
{
  struct ctl *ctl;
  const struct am_record *const *versions;
  size_t version_count;
  uint32_t *seen; /* ids of VMs that had the versions at an earlier look */
  size_t seen_count;
  size_t live;
  size_t in_force;
  size_t shown; /* in_force of the last progress line */
  json_t *behind;
};

static const Amaranth__RecordVersion *
find_version (const Amaranth__StatusReply *s, const char *name)
{
  for (size_t i = 0; i < s->n_in_force; i++)
    if (strcmp (s->in_force[i]->name, name) == 0)
      return s->in_force[i];
  return NULL;
}

/* Says in REASON what E lacks; returns true if it lacks nothing.  */
static bool
has_all (const struct wait *w, const struct ctl_exchange *e, char *reason,
         size_t size)
{
  const Amaranth__StatusReply *s = ctl_exchange_status (e);

  if (!s)
    {
      snprintf (reason, size, "not reached: %s",
                am_error_text (e->error ? e->error : AM_E_FORMAT));
      return false;
    }
  for (size_t i = 0; i < w->version_count; i++)
    {
      const struct am_record *r = w->versions[i];
      const Amaranth__RecordVersion *v = find_version (s, r->name);

      if (v
          && am_record_compare (v->revision, v->write_id, r->revision,
                                r->write_id)
                 >= 0)
        continue;
      snprintf (reason, size, "%s at revision %llu of %llu", r->name,
                v ? (unsigned long long)v->revision : 0,
                (unsigned long long)r->revision);
      return false;
    }
  return true;
}

static bool
is_seen (const struct wait *w, uint32_t id)
{
  for (size_t i = 0; i < w->seen_count; i++)
    if (w->seen[i] == id)
      return true;
  return false;
}

/* Moves VMs that were seen to have the versions out of the N at VMS: agents
   never go back, and an answer lists every record.  Returns how many are
   left.  */
static size_t
leave_unseen (const struct wait *w, struct ctl_vm *vms, size_t n)
{
  size_t left = 0;

  for (size_t i = 0; i < n; i++)
    if (!is_seen (w, vms[i].id))
      vms[left++] = vms[i];
  return left;
}

/* LIST has the answers of the N VMs at VMS.  */
static void
judge (struct wait *w, const struct ctl_exchange *list,
       const struct ctl_vm *vms, size_t n)
{
  char reason[LINE_SIZE];

  json_array_clear (w->behind);
  for (size_t i = 0; i < n; i++)
    if (has_all (w, &list[i], reason, sizeof reason))
      {
        w->in_force++;
        w->seen[w->seen_count++] = vms[i].id;
      }
    else
      json_array_append_new (
          w->behind,
          json_pack ("{s:s, s:s}", "vm", list[i].name, "reason", reason));
}

/* Asks the N VMs at VMS.  Returns AM_OK or AM_E_MEMORY.  */
static int
ask (struct wait *w, const struct ctl_vm *vms, size_t n, uint32_t timeout_ms)
{
  struct ctl_exchange *list = calloc (n + 1, sizeof *list);
  uint32_t *seen
      = realloc (w->seen, (w->seen_count + n + 1) * sizeof *w->seen);

  if (seen)
    w->seen = seen;
  if (!list || !seen)
    {
      free (list);
      return AM_E_MEMORY;
    }
  for (size_t i = 0; i < n; i++)
    {
      ctl_exchange_init (&list[i], vms[i].agent, NULL,
                         AMARANTH__ENVELOPE__BODY_STATUS_REPLY);
      memcpy (list[i].name, vms[i].name, sizeof vms[i].name);
    }
  ctl_exchange_run (list, n, w->ctl->key, timeout_ms);
  judge (w, list, vms, n);
  ctl_exchange_list_free (list, n);
  return AM_OK;
}

/* One look at the live entry VMs.  */
static int
look (struct wait *w, uint32_t timeout_ms)
{
  struct ctl_vm *vms;
  size_t n;
  size_t left;
  int err = ctl_live_vms (w->ctl, &vms, &n);

  if (err)
    return err;
  left = leave_unseen (w, vms, n);
  w->live = n;
  w->in_force = n - left;
  err = ask (w, vms, left, timeout_ms);
  free (vms);
  return err;
}

static void
show (struct wait *w)
{
  if (w->in_force == w->shown)
    return;
  w->shown = w->in_force;
  ctl_note (w->ctl, "in force on %zu of %zu live entry VMs", w->in_force,
            w->live);
}

static int
finish (struct wait *w, int err)
{
  struct ctl *c = w->ctl;
  json_t *entry;
  size_t i;

  ctl_result (c, "in_force",
              json_pack ("{s:I, s:I, s:O}", "vms", (json_int_t)w->in_force,
                         "live", (json_int_t)w->live, "behind", w->behind));
  if (err == AM_E_MEMORY)
    return ctl_fail (c, err, "%s", am_error_text (err));
  if (w->live == 0)
    return ctl_fail (c, AM_E_CONNECTION,
                     "accepted, but no agent answered within %.3g s: in "
                     "force is not confirmed",
                     (double)c->timeout_ms / MS_PER_S);
  if (w->in_force == w->live)
    {
      ctl_say (c, "in force on all %zu live entry VMs", w->live);
      return AM_OK;
    }
  json_array_foreach (w->behind, i, entry)
      ctl_note (c, "%s: %s", json_string_value (json_object_get (entry, "vm")),
                json_string_value (json_object_get (entry, "reason")));
  return ctl_fail (c, AM_E_TIMEOUT,
                   "accepted, but in force on %zu of %zu live entry VMs "
                   "after %.3g s",
                   w->in_force, w->live, (double)c->timeout_ms / MS_PER_S);
}

int
ctl_wait_in_force (struct ctl *c, const struct am_record *const *versions,
                   size_t n)
{
  struct wait w = { .ctl = c, .versions = versions, .version_count = n };
  const struct timespec pause = { 0, POLL_PAUSE_MS * NS_PER_MS };
  uint64_t deadline = ctl_now_ms () + c->timeout_ms;
  int err;

  w.behind = json_array ();
  if (!w.behind)
    return ctl_no_memory (c);
  for (;;)
    {
      err = look (&w, CTL_AGENT_TIMEOUT_MS);
      if (err == AM_E_MEMORY)
        break;
      show (&w);
      if ((!err && w.in_force == w.live) || ctl_now_ms () >= deadline)
        break;
      nanosleep (&pause, NULL);
    }
  err = finish (&w, err);
  json_decref (w.behind);
  free (w.seen);
  return err;
}
