/* Every event in every state: entry VM, record, key.  */

#include "control_net.h"
#include "core/configuration/control_config.h"
#include "core/control_board.h"
#include "core/membership/control_members.h"
#include "suite.h"

/* ---- entry VM ----------------------------------------------------- */

#define NONE 'n'

/* States by letter: a(live), s(uspect), d(ead), l(eaving), L(eft),
   n(ot known).  */
static const char letters[] = "asdlL";

static char
letter (struct am_control *c)
{
  struct am_vm *v = am_members_find (c, 2);

  return v ? letters[v->state] : NONE;
}

static Amaranth__MemberState
state_of (char l)
{
  return (Amaranth__MemberState)(strchr (letters, l) - letters);
}

static Amaranth__Member
member (char state, uint64_t incarnation)
{
  Amaranth__Member m = AMARANTH__MEMBER__INIT;

  m.id = 2;
  m.name = (char *)"vm-2";
  m.data_centre = (char *)"dc-0";
  m.region = (char *)"r";
  m.ip = 0x7f3c0002;
  m.agent_port = 7100;
  m.state = state_of (state);
  m.incarnation = incarnation;
  return m;
}

static void
drop_action (void *userdata, const struct am_control_action *a)
{
  (void)userdata;
  (void)a;
}

static struct am_control *
engine (void)
{
  struct am_control *c = net_engine (
      "vm-1", "dc-0", 10, (struct am_control_sink){ drop_action, NULL });

  ck_assert_ptr_nonnull (c);
  c->now_us = 1000 * AM_SECOND_US;
  return c;
}

/* Brings member 2 into STATE with incarnation 5.  */
static void
bring (struct am_control *c, char state)
{
  Amaranth__Member m = member ('a', 5);

  if (state == NONE)
    return;
  ck_assert_int_eq (am_members_update (c, &m, AM_UPDATE_GOSSIP), AM_OK);
  m = member (state, 5);
  am_members_update (c, &m, AM_UPDATE_GOSSIP);
  ck_assert_int_eq (letter (c), state);
}

/* Rows: events; columns: state before, in the order n a s d l L.  An update is
   its state and its incarnation against the held 5.  */
static const struct
{
  const char *event;
  const char *after;
} vm_table[] = {
  { "a4", "aasdlL" },
  { "a5", "aasdlL" },
  { "a6", "aaaaaa" },
  { "s4", "sasdlL" },
  { "s5", "sssdlL" },
  { "s6", "ssssss" },
  { "d4", "nasdlL" },
  { "d5", "nddddL" },
  { "d6", "ndddd"
          "L" },
  { "l4", "lasdlL" },
  { "l5", "llldlL" },
  { "l6", "llllll" },
  { "L4", "nasdlL" },
  { "L5", "nLLdLL" },
  { "L6", "nLLdLL" },
  { "xd4", "nasdlL" },
  { "xd5", "nssdlL" },
  { "xd6", "nssdsL" },
  { "probe", "nssdlL" },
  { "suspicion", "naddlL" },
  { "forget", "nadnln" },
};

static void
apply_vm_event (struct am_control *c, const char *event)
{
  struct am_vm *v = am_members_find (c, 2);
  bool exchange = event[0] == 'x';
  Amaranth__Member m;

  if (strcmp (event, "probe") == 0)
    {
      if (v)
        am_members_suspect (c, v);
    }
  else if (strcmp (event, "suspicion") == 0)
    {
      c->now_us += AM_SUSPICION_TIMEOUT_US;
      am_members_tick (c);
    }
  else if (strcmp (event, "forget") == 0)
    {
      c->now_us += AM_DEAD_RETENTION_US;
      am_members_tick (c);
    }
  else
    {
      event += exchange;
      m = member (event[0], (uint64_t)(event[1] - '0'));
      ck_assert_int_eq (am_members_update (c, &m,
                                           exchange ? AM_UPDATE_TABLE_EXCHANGE
                                                    : AM_UPDATE_GOSSIP),
                        AM_OK);
    }
}

/* Guards against an update of lower rank or incarnation that replaces a state,
   and against one of higher that does not.  */
START_TEST (vm_events)
{
  static const char before[] = "nasdlL";

  for (size_t col = 0; col < 6; col++)
    {
      struct am_control *c = engine ();
      char got;

      bring (c, before[col]);
      apply_vm_event (c, vm_table[_i].event);
      got = letter (c);
      ck_assert_msg (got == vm_table[_i].after[col],
                     "event %s in state %c: %c, not %c", vm_table[_i].event,
                     before[col], got, vm_table[_i].after[col]);
      am_control_free (c);
    }
}
END_TEST

/* Guards against an own suspicion that is not refuted, and against a stale one
   that is.  */
START_TEST (self_refutes)
{
  static const struct
  {
    char state;
    uint64_t incarnation;
    uint64_t after;
  } cases[]
      = { { 'a', 9, 10 },  { 'a', 10, 10 }, { 'a', 12, 13 }, { 's', 9, 10 },
          { 's', 10, 11 }, { 's', 14, 15 }, { 'd', 10, 11 }, { 'l', 10, 11 },
          { 'L', 9, 10 },  { 'L', 10, 11 } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct am_control *c = engine ();
      Amaranth__Member m = member (cases[i].state, cases[i].incarnation);

      m.id = 1;
      ck_assert_int_eq (am_members_update (c, &m, AM_UPDATE_GOSSIP), AM_OK);
      ck_assert_uint_eq (c->self.incarnation, cases[i].after);
      ck_assert_int_eq (c->self.state, AMARANTH__MEMBER_STATE__MEMBER_ALIVE);
      am_control_free (c);
    }
}
END_TEST

/* ---- record ------------------------------------------------------- */

static char *
keys_text (uint64_t revision, uint64_t write_id, const char *state)
{
  char *text = NULL;
  int n = asprintf (
      &text,
      "{\"schema\":2,\"kind\":\"keys\",\"name\":\"ticket-keys\","
      "\"revision\":%llu,\"write_id\":\"%032llx\",\"keys\":[{\"id\":1,"
      "\"secret\":\"%064x\",\"state\":\"active\"},{\"id\":2,\"secret\":"
      "\"%064x\",\"state\":\"%s\"}]}",
      (unsigned long long)revision, (unsigned long long)write_id, 1, 2, state);

  return n < 0 ? NULL : text;
}

/* The record is held absent or at revision 5, write id 5.  An event is a
   source (s(tore), p(eer)), a revision and a write id; '!' makes the text one
   that does not parse.  After: revision and write id held, and the result.  */
static const struct
{
  bool held;
  const char *event;
  unsigned revision;
  unsigned write_id;
  int error;
} record_table[] = {
  { false, "s55", 5, 5, AM_OK },         { false, "p55", 5, 5, AM_OK },
  { false, "s55!", 0, 0, AM_E_VERSION }, { false, "p55!", 0, 0, AM_E_VERSION },
  { true, "s49", 5, 5, AM_E_STORE_OLD }, { true, "p49", 5, 5, AM_E_REVISION },
  { true, "s54", 5, 5, AM_E_STORE_OLD }, { true, "p54", 5, 5, AM_E_REVISION },
  { true, "s55", 5, 5, AM_OK },          { true, "p55", 5, 5, AM_OK },
  { true, "s56", 5, 6, AM_OK },          { true, "p56", 5, 6, AM_OK },
  { true, "s61", 6, 1, AM_OK },          { true, "p61", 6, 1, AM_OK },
  { true, "s61!", 5, 5, AM_E_VERSION },  { true, "p61!", 5, 5, AM_E_VERSION },
  { true, "p49!", 5, 5, AM_E_REVISION },
};

static char *
versioned (bool keys, unsigned revision, unsigned write_id, bool broken)
{
  char *text = keys ? keys_text (revision, write_id, "standby")
                    : net_record_text ("s0", revision, write_id, 2);

  if (broken)
    *(strstr (text, "\"schema\":2") + 9) = '9';
  return text;
}

static int
offer (struct am_control *c, bool keys, const char *event)
{
  const char *name = keys ? "ticket-keys" : "s0";
  char *text = versioned (keys, (unsigned)(event[1] - '0'),
                          (unsigned)(event[2] - '0'), event[3] == '!');
  int err = am_config_offer (
      c, name, (const uint8_t *)text, strlen (text),
      event[0] == 's' ? AM_CONFIG_STORE : AM_CONFIG_PEER, NULL);

  free (text);
  return err;
}

/* Guards against a service or keys given up for an older or broken version,
   and against a newer one that is not taken.  */
START_TEST (record_events)
{
  for (int keys = 0; keys < 2; keys++)
    {
      struct am_control *c = engine ();
      const struct am_config_entry *e;
      int err;

      if (record_table[_i].held)
        ck_assert_int_eq (offer (c, keys, "p55"), AM_OK);
      err = offer (c, keys, record_table[_i].event);
      ck_assert_int_eq (err, record_table[_i].error);
      e = am_config_find (c, keys ? "ticket-keys" : "s0");
      ck_assert_uint_eq (e ? e->revision : 0, record_table[_i].revision);
      if (e)
        ck_assert_uint_eq (strtoul (e->write_id, NULL, 16),
                           record_table[_i].write_id);
      ck_assert_uint_eq (c->config.count, e != NULL);
      if (record_table[_i].error == AM_E_VERSION)
        ck_assert (
            !am_config_lacks (c, keys ? "ticket-keys" : "s0",
                              (unsigned)(record_table[_i].event[1] - '0'),
                              "00000000000000000000000000000005")
            || record_table[_i].event[2] != '5');
      am_control_free (c);
    }
}
END_TEST

/* Guards against a digest that depends on the order of arrival.  */
START_TEST (digest_is_of_the_set)
{
  struct am_control *a = engine ();
  struct am_control *b = engine ();

  offer (a, false, "p55");
  offer (a, true, "p11");
  offer (a, false, "p61");
  offer (b, false, "p61");
  offer (b, true, "p11");
  ck_assert_uint_eq (a->config.digest, b->config.digest);
  ck_assert_uint_ne (a->config.digest, 0);
  offer (b, true, "p21");
  ck_assert_uint_ne (a->config.digest, b->config.digest);
  am_control_free (a);
  am_control_free (b);
}
END_TEST

/* ---- key ---------------------------------------------------------- */

/* Guards against keys that do not reach the forwarder in each of their states
   and in each change of state.  */
START_TEST (key_states_reach_the_forwarder)
{
  static const char *const states[] = { "standby", "verify", "standby" };
  static const Amaranth__KeyState expected[]
      = { AMARANTH__KEY_STATE__KEY_STANDBY, AMARANTH__KEY_STATE__KEY_VERIFY,
          AMARANTH__KEY_STATE__KEY_STANDBY };
  struct net n;

  net_init (&n, 3, 1, 1);
  net_store_put (&n, "ticket-keys", 1, 1, 0);
  for (uint64_t i = 0; i < 3; i++)
    {
      free (n.store.records[0].text);
      n.store.records[0].text = keys_text (i + 1, i + 1, states[i]);
      n.store.index++;
      if (i == 0)
        net_start_all (&n);
      net_notify_watches (&n);
      net_run (&n, 12 * NET_SECOND);
      for (size_t k = 0; k < 3; k++)
        {
          Amaranth__Snapshot *s = n.nodes[k].forwarder.snapshot;

          ck_assert_uint_eq (s->n_keys, 2);
          ck_assert_int_eq (s->keys[0]->state,
                            AMARANTH__KEY_STATE__KEY_ACTIVE);
          ck_assert_int_eq (s->keys[1]->state, expected[i]);
        }
    }
  net_finish (&n);
}
END_TEST

/* ---- messages ----------------------------------------------------- */

/* Guards against malformed or unexpected messages that end the agent or change
   its state.  */
START_TEST (malformed_messages)
{
  struct am_control *c = engine ();
  struct am_rng rng;

  am_rng_init (&rng, 1);
  for (int i = 0; i < 30000; i++)
    {
      uint8_t buf[64];
      struct am_control_event e
          = { .now_us = c->now_us + 1, .data = buf, .stream = 1 };

      e.type = (enum am_control_event_type) (i % 4);
      if (e.type == AM_CONTROL_FORWARDER_UP)
        e.type = AM_CONTROL_FORWARDER;
      e.len = am_rng_below (&rng, sizeof buf + 1);
      for (size_t k = 0; k < e.len; k++)
        buf[k] = (uint8_t)am_rng_next (&rng);
      if (e.len > 1 && i % 2)
        {
          buf[0] = (uint8_t)(2 | (1 + am_rng_below (&rng, 14)) << 3);
          buf[1] = (uint8_t)(e.len - 2);
        }
      am_control_event (c, &e);
    }
  ck_assert_uint_gt (c->counters.malformed, 20000);
  ck_assert_uint_eq (c->vms.count, 0);
  ck_assert_uint_eq (c->config.count, 0);
  am_control_free (c);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("control_states");
  TCase *t = tcase_create ("tables");

  tcase_add_loop_test (t, vm_events, 0, sizeof vm_table / sizeof vm_table[0]);
  tcase_add_test (t, self_refutes);
  tcase_add_loop_test (t, record_events, 0,
                       sizeof record_table / sizeof record_table[0]);
  tcase_add_test (t, digest_is_of_the_set);
  tcase_add_test (t, key_states_reach_the_forwarder);
  tcase_add_test (t, malformed_messages);
  suite_add_tcase (s, t);
  return suite_run (s);
}
