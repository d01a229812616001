/* Records as the store and the operators' files hold them, and changes to
   them.  */

#ifndef AM_CTL_RECORDS_H
#define AM_CTL_RECORDS_H

#include "ctl/ctl.h"

#define CTL_HISTORY_PREFIX "amaranth/history/"
#define CTL_HISTORY_MAX 20

/* A record in the store, or a newer one that agents have.  */
struct ctl_entry
{
  char name[AM_RECORD_NAME_SIZE];
  struct am_record record; /* record.root is NULL if it cannot be read */
  struct am_fault fault;   /* why */
  uint64_t index;          /* modify index in the store; 0: not there */
};

struct ctl_set
{
  struct ctl_entry *entries;
  size_t count;
};

/* Reads every record from the store, and from an agent those that are newer
   there (the store may have lost its past).  The caller frees SET with
   ctl_set_free, also after a failure.  Reports and returns AM_E_STORE,
   AM_E_FORMAT or AM_E_MEMORY.  */
int ctl_set_read (struct ctl *c, struct ctl_set *set);
void ctl_set_free (struct ctl_set *set);

/* Returns the entry of NAME, or NULL.  */
struct ctl_entry *ctl_set_find (const struct ctl_set *set, const char *name);

/* A record file of an operator.  */
struct ctl_file
{
  char *path;
  char *text;
  size_t len;
  struct am_record record;
};

/* Reads PATH, or every *.yaml below it if it is a folder, and checks the
   records alone and against each other.  Every fault is reported.  The caller
   frees *FILES with ctl_files_free.  */
int ctl_files_read (struct ctl *c, const char *path, struct ctl_file **files,
                    size_t *n);
int ctl_files_read_list (struct ctl *c, char *const *paths, size_t path_count,
                         struct ctl_file **files, size_t *n);
void ctl_files_free (struct ctl_file *files, size_t n);

enum ctl_outcome
{
  CTL_UNCHANGED,
  CTL_CREATED,
  CTL_CHANGED,
};

/* A change of one record.  */
struct ctl_change
{
  const char *source;    /* file or command, for messages; not owned */
  struct am_record mine; /* the state wanted */
  struct am_record base; /* what MINE was made from; root NULL: nothing */
  bool base_known;
  /* Result.  */
  struct am_record merged; /* to be written, or as written */
  uint64_t index;          /* to compare and swap with */
  enum ctl_outcome outcome;
  bool was_merged;      /* with the change of another writer */
  bool answer_was_lost; /* and was settled by reading back */
};

void ctl_change_free (struct ctl_change *change);

/* Sets CHANGE to start from the present version of ENTRY: both base and mine
   are copies of it, for the caller to change mine.root.  */
int ctl_change_start (struct ctl *c, struct ctl_change *change,
                      const struct ctl_entry *entry);

/* Reads change->mine.root anew after it was changed.  */
int ctl_change_reread (struct ctl *c, struct ctl_change *change);

/* Merges CHANGE into what SET holds and checks the result against the rules
   for changes.  Reports and returns AM_E_CONFLICT, AM_E_STATE, ...  */
int ctl_change_prepare (struct ctl *c, struct ctl_change *change,
                        const struct ctl_set *set);

/* Checks SET with the results of N prepared changes in it.  */
int ctl_changes_validate (struct ctl *c, const struct ctl_set *set,
                          const struct ctl_change *changes, size_t n);

/* Writes N changes, adds them to the history, hands them to agents and waits
   until they are in force.  Everything is checked before the first write.
   Reports every failure.  */
int ctl_changes_commit (struct ctl *c, struct ctl_change *changes, size_t n);

/* Writes a prepared change by compare-and-swap.  */
int ctl_change_write (struct ctl *c, struct ctl_change *change);

/* Waits until VERSIONS are in force on all live entry VMs.  Reports and
   returns AM_E_TIMEOUT or AM_E_CONNECTION.  */
int ctl_wait_in_force (struct ctl *c, const struct am_record *const *versions,
                       size_t n);

/* Adds the new version of CHANGE to its history; a failure is only noted.  */
void ctl_history_add (struct ctl *c, const struct ctl_change *change);

/* Reads the history of NAME as a JSON list, the newest first; *INDEX is its
   modify index.  The caller owns *LIST.  Reports and returns AM_E_STORE.  */
int ctl_history_read (struct ctl *c, const char *name, json_t **list,
                      uint64_t *index);

/* Replaces secrets in the record ROOT, for output.  */
void ctl_hide_secrets (json_t *root);

/* Reads the file or folder that is the command's argument, turns it into
   changes and calls ACT with them.  Returns the error that was reported.  */
int ctl_run_on_files (struct ctl *c,
                      int (*act) (struct ctl *c, struct ctl_change *changes,
                                  size_t n));

#endif
