/* Differences between two snapshots.

   Of an earlier snapshot only marks are kept: a digest of each record, 24
   bytes per service or member.  */

#ifndef AM_CORE_SNAPSHOT_DIFF_H
#define AM_CORE_SNAPSHOT_DIFF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/amaranth.pb-c.h"

struct am_mark
{
  uint64_t id;
  uint64_t version; /* of the record that it was made from; 0: unknown */
  uint64_t digest;  /* of the content */
};

/* Marks in the order of their ids.  */
struct am_mark_list
{
  struct am_mark *marks;
  size_t count;
};

struct am_snapshot_marks
{
  uint64_t digest; /* of the whole; 0: no snapshot */
  struct am_mark_list services;
  struct am_mark_list members;
  struct am_mark_list verdicts; /* id: service id << 32 | upstream id */
  uint64_t keys;
};

/* Returns a number that differs whenever the content of S may differ, or 0 if
   none is known.  */
typedef uint64_t (*am_service_version) (void *userdata,
                                        const Amaranth__Service *s);

/* Fills M with the marks of S and sets the digest of both.  A service whose
   version is that of its mark in BEFORE is not packed again.  Returns AM_OK;
   AM_E_EXISTS if an id is there twice; or AM_E_MEMORY.  On an error M is
   empty.  */
int am_snapshot_marks_make (struct am_snapshot_marks *m, Amaranth__Snapshot *s,
                            const struct am_snapshot_marks *before,
                            am_service_version version, void *userdata);

void am_snapshot_marks_finish (struct am_snapshot_marks *m);

/* Sets D to the delta from the snapshot with the marks FROM to TO, whose marks
   are MARKS.  The records in D are those of TO; the arrays, and withdrawn
   verdicts, are freed with am_snapshot_diff_finish.  Returns AM_OK or
   AM_E_MEMORY.  */
int am_snapshot_diff (Amaranth__SnapshotDelta *d,
                      const struct am_snapshot_marks *from,
                      const Amaranth__Snapshot *to,
                      const struct am_snapshot_marks *marks);

void am_snapshot_diff_finish (Amaranth__SnapshotDelta *d);

#endif
