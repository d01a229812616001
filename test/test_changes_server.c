/* Answers to peers that request changes.  */

#include <stdio.h>

#include "base/error.h"
#include "entry_fixture.h"
#include "suite.h"

#define PEERS 300

static struct am_entry *server;
static struct am_entry *client;

static void
begin (void)
{
  static const uint8_t value[] = "{}";
  char name[16];

  server = entry_new ();
  client = entry_new ();
  am_replica_write (&server->replica, "other/1", 7, value, 2, 5);
  am_replica_advance (&server->replica, 5);
  for (unsigned i = 0; i < PEERS; i++)
    {
      struct am_peer *p;

      snprintf (name, sizeof name, "vm-%u", i);
      p = am_fleet_get_or_add_peer (&server->fleet, name, ENTRY_START_US);
      p->address = (struct am_address){ 0x7f000001 + i, 7000 };
    }
}

static void
end (void)
{
  entry_free (server);
  entry_free (client);
}

/* Requests PATH and applies the response.  */
static void
request (const char *path)
{
  struct am_http_reply reply = { 0 };

  am_entry_changes_handle (server, path, &reply);
  ck_assert_int_eq (reply.status, 200);
  ck_assert_int_eq (am_entry_changes_apply (client, reply.body, reply.body_len,
                                            ENTRY_START_US),
                    AM_OK);
  free (reply.body);
}

/* Guards against VMs that start together and stay unknown to each other: the
   first response comes from a VM that knows few, so that later ones have to
   name the members, too.  Such a VM reads the store, as it hears no reader. */
START_TEST (test_each_response_names_the_members)
{
  request ("/changes?after=0");
  ck_assert_uint_eq (client->fleet.count, PEERS);
  end ();
  begin ();
  am_replica_advance (&client->replica, 4);
  request ("/changes?after=4");
  ck_assert_uint_eq (client->replica.revision, 5);
  ck_assert_uint_eq (client->fleet.count, PEERS);
}
END_TEST

/* Guards against a request for members that brings the whole replica, as this
   VM's is older than what the peer has compacted, or that advances this VM's
   replica without the changes.  */
START_TEST (test_members_come_without_changes)
{
  server->replica.compaction_revision = 5;
  am_replica_write (&client->replica, "other/2", 7, (const uint8_t *)"", 0, 3);
  am_replica_advance (&client->replica, 3);
  request (AM_ENTRY_MEMBERS_PATH);
  ck_assert_uint_eq (client->replica.revision, 3);
  ck_assert_uint_eq (client->replica.item_count, 1);
  ck_assert_uint_eq (client->fleet.count, PEERS);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("changes_server");
  TCase *t = tcase_create ("changes_server");

  tcase_add_checked_fixture (t, begin, end);
  tcase_add_test (t, test_each_response_names_the_members);
  tcase_add_test (t, test_members_come_without_changes);
  suite_add_tcase (s, t);
  return suite_run (s);
}
