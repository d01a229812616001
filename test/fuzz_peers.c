/* Feeds arbitrary messages of peers to amaranth-entry: digests, responses with
   changes, and records of suppliers in the store.

   The first byte of an input selects what it is.  A raw one is decoded as it
   stands.  Random bytes seldom are a message, so others are built: the input
   says which fields and items they have, and which bytes of valid entries are
   changed.  One VM handles several messages in a row.  No input makes the
   program connect to anybody.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "entry_fixture.h"
#include "io/clock.h"
#include "wire/bytes.h"

#define MESSAGE_MAX 8192

/* Long enough for a removed target to be forgotten between messages.  */
#define TICK_US 70000000u

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

static const struct am_address peer = { 0x7f000001, 7100 };

/* ---- messages built from an input --------------------------------- */

#define ITEMS_MAX 6
#define LOADS_MAX 6
#define VALUE_MAX 1024
#define MESSAGES_MAX 8

/* The rest of an input.  Reads beyond its end give 0.  */
struct input
{
  const uint8_t *data;
  size_t len;
};

static uint32_t
take (struct input *in, size_t bytes)
{
  uint32_t value = 0;

  for (; bytes && in->len; bytes--, in->len--)
    value = value << 8 | *in->data++;
  return value;
}

static const char *const values[] = {
  "{\"service\":\"a\",\"address\":\"1.2.3.4:5\",\"zone\":\"here\",\"seq\":1,"
  "\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\","
  "\"warmup_left_ms\":1500,\"born\":1772708496046}",
  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\","
  "\"prefix\":\"/443/\",\"service\":\"a\",\"kind\":\"idempotent\","
  "\"timeout_ms\":100,\"slo_ms\":10,\"priority\":1}],\"services\":[{\"name\":"
  "\"a\",\"health_path\":\"/h\"}],\"limits\":{\"idle_timeout_ms\":9000}}",
  "\x22\x0c\x0a\x01x\x10\x01\x1d\x01\x02\x03\x04\x20\x05",
};

static const char *const keys[] = { "servers/i-%x", "op/config",
                                    "amaranthcroft/suppliers/%x", "other/%x" };

/* An item with the storage that it points to.  */
struct built_item
{
  Fleet__Item message;
  char key[64];
  uint8_t value[VALUE_MAX];
};

/* The key is in memory of its own, so that a sanitizer sees reads beyond it.
 */
static void
build_item (struct built_item *i, struct input *in)
{
  uint32_t kind = take (in, 1);
  const char *value = values[kind / 4 % 3];

  fleet__item__init (&i->message);
  snprintf (i->key, sizeof i->key, keys[kind % 4], take (in, 1) % 8);
  i->message.key.data = (uint8_t *)strdup (i->key);
  i->message.key.len = strlen (i->key);
  i->message.value.data = i->value;
  i->message.value.len = strlen (value);
  memcpy (i->value, value, strlen (value));
  for (uint32_t edits = take (in, 1) % 4; edits; edits--)
    {
      uint32_t at = take (in, 2) % (uint32_t)i->message.value.len;

      i->value[at] = (uint8_t)take (in, 1);
    }
  i->message.revision = take (in, 1);
  i->message.removed = take (in, 1) % 4 == 0;
}

static size_t
build_items (struct built_item *items, Fleet__Item **list, struct input *in)
{
  size_t count = take (in, 1) % (ITEMS_MAX + 1);

  for (size_t i = 0; i < count; i++)
    {
      build_item (&items[i], in);
      list[i] = &items[i].message;
    }
  return count;
}

static void
free_items (struct built_item *items, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (items[i].message.key.data);
}

/* Returns a ticket, that of a known target in most cases.  */
static uint32_t
build_ticket (struct am_entry *e, struct input *in)
{
  uint32_t position = take (in, 1);

  am_list_each (t, &e->targets.targets, struct am_target, node)
  {
    if (!position--)
      return t->ticket;
  }
  return take (in, 4);
}

static void
feed_built_digest (struct am_entry *e, struct input *in)
{
  static struct built_item items[ITEMS_MAX];
  Fleet__Item *item_list[ITEMS_MAX];
  Fleet__Load loads[LOADS_MAX];
  Fleet__Load *load_list[LOADS_MAX];
  Fleet__Digest d;
  Fleet__Member sender;
  char name[8];
  uint8_t packed[ITEMS_MAX * (VALUE_MAX + 128)];

  fleet__digest__init (&d);
  snprintf (name, sizeof name, "vm-%x", take (in, 1) % 4);
  am_entry_fill_member (&sender, name,
                        take (in, 1) % 2 ? 7 : e->fleet.data_centre, peer);
  d.sender = &sender;
  d.revision = take (in, 1);
  d.horizon = take (in, 1);
  d.reads = take (in, 1) % 2;
  d.link_mbps = take (in, 2);
  d.interval_ms = take (in, 2);
  d.changes_after = take (in, 1);
  d.n_loads = take (in, 1) % (LOADS_MAX + 1);
  for (size_t i = 0; i < d.n_loads; i++)
    {
      fleet__load__init (&loads[i]);
      loads[i].ticket = build_ticket (e, in);
      loads[i].busy = take (in, 4);
      loads[i].silent = take (in, 1) % 2;
      load_list[i] = &loads[i];
    }
  d.loads = load_list;
  d.n_changes = build_items (items, item_list, in);
  d.changes = item_list;
  am_entry_digest_handle (e, peer, packed, fleet__digest__pack (&d, packed));
  free_items (items, d.n_changes);
}

/* Applies the LEN bytes PLAIN of a message, compressed as in a response.  */
static void
feed_compressed (struct am_entry *e, const uint8_t *plain, size_t len)
{
  uint8_t body[AM_ENTRY_CHANGES_HEADER_SIZE + MESSAGE_MAX];
  uLongf compressed_len = MESSAGE_MAX;

  if (compress2 (body + AM_ENTRY_CHANGES_HEADER_SIZE, &compressed_len, plain,
                 len, Z_BEST_SPEED)
      != Z_OK)
    return;
  am_put_u32 (body, (uint32_t)len);
  (void)am_entry_changes_apply (
      e, body, AM_ENTRY_CHANGES_HEADER_SIZE + compressed_len, ENTRY_START_US);
}

static void
feed_built_changes (struct am_entry *e, struct input *in)
{
  static struct built_item items[ITEMS_MAX];
  Fleet__Item *item_list[ITEMS_MAX];
  Fleet__Changes c;
  uint8_t packed[ITEMS_MAX * (VALUE_MAX + 128)];

  fleet__changes__init (&c);
  c.revision = take (in, 1);
  c.whole = take (in, 1) % 2;
  c.n_items = build_items (items, item_list, in);
  c.items = item_list;
  feed_compressed (e, packed, fleet__changes__pack (&c, packed));
  free_items (items, c.n_items);
}

/* Once all peers are gone, no target may keep load that they reported.  */
static void
check_loads (struct am_entry *e)
{
  am_fleet_expire (&e->fleet, &e->targets,
                   am_clock_us () + 2 * (uint64_t)AM_FLEET_PEER_EXPIRY_US);
  am_list_each (t, &e->targets.targets, struct am_target, node)
  {
    if (t->peers_load.opening || t->peers_load.open_flows || t->peers_load.busy
        || t->reporting_peers || t->data_reporting_peers)
      abort ();
  }
}

/* ---- inputs ------------------------------------------------------- */

enum input_kind
{
  INPUT_DIGEST,
  INPUT_RESPONSE,
  INPUT_MESSAGE, /* of a response */
  INPUT_RECORD,
  INPUT_BUILT, /* several messages */
  INPUT_KINDS
};

static void
feed_built (struct am_entry *e, struct input *in)
{
  for (int i = 0; i < MESSAGES_MAX && in->len; i++)
    {
      uint64_t before = e->replica.revision;

      if (take (in, 1) % 2)
        feed_built_digest (e, in);
      else
        feed_built_changes (e, in);
      am_entry_items_tick (e, am_clock_us () + (uint64_t)i * TICK_US);
      if (e->replica.revision < before)
        abort ();
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  struct input in = { data, len };
  struct am_entry *e = entry_new ();

  switch (take (&in, 1) % (2 * INPUT_KINDS))
    {
    case INPUT_DIGEST:
      am_entry_digest_handle (e, peer, in.data, in.len);
      break;
    case INPUT_RESPONSE:
      (void)am_entry_changes_apply (e, in.data, in.len, ENTRY_START_US);
      break;
    case INPUT_MESSAGE:
      feed_compressed (e, in.data, in.len);
      break;
    case INPUT_RECORD:
      (void)am_entry_suppliers_read (e, in.data, in.len, ENTRY_START_US);
      break;
    default:
      feed_built (e, &in);
    }
  if (e->fleet.count > AM_FLEET_PEERS_MAX
      || e->suppliers.count > AM_SUPPLIERS_MAX)
    abort ();
  check_loads (e);
  entry_free (e);
  return 0;
}
