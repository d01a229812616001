#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/error.h"
#include "ctl/exchange.h"
#include "ctl/records.h"
#include "io/store_client.h"

#define ATTEMPTS_MAX 8
/* One of 8 operators at once lost 6 races, so 8 was too close.  The pause
   with jitter lets the others finish.  */
#define RACES_MAX 32
#define RACE_PAUSE_MAX_MS 50
#define READ_BACK_MAX 10
#define READ_BACK_PAUSE_MS 300
#define WRITE_ID_BYTES 16
#define HAND_OUT_MAX 5
#define KEY_SIZE 128
#define NS_PER_MS 1000000L

struct attempt
{
  char write_id[AM_WRITE_ID_SIZE];
  char *text;
};

/* What reading back shows.  */
enum read_back
{
  READ_BACK_OURS,
  READ_BACK_NOT_WRITTEN,
  READ_BACK_OTHER,
  READ_BACK_FAILED,
};

static void
pause_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * NS_PER_MS };

  nanosleep (&t, NULL);
}

static int
make_text (struct ctl *c, struct ctl_change *change, char **text)
{
  uint8_t random[WRITE_ID_BYTES];
  struct am_record *r = &change->merged;

  randombytes_buf (random, sizeof random);
  sodium_bin2hex (r->write_id, sizeof r->write_id, random, sizeof random);
  r->revision++;
  *text = am_record_to_json (r);
  if (!*text)
    return ctl_no_memory (c);
  if (strlen (*text) <= AM_RECORD_TEXT_MAX)
    return AM_OK;
  free (*text);
  *text = NULL;
  return ctl_fail (c, AM_E_TOO_LARGE, "%s: record exceeds %u bytes", r->name,
                   AM_RECORD_TEXT_MAX);
}

static enum read_back
judge (const struct ctl_change *change, const struct am_store_result *r)
{
  char key[KEY_SIZE];

  snprintf (key, sizeof key, AM_RECORD_PREFIX "%s", change->merged.name);
  for (size_t i = 0; i < r->entry_count; i++)
    if (strcmp (r->entries[i].key, key) == 0)
      {
        struct am_record now;
        struct am_fault f;
        bool ours;

        if (r->entries[i].modify_index == change->index)
          return READ_BACK_NOT_WRITTEN;
        if (am_record_parse_json (&now, (const char *)r->entries[i].value,
                                  r->entries[i].value_len, &f))
          return READ_BACK_OTHER;
        ours = strcmp (now.write_id, change->merged.write_id) == 0;
        am_record_finish (&now);
        return ours ? READ_BACK_OURS : READ_BACK_OTHER;
      }
  return change->index == 0 ? READ_BACK_NOT_WRITTEN : READ_BACK_OTHER;
}

static enum read_back
read_back (struct ctl *c, const struct ctl_change *change)
{
  char key[KEY_SIZE];

  snprintf (key, sizeof key, AM_RECORD_PREFIX "%s", change->merged.name);
  for (unsigned i = 0; i < READ_BACK_MAX; i++)
    {
      struct am_store_result r;
      int err = am_store_read_now (c->store_url, c->store_timeout_ms, key, &r);
      enum read_back result = READ_BACK_FAILED;

      if (!err || err == AM_E_NOT_FOUND)
        result = judge (change, &r);
      am_store_result_free (&r);
      if (result != READ_BACK_FAILED)
        return result;
      pause_ms (READ_BACK_PAUSE_MS);
    }
  return READ_BACK_FAILED;
}

/* Writes TEXT until the store's answer, or what it holds, is clear.  A second
   write of the same text follows only after reading back showed that the
   first had not taken effect.  Returns AM_OK, AM_E_CONFLICT, AM_E_STORE or
   AM_E_STORE_UNSURE.  */
static int
write_text (struct ctl *c, struct ctl_change *change, const char *text)
{
  char key[KEY_SIZE];

  snprintf (key, sizeof key, AM_RECORD_PREFIX "%s", change->merged.name);
  for (unsigned i = 0; i < ATTEMPTS_MAX; i++)
    {
      struct am_store_result r;
      int err = am_store_write_now (c->store_url, c->store_timeout_ms, key,
                                    (const uint8_t *)text, strlen (text),
                                    change->index, &r);

      am_store_result_free (&r);
      if (err != AM_E_STORE_UNSURE && (err != AM_E_CONFLICT || i == 0))
        return err;
      if (err == AM_E_STORE_UNSURE)
        ctl_note (c, "%s: the store's answer was lost; reading back",
                  change->merged.name);
      change->answer_was_lost = true;
      switch (read_back (c, change))
        {
        case READ_BACK_OURS:
          ctl_note (c, "%s: the write had taken effect", change->merged.name);
          return AM_OK;
        case READ_BACK_OTHER:
          return AM_E_CONFLICT;
        case READ_BACK_FAILED:
          return AM_E_STORE_UNSURE;
        case READ_BACK_NOT_WRITTEN:
          ctl_note (c, "%s: the write had not taken effect; writing again",
                    change->merged.name);
          break;
        }
    }
  return AM_E_STORE_UNSURE;
}

static int
fail_write (struct ctl *c, const struct ctl_change *change, int err)
{
  if (err == AM_E_STORE_UNSURE)
    return ctl_fail (c, err,
                     "%s: the store does not answer; revision %llu may or may "
                     "not have been written; run the command again",
                     change->merged.name,
                     (unsigned long long)change->merged.revision);
  return ctl_fail (c, err, "%s: not written: %s", change->merged.name,
                   am_error_text (err));
}

static int
prepare_again (struct ctl *c, struct ctl_change *change)
{
  struct ctl_set set;
  int err = ctl_set_read (c, &set);

  if (!err)
    err = ctl_change_prepare (c, change, &set);
  if (!err)
    err = ctl_changes_validate (c, &set, change, 1);
  ctl_set_free (&set);
  return err;
}

int
ctl_change_write (struct ctl *c, struct ctl_change *change)
{
  int err = AM_OK;

  for (unsigned i = 0; i < RACES_MAX; i++)
    {
      char *text = NULL;

      if (change->outcome == CTL_UNCHANGED)
        return AM_OK;
      err = make_text (c, change, &text);
      if (err || !text)
        return err;
      err = write_text (c, change, text);
      free (text);
      if (!err)
        return AM_OK;
      if (err != AM_E_CONFLICT)
        return fail_write (c, change, err);
      ctl_note (c, "%s: changed by another writer; merging",
                change->merged.name);
      pause_ms ((long)randombytes_uniform (RACE_PAUSE_MAX_MS));
      err = prepare_again (c, change);
      if (err)
        return err;
    }
  return ctl_fail (c, AM_E_CONFLICT, "%s: lost %d races; try again",
                   change->mine.name, RACES_MAX);
}

/* ---- handing out ---- */

static int
make_records (const struct ctl_change *changes, size_t n,
              Amaranth__Record *records, Amaranth__RecordVersion *versions)
{
  for (size_t i = 0; i < n; i++)
    {
      const struct am_record *r = &changes[i].merged;

      amaranth__record__init (&records[i]);
      amaranth__record_version__init (&versions[i]);
      versions[i].name = (char *)r->name;
      versions[i].revision = r->revision;
      versions[i].write_id = (char *)r->write_id;
      records[i].version = &versions[i];
      records[i].text.data = (uint8_t *)am_record_to_json (r);
      if (!records[i].text.data)
        return AM_E_MEMORY;
      records[i].text.len = strlen ((const char *)records[i].text.data);
    }
  return AM_OK;
}

static size_t
send_to_agents (struct ctl *c, const Amaranth__Envelope *request)
{
  struct ctl_exchange list[HAND_OUT_MAX];
  size_t n = c->agent_count < HAND_OUT_MAX ? c->agent_count : HAND_OUT_MAX;
  size_t taken = 0;

  for (size_t i = 0; i < n; i++)
    ctl_exchange_init (&list[i], c->agents[i], request,
                       AMARANTH__ENVELOPE__BODY_STATUS_REPLY);
  ctl_exchange_run (list, n, c->key, CTL_AGENT_TIMEOUT_MS);
  for (size_t i = 0; i < n; i++)
    {
      taken += list[i].error == AM_OK;
      ctl_exchange_finish (&list[i]);
    }
  return taken;
}

/* Hands the records of N changes to agents.  They would find them in the
   store, too.  */
static void
hand_out (struct ctl *c, const struct ctl_change *changes, size_t n)
{
  Amaranth__Record *records = calloc (n, sizeof *records);
  Amaranth__RecordVersion *versions = calloc (n, sizeof *versions);
  Amaranth__Record **list = calloc (n, sizeof (Amaranth__Record *));
  Amaranth__RecordList body = AMARANTH__RECORD_LIST__INIT;
  Amaranth__Envelope request = AMARANTH__ENVELOPE__INIT;

  if (records && versions && list
      && make_records (changes, n, records, versions) == AM_OK)
    {
      for (size_t i = 0; i < n; i++)
        list[i] = &records[i];
      body.n_records = n;
      body.records = list;
      request.body_case = AMARANTH__ENVELOPE__BODY_RECORD_LIST;
      request.record_list = &body;
      if (send_to_agents (c, &request) == 0)
        ctl_note (c, "no agent took the records; they follow the store");
    }
  for (size_t i = 0; records && i < n; i++)
    free (records[i].text.data);
  free (records);
  free (versions);
  free (list);
}

/* ---- commit ---- */

static const char *
outcome_text (enum ctl_outcome outcome)
{
  static const char *const texts[] = { "unchanged", "created", "changed" };

  return texts[outcome];
}

static void
report (struct ctl *c, const struct ctl_change *change, json_t *list)
{
  const struct am_record *r = &change->merged;

  ctl_say (c, "%s: %s, revision %llu%s%s", r->name,
           outcome_text (change->outcome), (unsigned long long)r->revision,
           change->was_merged ? ", merged with another change" : "",
           change->answer_was_lost ? ", answer lost and read back" : "");
  json_array_append_new (
      list,
      json_pack ("{s:s, s:s, s:I, s:s, s:b, s:b}", "name", r->name, "outcome",
                 outcome_text (change->outcome), "revision",
                 (json_int_t)r->revision, "write_id", r->write_id, "merged",
                 change->was_merged, "answer_lost", change->answer_was_lost));
}

static int
prepare_all (struct ctl *c, struct ctl_change *changes, size_t n)
{
  struct ctl_set set;
  int first = ctl_set_read (c, &set);

  if (!first)
    for (size_t i = 0; i < n; i++)
      {
        int err = ctl_change_prepare (c, &changes[i], &set);

        if (!first)
          first = err;
      }
  if (!first)
    first = ctl_changes_validate (c, &set, changes, n);
  ctl_set_free (&set);
  return first;
}

static int
write_all (struct ctl *c, struct ctl_change *changes, size_t n)
{
  json_t *list = json_array ();
  int err = AM_OK;

  for (size_t i = 0; i < n && !err; i++)
    {
      err = ctl_change_write (c, &changes[i]);
      if (err)
        break;
      if (changes[i].outcome != CTL_UNCHANGED)
        ctl_history_add (c, &changes[i]);
      report (c, &changes[i], list);
    }
  ctl_result (c, "records", list);
  return err;
}

static int
wait_for (struct ctl *c, const struct ctl_change *changes, size_t n)
{
  const struct am_record **versions
      = calloc (n + 1, sizeof (const struct am_record *));
  int err;

  if (!versions)
    return ctl_no_memory (c);
  for (size_t i = 0; i < n; i++)
    versions[i] = &changes[i].merged;
  err = ctl_wait_in_force (c, versions, n);
  free (versions);
  return err;
}

int
ctl_changes_commit (struct ctl *c, struct ctl_change *changes, size_t n)
{
  int err = AM_OK;

  if (!c->no_wait || c->agent_count)
    err = ctl_need_agents (c);
  if (!err)
    err = prepare_all (c, changes, n);
  if (!err)
    err = write_all (c, changes, n);
  if (err)
    return err;
  if (c->agent_count)
    hand_out (c, changes, n);
  return c->no_wait ? AM_OK : wait_for (c, changes, n);
}
