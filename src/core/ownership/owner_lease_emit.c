#include "core/ownership/owner_lease_internal.h"

void
am_lease_emit (struct am_lease *l, enum am_lease_action_type type)
{
  struct am_lease_action a = { .type = type,
                               .call = l->call,
                               .session = l->session,
                               .value = &l->value,
                               .epoch = l->value.epoch };

  l->sink.emit (l->sink.userdata, &a);
}
