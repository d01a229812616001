#include "core/lending/lending.h"

#include <stdlib.h>

#include "base/error.h"
#include "core/lending/quota.h"
#include "core/requests/request_table.h"

int
am_lending_init (struct am_board *b)
{
  struct am_lending *l = calloc (1, sizeof *l);

  if (!l)
    return AM_E_MEMORY;
  am_lender_init (&l->lender, b);
  am_borrower_init (&l->borrower, b);
  b->lending = l;
  return AM_OK;
}

void
am_lending_finish (struct am_board *b)
{
  if (!b->lending)
    return;
  am_borrower_finish (&b->lending->borrower);
  am_lender_finish (&b->lending->lender);
  free (b->lending);
  b->lending = NULL;
}

void
am_quota_tick (struct am_board *b)
{
  am_quota_apply_due (b);
  if (!b->lending)
    return;
  am_lender_tick (b);
  am_borrower_tick (b);
}

int
am_quota_handle_message (struct am_board *b, uint32_t sender_id,
                         const uint8_t *body, size_t len)
{
  struct am_slot_lease_message m;
  struct am_service *s;
  int error = am_slot_lease_decode (&m, body, len);

  if (error)
    return error;
  if (!b->lending)
    return AM_E_STATE;
  s = am_board_service (b, m.service_id);
  if (!s)
    return AM_E_SERVICE_UNKNOWN;
  if (!am_board_member (b, sender_id))
    return AM_E_NOT_FOUND;
  if (m.op == AM_SLOT_LEASE_GRANT)
    am_borrower_note_idle (b, s->id, sender_id, m.idle);
  switch (m.op)
    {
    case AM_SLOT_LEASE_REQUEST:
      am_lender_requested (b, s, sender_id, &m);
      break;
    case AM_SLOT_LEASE_GRANT:
      am_borrower_granted (b, s, sender_id, &m);
      break;
    case AM_SLOT_LEASE_RELEASE:
      am_lender_released (b, sender_id, &m);
      break;
    default:
      am_borrower_release_acked (b, sender_id, &m);
      break;
    }
  return AM_OK;
}

void
am_quota_upstream_removed (struct am_board *b, struct am_upstream *u)
{
  if (!b->lending)
    return;
  am_borrower_upstream_removed (b, u);
  am_lender_upstream_removed (b, u);
}
