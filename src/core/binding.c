#include "core/binding.h"

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
