/* The message that offers one record to an agent.  */

#ifndef AM_TEST_RECORD_OFFER_H
#define AM_TEST_RECORD_OFFER_H

#include <stdint.h>
#include <string.h>

#include "wire/amaranth.pb-c.h"

struct record_offer
{
  Amaranth__RecordVersion version;
  Amaranth__Record record;
  Amaranth__Record *records[1];
  Amaranth__RecordList list;
  Amaranth__Envelope envelope;
};

/* NAME and TEXT stay the caller's.  */
static inline void
record_offer_init (struct record_offer *o, const char *name, uint64_t revision,
                   const char *text)
{
  amaranth__record_version__init (&o->version);
  amaranth__record__init (&o->record);
  amaranth__record_list__init (&o->list);
  amaranth__envelope__init (&o->envelope);
  o->version.name = (char *)name;
  o->version.revision = revision;
  o->record.version = &o->version;
  o->record.text.data = (uint8_t *)text;
  o->record.text.len = strlen (text);
  o->records[0] = &o->record;
  o->list.records = o->records;
  o->list.n_records = 1;
  o->envelope.body_case = AMARANTH__ENVELOPE__BODY_RECORD_LIST;
  o->envelope.record_list = &o->list;
}

#endif
