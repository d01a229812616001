/* Fixture for tests of the packet path: targets, routes, packets, time.  */

#ifndef AM_TEST_FLOW_FIXTURE_H
#define AM_TEST_FLOW_FIXTURE_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "flow/packet_path.h"

#define NEAR am_hash_name ("near")
#define FAR am_hash_name ("far")
#define ORDERS am_hash_name ("orders")
#define ARCHIVE am_hash_name ("archive")

/* Arbitrary, but not 0: a time of 0 means never.  */
#define START_US 1000000u
#define MS 1000u

struct flow_fixture
{
  struct am_target_table targets;
  struct am_route_table routes;
  struct am_path path;
  uint64_t now_us;
};

static inline struct am_address
orders_address (void)
{
  return (struct am_address){ 0xc6120001, 443 };
}

static inline struct am_target_spec
target_spec (uint64_t id, uint32_t data_centre)
{
  struct am_target_spec s = { .id = id,
                              .started_ms = 1,
                              .service = ORDERS,
                              .data_centre = data_centre,
                              .address = { 0x0a000000 + (uint32_t)id, 80 },
                              .slots = 2 };

  return s;
}

static inline struct am_target *
add_target (struct flow_fixture *f, uint64_t id, uint32_t data_centre)
{
  struct am_target_spec s = target_spec (id, data_centre);
  struct am_target *t;

  ck_assert_int_eq (am_target_table_put (&f->targets, &s, f->now_us, &t),
                    AM_OK);
  return t;
}

/* Returns the address of a route whose requests give way to the others.  */
static inline struct am_address
lesser_address (void)
{
  return (struct am_address){ 0xc6120001, 444 };
}

/* Activates a configuration with a route of the best priority and one of the
   lowest to ORDERS, both with this latency objective.  */
static inline void
set_priorities (struct flow_fixture *f, uint32_t objective_ms)
{
  struct am_configuration c = { .version = 1, .route_count = 2 };

  c.routes = calloc (2, sizeof *c.routes);
  ck_assert_ptr_nonnull (c.routes);
  c.routes[0].address = orders_address ();
  c.routes[1].address = lesser_address ();
  c.routes[1].terms.priority = AM_ROUTE_PRIORITY_LOWEST;
  for (int i = 0; i < 2; i++)
    {
      c.routes[i].terms.objective_ms = objective_ms;
      ck_assert_int_eq (am_route_add_share (&c.routes[i], ORDERS, 1), AM_OK);
    }
  ck_assert_int_eq (am_route_table_accept (&f->routes, &c), AM_OK);
}

/* Activates configuration VERSION with COUNT routes, 0 or 1, to ORDERS.
   Returns the result of am_route_table_accept.  */
static inline int
set_routes (struct flow_fixture *f, uint64_t version, size_t count)
{
  struct am_configuration c = { .version = version, .route_count = count };
  int err;

  c.routes = calloc (1, sizeof *c.routes);
  c.routes[0].address = orders_address ();
  if (count)
    ck_assert_int_eq (am_route_add_share (&c.routes[0], ORDERS, 1), AM_OK);
  err = am_route_table_accept (&f->routes, &c);
  am_configuration_finish (&c);
  return err;
}

static inline void
flow_begin (struct flow_fixture *f)
{
  memset (f, 0, sizeof *f);
  f->now_us = START_US;
  am_target_table_init (&f->targets);
  am_route_table_init (&f->routes);
  am_path_init (&f->path, &f->targets, &f->routes, NEAR, 1);
  f->path.targets_complete = true;
}

static inline void
flow_end (struct flow_fixture *f)
{
  am_path_finish (&f->path);
  am_route_table_finish (&f->routes);
  am_target_table_finish (&f->targets);
}

/* Returns the SYN of the caller at PORT; RETRANSMISSION is its number, 0 for
   the first transmission.  */
static inline struct am_packet
syn (uint16_t port, uint32_t retransmission)
{
  struct am_packet p = { .caller = { 0x64400001, port },
                         .destination = orders_address (),
                         .opens = true,
                         .seq = 1000,
                         .ack = retransmission };

  return p;
}

/* Returns a later packet of that caller's flow at the target with TICKET: LEN
   bytes from SEQ that acknowledge ACK.  */
static inline struct am_packet
data (uint16_t port, uint32_t ticket, uint32_t seq, uint16_t len, uint32_t ack)
{
  struct am_packet p = syn (port, 0);

  p.opens = false;
  p.acknowledges = true;
  p.ticket = ticket;
  p.seq = seq;
  p.ack = ack;
  p.data_len = len;
  return p;
}

static inline struct am_decision
send_packet (struct flow_fixture *f, struct am_packet p)
{
  static const uint8_t bytes[32];

  return am_path_process (&f->path, &p, bytes, sizeof bytes, f->now_us);
}

/* Opens the flow of the caller at PORT and returns its target.  */
static inline struct am_target *
open_flow_at (struct flow_fixture *f, uint16_t port)
{
  struct am_decision d = send_packet (f, syn (port, 0));

  ck_assert_int_eq (d.verdict, AM_VERDICT_FORWARD);
  send_packet (f, data (port, d.target->ticket, 1001, 0, 1));
  return am_target_by_id (&f->targets, d.target->spec.id);
}

#endif
