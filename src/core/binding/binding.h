/* Flow binding: how a packet of a flow finds its upstream.

   A strategy is a table of function pointers, set per service by its record:
   ticket, tracked or hash.  */

#ifndef AM_CORE_BINDING_H
#define AM_CORE_BINDING_H

#include "core/board.h"

struct am_binding_ops
{
  const char *name;

  /* Set up and free S->binding_state.  init returns AM_OK or AM_E_MEMORY. */
  int (*init) (struct am_board *b, struct am_service *s);
  void (*finish) (struct am_board *b, struct am_service *s);

  /* A datagram of CALLER, without its PROXY header.  Returns AM_OK or the
     typed error for which it was refused.  */
  int (*from_caller) (struct am_board *b, struct am_service *s,
                      struct am_address caller, const uint8_t *data,
                      size_t len);

  /* A datagram of U for CALLER, without its PROXY header.  */
  int (*from_upstream) (struct am_board *b, struct am_service *s,
                        struct am_upstream *u, struct am_address caller,
                        const uint8_t *data, size_t len);

  /* A peer message of this binding.  */
  int (*from_peer) (struct am_board *b, struct am_service *s,
                    uint32_t sender_id, const uint8_t *body, size_t len);

  /* Members or upstreams changed (after the snapshot is applied).  */
  void (*changed) (struct am_board *b, struct am_service *s);

  /* U is about to be freed.  */
  void (*upstream_removed) (struct am_board *b, struct am_service *s,
                            struct am_upstream *u);

  void (*tick) (struct am_board *b, struct am_service *s);

  /* Returns true if a stopping forwarder need not wait for S.  */
  bool (*may_exit) (const struct am_board *b, const struct am_service *s);
};

extern const struct am_binding_ops am_binding_ticket;
extern const struct am_binding_ops am_binding_tracked;
extern const struct am_binding_ops am_binding_hash;

/* Entries of a strategy that has no peer messages (a message is counted as
   malformed; returns AM_E_FORMAT) or nothing to do.  */
int am_binding_reject_peer_message (struct am_board *b, struct am_service *s,
                                    uint32_t sender_id, const uint8_t *body,
                                    size_t len);
void am_binding_ignore_change (struct am_board *b, struct am_service *s);

/* Returns the table of BINDING; ticket for a value outside the list.  */
const struct am_binding_ops *am_binding_strategy (Amaranth__Binding binding);

#endif
