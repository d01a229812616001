/* The one list of failures, used by every program and in wire messages.

   Values are negative and stable: a number is never reused.  */

#ifndef AM_BASE_ERROR_H
#define AM_BASE_ERROR_H

/* X (symbol, number, name, text)  */
#define AM_ERROR_LIST(X)                                                      \
  X (AM_OK, 0, "ok", "success")                                               \
  X (AM_E_MEMORY, -1, "memory", "out of memory")                              \
  X (AM_E_ARGUMENT, -2, "argument", "invalid argument")                       \
  X (AM_E_SHORT, -3, "short", "input is cut short")                           \
  X (AM_E_FORMAT, -4, "format", "input is malformed")                         \
  X (AM_E_VERSION, -5, "version", "unsupported version")                      \
  X (AM_E_TOO_LARGE, -6, "too_large", "input exceeds its size limit")         \
  X (AM_E_NOT_UTF8, -7, "not_utf8", "text is not valid UTF-8")                \
  X (AM_E_AUTH, -8, "auth", "authentication failed")                          \
  X (AM_E_KEY_UNKNOWN, -9, "key_unknown", "key is not known")                 \
  X (AM_E_TICKET, -10, "ticket", "ticket does not fit this packet")           \
  X (AM_E_EXPIRED, -11, "expired", "validity has ended")                      \
  X (AM_E_SERVICE_UNKNOWN, -12, "service_unknown", "service is not known")    \
  X (AM_E_UPSTREAM_UNKNOWN, -13, "upstream_unknown", "upstream is not known") \
  X (AM_E_INCARNATION, -14, "incarnation",                                    \
     "incarnation differs from the present one")                              \
  X (AM_E_NO_UPSTREAM, -15, "no_upstream", "no upstream is available")        \
  X (AM_E_FLOW_UNKNOWN, -16, "flow_unknown", "upstream does not know flow")   \
  X (AM_E_SILENT, -17, "silent", "flow has gone silent")                      \
  X (AM_E_LIMIT, -18, "limit", "limit reached")                               \
  X (AM_E_RATE, -19, "rate", "rate limit exceeded")                           \
  X (AM_E_QUEUE_FULL, -20, "queue_full", "queue is full")                     \
  X (AM_E_DEADLINE, -21, "deadline", "deadline has passed")                   \
  X (AM_E_CANCELLED, -22, "cancelled", "request was cancelled")               \
  X (AM_E_SHED, -23, "shed", "upstream refused the work")                     \
  X (AM_E_DRAINING, -24, "draining", "upstream is draining")                  \
  X (AM_E_STOPPING, -25, "stopping", "entry VM is stopping")                  \
  X (AM_E_ISSUER_GONE, -26, "issuer_gone", "issuing process is gone")         \
  X (AM_E_FORGOTTEN, -27, "forgotten", "outcome is no longer held")           \
  X (AM_E_CONNECTION, -28, "connection", "connection failed or was lost")     \
  X (AM_E_TIMEOUT, -29, "timeout", "no answer in time")                       \
  X (AM_E_BUDGET, -30, "budget", "retry budget is spent")                     \
  X (AM_E_IO, -31, "io", "input or output failed")                            \
  X (AM_E_NOT_FOUND, -32, "not_found", "not found")                           \
  X (AM_E_EXISTS, -33, "exists", "already exists")                            \
  X (AM_E_CONFLICT, -34, "conflict", "record was changed by another writer")  \
  X (AM_E_STORE, -35, "store", "store is unavailable")                        \
  X (AM_E_STORE_UNSURE, -36, "store_unsure",                                  \
     "store may or may not have taken the write")                             \
  X (AM_E_STORE_OLD, -37, "store_old",                                        \
     "store holds an older revision than one in force")                       \
  X (AM_E_REVISION, -38, "revision", "revision is not newer")                 \
  X (AM_E_FIELD_UNKNOWN, -39, "field_unknown", "unknown field")               \
  X (AM_E_FIELD_MISSING, -40, "field_missing", "required field is missing")   \
  X (AM_E_FIELD_TYPE, -41, "field_type", "field has the wrong type")          \
  X (AM_E_FIELD_RANGE, -42, "field_range", "field is out of range")           \
  X (AM_E_FIELD_VALUE, -43, "field_value", "field has a value not allowed")   \
  X (AM_E_ADDRESS_IN_USE, -44, "address_in_use",                              \
     "address belongs to another service")                                    \
  X (AM_E_PERMISSIONS, -45, "permissions", "file may be read by others")      \
  X (AM_E_STATE, -46, "state", "not allowed in this state")                   \
  X (AM_E_QUARANTINE, -47, "quarantine", "address is in quarantine")          \
  X (AM_E_INTERNAL, -48, "internal", "internal error")                        \
  X (AM_E_NO_OWNER, -49, "no_owner",                                          \
     "no entry VM is known to own the requests of the service")               \
  X (AM_E_BASE, -50, "base", "delta is for another snapshot")

enum am_error
{
#define AM_ERROR_ENUM(symbol, number, name, text) symbol = number,
  AM_ERROR_LIST (AM_ERROR_ENUM)
#undef AM_ERROR_ENUM
};

/* Exit codes of every program (values of sysexits).  */
enum am_exit
{
  AM_EXIT_OK = 0,
  AM_EXIT_USAGE = 64,
  AM_EXIT_DATA = 65,
  AM_EXIT_UNAVAILABLE = 69,
  AM_EXIT_SOFTWARE = 70,
  AM_EXIT_TEMPFAIL = 75,
};

/* Returns the stable short name of ERROR ("unknown" for a number outside the
   list).  The string is static.  */
const char *am_error_name (int error);

/* Returns one line of text for ERROR.  The string is static.  */
const char *am_error_text (int error);

#endif
