#include "core/lending/lending.h"

#include <stdlib.h>

#include "base/error.h"
#include "core/lending/credit.h"
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
am_credit_tick (struct am_board *b)
{
  am_credit_adopt_due (b);
  if (!b->lending)
    return;
  am_lender_tick (b);
  am_borrower_tick (b);
}

int
am_credit_peer (struct am_board *b, uint32_t sender_id, const uint8_t *body,
                size_t len)
{
  struct am_credit_message m;
  struct am_service *s;
  int error = am_credit_decode (&m, body, len);

  if (error)
    return error;
  if (!b->lending)
    return AM_E_STATE;
  s = am_board_service (b, m.service_id);
  if (!s)
    return AM_E_SERVICE_UNKNOWN;
  if (!am_board_member (b, sender_id))
    return AM_E_NOT_FOUND;
  if (m.op == AM_CREDIT_LEND)
    am_borrower_note_idle (b, s->id, sender_id, m.idle);
  switch (m.op)
    {
    case AM_CREDIT_ASK:
      am_lender_asked (b, s, sender_id, &m);
      break;
    case AM_CREDIT_LEND:
      am_borrower_lent (b, s, sender_id, &m);
      break;
    case AM_CREDIT_RETURN:
      am_lender_returned (b, sender_id, &m);
      break;
    default:
      am_borrower_confirmed (b, sender_id, &m);
      break;
    }
  return AM_OK;
}

void
am_credit_upstream_gone (struct am_board *b, struct am_upstream *u)
{
  if (!b->lending)
    return;
  am_borrower_upstream_gone (b, u);
  am_lender_upstream_gone (b, u);
}
