/* Fuzz target: any file read as settings of an entry VM.  */

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/error.h"
#include "io/settings.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct am_settings *s;
  struct am_fault f;
  char path[64];
  int fd = memfd_create ("settings", 0);

  if (fd < 0 || write (fd, data, size) != (ssize_t)size)
    abort ();
  snprintf (path, sizeof path, "/proc/self/fd/%d", fd);
  if (am_settings_load (&s, path, &f) == AM_OK)
    {
      if (s->vm.id == 0 || !s->vm.name || !s->store.url)
        abort ();
      am_settings_free (s);
    }
  else if (s || f.error == AM_OK)
    abort ();
  close (fd);
  return 0;
}
