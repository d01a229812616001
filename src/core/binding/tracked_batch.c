#include "core/binding/tracked_batch.h"

#include <stdlib.h>

#include "base/error.h"
#include "wire/bytes.h"

#define GROUP_HEADER_SIZE 9
#define GROUP_MAX 255

/* An address and a port are 48 bits.  */
#define KEY_SIZE_MAX 7
#define KEY_LIMIT (1ULL << 48)

static int
compare (const void *a, const void *b)
{
  const struct am_tracked_flow *x = *(struct am_tracked_flow *const *)a;
  const struct am_tracked_flow *y = *(struct am_tracked_flow *const *)b;

  if (x->upstream_id != y->upstream_id)
    return x->upstream_id < y->upstream_id ? -1 : 1;
  if (x->incarnation != y->incarnation)
    return x->incarnation < y->incarnation ? -1 : 1;
  return x->key < y->key ? -1 : x->key > y->key;
}

void
am_tracked_batch_sort (struct am_tracked_flow **list, size_t n)
{
  qsort (list, n, sizeof (void *), compare);
}

static size_t
put_number (uint8_t *p, uint64_t v)
{
  size_t n = 0;

  for (; v >= 0x80; v >>= 7)
    p[n++] = (uint8_t)(v | 0x80);
  p[n++] = (uint8_t)v;
  return n;
}

/* Sets *V and returns the length, or 0 if it is cut short or too long.  */
static size_t
get_number (const uint8_t *p, size_t len, uint64_t *v)
{
  *v = 0;
  for (size_t n = 0; n < len && n < KEY_SIZE_MAX; n++)
    {
      *v |= (uint64_t)(p[n] & 0x7f) << 7 * n;
      if (!(p[n] & 0x80))
        return n + 1;
    }
  return 0;
}

static bool
is_same_group (const struct am_tracked_flow *a,
               const struct am_tracked_flow *b)
{
  return a->upstream_id == b->upstream_id && a->incarnation == b->incarnation;
}

/* Adds one group of the first flows at LIST.  Returns how many it took.  */
static size_t
fill_group (struct am_tracked_batch *batch,
            struct am_tracked_flow *const *list, size_t n)
{
  uint8_t *head = batch->body + batch->len;
  uint64_t before = 0;
  size_t count = 0;

  if (batch->len + GROUP_HEADER_SIZE + KEY_SIZE_MAX > AM_TRACKED_BATCH_SIZE)
    return 0;
  am_put_u32 (head, list[0]->upstream_id);
  am_put_u32 (head + 4, list[0]->incarnation);
  batch->len += GROUP_HEADER_SIZE;
  while (count < n && count < GROUP_MAX
         && batch->len + KEY_SIZE_MAX <= AM_TRACKED_BATCH_SIZE
         && is_same_group (list[0], list[count]))
    {
      batch->len
          += put_number (batch->body + batch->len, list[count]->key - before);
      before = list[count++]->key;
    }
  head[8] = (uint8_t)count;
  return count;
}

size_t
am_tracked_batch_fill (struct am_tracked_batch *batch,
                       struct am_tracked_flow *const *list, size_t n)
{
  size_t done = 0;
  size_t count;

  batch->len = AM_TRACKED_BATCH_HEADER_SIZE;
  while (done < n && (count = fill_group (batch, list + done, n - done)) != 0)
    done += count;
  return done;
}

struct visitor
{
  void (*callback) (void *userdata, uint64_t key, uint32_t id,
                    uint32_t incarnation);
  void *userdata;
};

/* Returns the length of the group at P, or 0 if it is malformed.  */
static size_t
parse_group (const uint8_t *p, size_t len, const struct visitor *r)
{
  size_t at = GROUP_HEADER_SIZE;
  uint64_t key = 0;

  if (len < GROUP_HEADER_SIZE || p[8] == 0)
    return 0;
  for (uint8_t i = 0; i < p[8]; i++)
    {
      uint64_t step;
      size_t n = get_number (p + at, len - at, &step);

      key += step;
      if (n == 0 || key >= KEY_LIMIT)
        return 0;
      at += n;
      if (r)
        r->callback (r->userdata, key, am_get_u32 (p), am_get_u32 (p + 4));
    }
  return at;
}

static int
parse_groups (const uint8_t *body, size_t len, const struct visitor *r)
{
  size_t at = AM_TRACKED_BATCH_HEADER_SIZE;

  while (at < len)
    {
      size_t n = parse_group (body + at, len - at, r);

      if (n == 0)
        return AM_E_FORMAT;
      at += n;
    }
  return AM_OK;
}

int
am_tracked_batch_parse (const uint8_t *body, size_t len,
                        void (*callback) (void *userdata, uint64_t key,
                                          uint32_t id, uint32_t incarnation),
                        void *userdata)
{
  const struct visitor r = { callback, userdata };
  int err;

  if (len < AM_TRACKED_BATCH_HEADER_SIZE)
    return AM_E_SHORT;
  err = parse_groups (body, len, NULL);
  return err ? err : parse_groups (body, len, &r);
}
