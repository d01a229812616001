/* Big-endian integers in byte buffers.  */

#ifndef AM_WIRE_BYTES_H
#define AM_WIRE_BYTES_H

#include <stdint.h>

static inline void
am_put_u16 (uint8_t *p, uint16_t v)
{
  p[0] = (uint8_t)(v >> 8);
  p[1] = (uint8_t)v;
}

static inline void
am_put_u32 (uint8_t *p, uint32_t v)
{
  am_put_u16 (p, (uint16_t)(v >> 16));
  am_put_u16 (p + 2, (uint16_t)v);
}

static inline void
am_put_u64 (uint8_t *p, uint64_t v)
{
  am_put_u32 (p, (uint32_t)(v >> 32));
  am_put_u32 (p + 4, (uint32_t)v);
}

static inline uint16_t
am_get_u16 (const uint8_t *p)
{
  return (uint16_t)(p[0] << 8 | p[1]);
}

static inline uint32_t
am_get_u32 (const uint8_t *p)
{
  return (uint32_t)am_get_u16 (p) << 16 | am_get_u16 (p + 2);
}

static inline uint64_t
am_get_u64 (const uint8_t *p)
{
  return (uint64_t)am_get_u32 (p) << 32 | am_get_u32 (p + 4);
}

#endif
