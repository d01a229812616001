/* What the program needs from the machines it runs on: the form of packets,
   of the store's calls, and of what discovery and configuration say.

   An adapter translates and decides nothing.  The program is handed one table
   at its start and never asks which one it has.  */

#ifndef AM_ENTRY_ADAPTER_H
#define AM_ENTRY_ADAPTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/packet.h"
#include "flow/route_table.h"
#include "flow/target_table.h"

/* What an item of the store describes.  */
enum am_item_kind
{
  AM_ITEM_OTHER, /* not for this program */
  AM_ITEM_TARGET,
  AM_ITEM_CONFIGURATION,
};

/* One item of an answer of the store.  */
struct am_store_item
{
  const char *key;
  size_t key_len;
  const uint8_t *value; /* NULL: the item was removed */
  size_t value_len;
  uint64_t revision;
};

/* An answer of the store to a listing or a watch.  */
struct am_store_reply
{
  uint64_t revision; /* of the store when it answered */
  bool more;         /* a listing goes on after the last item */
};

/* Called for each item of an answer; the item is valid during the call.
   Returns AM_OK or the error that ends the reading.  */
typedef int (*am_store_item_callback) (void *userdata,
                                       const struct am_store_item *item);

struct am_adapter
{
  /* Packets.  packet_parse returns AM_OK, AM_E_SHORT or AM_E_FORMAT.
     packet_encapsulate writes to OUT what is sent to the target ID for the
     datagram DATA; TICKET is written into a packet that opens a flow.  OUT has
     room for LEN + AM_ADAPTER_OVERHEAD_MAX bytes.  packet_build_reset writes a
     reset of the flow of P to its caller.  Both return the length.  */
  int (*packet_parse) (struct am_packet *p, const uint8_t *data, size_t len);
  size_t (*packet_encapsulate) (uint8_t *out, const uint8_t *data, size_t len,
                                uint64_t id, uint32_t ticket);
  size_t (*packet_build_reset) (uint8_t *out, const struct am_packet *p);

  /* Items.  target_id returns 0 if the key names no target.  The others
     return AM_OK, AM_E_MEMORY, or AM_E_FIELD_* or AM_E_FORMAT for a value
     that cannot be used.  */
  enum am_item_kind (*item_kind) (const char *key);
  uint64_t (*target_id) (const char *key);
  int (*target_parse) (struct am_target_spec *s, const char *key,
                       const uint8_t *value, size_t len);
  int (*configuration_parse) (struct am_configuration *c, const uint8_t *value,
                              size_t len);

  /* Calls to the store: the path of a GET.  A listing brings the items of
     KIND, AM_ITEM_TARGET or AM_ITEM_CONFIGURATION, and goes on after the key
     AFTER (NULL: from the first); a watch waits for changes of any kind after
     REVISION.  */
  void (*list_path) (char *path, size_t size, enum am_item_kind kind,
                     const char *after);
  void (*watch_path) (char *path, size_t size, uint64_t revision,
                      uint32_t wait_ms);

  /* Reads the answer BODY of HTTP status STATUS.  Returns AM_OK, AM_E_EXPIRED
     (the history after the revision is gone), AM_E_STORE (refused),
     AM_E_FORMAT, AM_E_MEMORY or the error of EACH.  */
  int (*answer_parse) (struct am_store_reply *reply, int status,
                       const uint8_t *body, size_t len,
                       am_store_item_callback each, void *userdata);

  const char *ready_path; /* of the routers' readiness check */
};

/* Bytes that packet_encapsulate adds at most, and room for a reset.  */
#define AM_ADAPTER_OVERHEAD_MAX 64

#endif
