/* The system's clocks, for drivers of the core and for commands.  */

#ifndef AM_IO_CLOCK_H
#define AM_IO_CLOCK_H

#include <stdint.h>

/* Returns microseconds of CLOCK_MONOTONIC.  */
uint64_t am_clock_us (void);

/* Returns nanoseconds of CLOCK_MONOTONIC.  */
uint64_t am_clock_ns (void);

/* Returns microseconds of CLOCK_BOOTTIME, which counts suspended time too.  */
uint64_t am_clock_boot_us (void);

/* Returns milliseconds of CLOCK_REALTIME.  */
uint64_t am_clock_wall_ms (void);

#endif
