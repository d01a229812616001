#include "base/error.h"

const char *
am_error_name (int error)
{
  switch (error)
    {
#define AM_ERROR_NAME(symbol, number, name, text) \
  case symbol:                                    \
    return name;
      AM_ERROR_LIST (AM_ERROR_NAME)
#undef AM_ERROR_NAME
    default:
      return "unknown";
    }
}

const char *
am_error_text (int error)
{
  switch (error)
    {
#define AM_ERROR_TEXT(symbol, number, name, text) \
  case symbol:                                    \
    return text;
      AM_ERROR_LIST (AM_ERROR_TEXT)
#undef AM_ERROR_TEXT
    default:
      return "unknown error";
    }
}
