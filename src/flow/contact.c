#include "flow/contact.h"

void
am_contact_init (struct am_contact *c, uint64_t now_us)
{
  *c = (struct am_contact){ .begin_us = now_us };
}

uint64_t
am_contact_age (const struct am_contact *c, uint64_t now_us)
{
  return now_us - (c->fresh_us ? c->fresh_us : c->begin_us);
}

void
am_contact_fresh (struct am_contact *c, uint64_t now_us)
{
  if (!c->present)
    c->regained_us = now_us;
  c->present = true;
  c->fresh_us = now_us;
}

void
am_contact_lost (struct am_contact *c)
{
  c->present = false;
}

bool
am_contact_check (struct am_contact *c, uint64_t now_us)
{
  if (c->present && now_us - c->fresh_us > AM_CONTACT_STALE_US)
    c->present = false;
  return c->present;
}

uint64_t
am_contact_grace_end (const struct am_contact *c)
{
  if (!c->present)
    return UINT64_MAX;
  return c->regained_us + AM_CONTACT_GRACE_US;
}

bool
am_contact_settled (const struct am_contact *c, uint64_t now_us)
{
  return now_us >= am_contact_grace_end (c);
}
