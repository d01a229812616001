#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "core/configuration/control_config.h"
#include "core/control_board.h"
#include "core/membership/control_members.h"

void
am_control_look (const struct am_control *c, struct am_control_view *v)
{
  v->members = c->vms.count;
  v->members_alive = c->vms.live;
  v->records = c->config.count;
  v->config_digest = c->config.digest;
  v->acked_digest = c->link.acked_config;
  v->reader = c->readers.reader;
  v->store_error = c->readers.error;
}

uint64_t
am_control_revision (const struct am_control *c, const char *name)
{
  const struct am_config_entry *e = am_config_find (c, name);

  return e ? e->revision : 0;
}

/* Memory of a reply; the strings are those of the engine.  */
struct reply
{
  Amaranth__StatusReply status;
  Amaranth__Member self;
  Amaranth__Member *members;
  Amaranth__RecordVersion *versions; /* held, then in force */
  Amaranth__Verdict *verdicts;
};

static int
add_members (const struct am_control *c, struct reply *r)
{
  size_t n = c->vms.count;

  r->members = calloc (n + 1, sizeof *r->members);
  r->status.members = calloc (n + 1, sizeof (Amaranth__Member *));
  if (!r->members || !r->status.members)
    return AM_E_MEMORY;
  am_list_each (v, &c->vms.all, struct am_vm, node)
  {
    size_t i = r->status.n_members++;

    am_members_fill_message (v, &r->members[i]);
    r->status.members[i] = &r->members[i];
  }
  return AM_OK;
}

static void
add_record (struct reply *r, struct am_config_entry *e, size_t offset)
{
  Amaranth__StatusReply *s = &r->status;
  Amaranth__RecordVersion *v = &r->versions[s->n_records];

  amaranth__record_version__init (v);
  v->name = e->name;
  v->revision = e->revision;
  v->write_id = e->write_id;
  s->records[s->n_records++] = v;
  if (e->service)
    s->services[s->n_services++] = e->service;
  if (e->in_force_revision == 0)
    return;
  v = &r->versions[offset + s->n_in_force];
  amaranth__record_version__init (v);
  v->name = e->name;
  v->revision = e->in_force_revision;
  v->write_id = e->in_force_write_id;
  s->in_force[s->n_in_force++] = v;
}

static int
add_records (const struct am_control *c, struct reply *r)
{
  size_t n = c->config.count;
  struct am_config_entry *e;
  struct am_config_entry *next;

  r->versions = calloc (2 * n + 1, sizeof *r->versions);
  r->status.records = calloc (n + 1, sizeof (Amaranth__RecordVersion *));
  r->status.in_force = calloc (n + 1, sizeof (Amaranth__RecordVersion *));
  r->status.services = calloc (n + 1, sizeof (Amaranth__Service *));
  if (!r->versions || !r->status.records || !r->status.in_force
      || !r->status.services)
    return AM_E_MEMORY;
  HASH_ITER (by_name, c->config.by_name, e, next) { add_record (r, e, n); }
  return AM_OK;
}

static int
add_verdicts (const struct am_control *c, struct reply *r)
{
  size_t n = c->verdicts.ejected_count;

  r->verdicts = calloc (n + 1, sizeof *r->verdicts);
  r->status.verdicts = calloc (n + 1, sizeof (Amaranth__Verdict *));
  if (!r->verdicts || !r->status.verdicts)
    return AM_E_MEMORY;
  for (size_t i = 0; i < n; i++)
    {
      amaranth__verdict__init (&r->verdicts[i]);
      r->verdicts[i].service_id = c->verdicts.ejected[i].service_id;
      r->verdicts[i].upstream_id = c->verdicts.ejected[i].upstream_id;
      r->verdicts[i].ejected = true;
      r->status.verdicts[i] = &r->verdicts[i];
    }
  r->status.n_verdicts = n;
  return AM_OK;
}

static void
reply_finish (struct reply *r)
{
  free (r->members);
  free (r->versions);
  free (r->verdicts);
  free (r->status.members);
  free (r->status.records);
  free (r->status.in_force);
  free (r->status.services);
  free (r->status.verdicts);
  if (r->status.forwarder)
    amaranth__report__free_unpacked (r->status.forwarder, NULL);
}

static int
fill (const struct am_control *c, struct reply *r)
{
  int err;

  amaranth__status_reply__init (&r->status);
  am_members_fill_message (&c->self, &r->self);
  r->self.config_digest = c->link.acked_config;
  r->status.self = &r->self;
  r->status.store_error = c->readers.error;
  r->status.reader = c->readers.reader;
  if (c->link.report && c->link.up)
    r->status.forwarder
        = amaranth__report__unpack (NULL, c->link.report_len, c->link.report);
  err = add_members (c, r);
  if (!err)
    err = add_records (c, r);
  if (!err)
    err = add_verdicts (c, r);
  return err;
}

int
am_control_status (const struct am_control *c, uint8_t **data, size_t *len)
{
  struct reply r = { 0 };
  Amaranth__Envelope e = AMARANTH__ENVELOPE__INIT;
  int err = fill (c, &r);

  *data = NULL;
  if (!err)
    {
      e.body_case = AMARANTH__ENVELOPE__BODY_STATUS_REPLY;
      e.status_reply = &r.status;
      *len = amaranth__envelope__get_packed_size (&e);
      *data = malloc (*len + 1);
      if (*data)
        amaranth__envelope__pack (&e, *data);
      else
        err = AM_E_MEMORY;
    }
  reply_finish (&r);
  return err;
}

void
am_control_metrics (const struct am_control *c, am_metric_each each,
                    void *userdata)
{
#define COUNTER_INFO(name, help) { #name, AM_METRIC_COUNTER, "", help },
  static const struct am_metric_info counters[]
      = { AM_CONTROL_COUNTER_LIST (COUNTER_INFO) };
#undef COUNTER_INFO
#define COUNTER_VALUE(name, help) (double)c->counters.name,
  const double values[] = { AM_CONTROL_COUNTER_LIST (COUNTER_VALUE) };
#undef COUNTER_VALUE
  static const struct am_metric_info gauges[]
      = { { "members_live", AM_METRIC_GAUGE, "", "members alive or suspect" },
          { "members_known", AM_METRIC_GAUGE, "",
            "members, also left and dead ones" },
          { "records_held", AM_METRIC_GAUGE, "",
            "records held, also retired ones" },
          { "ejected", AM_METRIC_GAUGE, "", "upstreams ejected for all" } };

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    each (userdata, &counters[i], values[i]);
  each (userdata, &gauges[0], (double)c->vms.live);
  each (userdata, &gauges[1], (double)c->vms.count);
  each (userdata, &gauges[2], (double)c->config.count);
  each (userdata, &gauges[3], (double)c->verdicts.ejected_count);
}
