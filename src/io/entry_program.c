#include "io/entry_program.h"

#include "base/error.h"

int
am_entry_load (const struct am_entry_arguments *a, struct am_settings **s,
               uint8_t *key)
{
  struct am_fault f;

  if (am_settings_load (s, a->settings, &f))
    return am_entry_report_fault (&f, a->settings);
  f = (struct am_fault){ .field = "peers.key_file",
                         .allowed
                         = "file of 64 hexadecimal digits, mode 0600" };
  f.error = am_settings_peer_key (*s, a->settings, key);
  if (!f.error)
    return AM_EXIT_OK;
  am_settings_free (*s);
  *s = NULL;
  return am_entry_report_fault (&f, a->settings);
}
