/* Flow binding: how the packets of a flow are mapped to an upstream.

   An entry VM runs one forwarder, the process whose state is struct am_board.

   Each binding is a table of functions.  The record of a service selects one:
   ticket (state is carried by the caller in a sealed token), tracked (state is
   kept by the entry VMs) or hash (no state).  */

#ifndef AM_CORE_BINDING_H
#define AM_CORE_BINDING_H

#include "core/board.h"

struct am_binding_ops
{
  const char *name;

  /* Allocate and free S->binding_state.  init returns AM_OK or AM_E_MEMORY. */
  int (*init) (struct am_board *b, struct am_service *s);
  void (*finish) (struct am_board *b, struct am_service *s);

  /* Handles the datagram DATA of LEN bytes from CALLER, without its PROXY
     header.  Returns AM_OK, or the error for which the datagram was not
     forwarded.  */
  int (*from_caller) (struct am_board *b, struct am_service *s,
                      struct am_address caller, const uint8_t *data,
                      size_t len);

  /* Handles a datagram from U to CALLER, without its PROXY header.  Returns
     AM_OK, or the error for which the datagram was not forwarded.  */
  int (*from_upstream) (struct am_board *b, struct am_service *s,
                        struct am_upstream *u, struct am_address caller,
                        const uint8_t *data, size_t len);

  /* Handles a message of this binding from the peer SENDER_ID.  Returns AM_OK,
     or the error for which the message was not applied.  */
  int (*from_peer) (struct am_board *b, struct am_service *s,
                    uint32_t sender_id, const uint8_t *body, size_t len);

  /* Called after a snapshot that changed members or upstreams was applied.  */
  void (*changed) (struct am_board *b, struct am_service *s);

  /* Called before U is freed.  */
  void (*upstream_removed) (struct am_board *b, struct am_service *s,
                            struct am_upstream *u);

  /* Called every 100 ms.  */
  void (*tick) (struct am_board *b, struct am_service *s);

  /* Returns true if a stopping forwarder may exit as far as S is concerned: no
     flow setup is pending, and flow state has been handed over or the time for
     that has passed.  */
  bool (*may_exit) (const struct am_board *b, const struct am_service *s);
};

extern const struct am_binding_ops am_binding_ticket;
extern const struct am_binding_ops am_binding_tracked;
extern const struct am_binding_ops am_binding_hash;

/* from_peer of a binding without peer messages: counts the message as
   malformed and returns AM_E_FORMAT.  */
int am_binding_reject_peer_message (struct am_board *b, struct am_service *s,
                                    uint32_t sender_id, const uint8_t *body,
                                    size_t len);

/* Does nothing; for a binding that needs no changed or no tick.  */
void am_binding_do_nothing (struct am_board *b, struct am_service *s);

/* Returns the functions of BINDING, those of the ticket binding if the value
   is unknown.  */
const struct am_binding_ops *am_binding_strategy (Amaranth__Binding binding);

#endif
