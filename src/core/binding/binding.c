#include "core/binding/binding.h"

#include "base/error.h"
#include "core/board.h"

const struct am_binding_ops *
am_binding_strategy (Amaranth__Binding binding)
{
  switch (binding)
    {
    case AMARANTH__BINDING__BINDING_TRACKED:
      return &am_binding_tracked;
    case AMARANTH__BINDING__BINDING_HASH:
      return &am_binding_hash;
    default:
      return &am_binding_ticket;
    }
}

int
am_binding_reject_peer_message (struct am_board *b, struct am_service *s,
                                uint32_t sender_id, const uint8_t *body,
                                size_t len)
{
  (void)s;
  (void)sender_id;
  (void)body;
  (void)len;
  b->counters.malformed++;
  return AM_E_FORMAT;
}

void
am_binding_do_nothing (struct am_board *b, struct am_service *s)
{
  (void)b;
  (void)s;
}
