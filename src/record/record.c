#include "record/record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "record/fields.h"

/* Returns the length of the UTF-8 sequence at S of at most LEN bytes, or 0 if
   it is not valid (overlong, surrogate or out of range included).  */
static size_t
utf8_sequence (const unsigned char *s, size_t len)
{
  size_t n = s[0] < 0x80 ? 1 : s[0] < 0xe0 ? 2 : s[0] < 0xf0 ? 3 : 4;

  if (n == 1)
    return 1;
  if (s[0] < 0xc2 || s[0] > 0xf4 || n > len)
    return 0;
  for (size_t i = 1; i < n; i++)
    if ((s[i] & 0xc0) != 0x80)
      return 0;
  if ((s[0] == 0xe0 && s[1] < 0xa0) || (s[0] == 0xed && s[1] > 0x9f)
      || (s[0] == 0xf0 && s[1] < 0x90) || (s[0] == 0xf4 && s[1] > 0x8f))
    return 0;
  return n;
}

int
am_text_check (const char *text, size_t len, struct am_fault *f)
{
  unsigned line = 1;
  size_t n;

  if (len > AM_RECORD_TEXT_MAX)
    return am_fault_set (f, AM_E_TOO_LARGE, "", "at most 524288 bytes");
  for (size_t i = 0; i < len; i += n)
    {
      n = utf8_sequence ((const unsigned char *)text + i, len - i);
      if (n == 0)
        {
          am_fault_set (f, AM_E_NOT_UTF8, "", "");
          f->line = line;
          return AM_E_NOT_UTF8;
        }
      line += text[i] == '\n';
    }
  return AM_OK;
}

/* Finds the line of the field of F, or of the nearest enclosing one.  */
static void
find_line (struct am_fault *f, const json_t *lines)
{
  char path[sizeof f->field];
  const json_t *line;

  memcpy (path, f->field, sizeof path);
  while (!(line = json_object_get (lines, path)) && path[0])
    {
      char *dot = strrchr (path, '.');
      char *bracket = strrchr (path, '[');
      char *end = dot > bracket ? dot : bracket;

      if (!end)
        end = path;
      *end = '\0';
    }
  f->line = (unsigned)json_integer_value (line);
}

unsigned
am_record_yaml_line (const char *text, size_t len, const char *field)
{
  struct am_fault f = { 0 };
  json_t *root;
  json_t *lines;

  if (am_yaml_read (text, len, &root, &lines, &f))
    return 0;
  snprintf (f.field, sizeof f.field, "%s", field);
  find_line (&f, lines);
  json_decref (root);
  json_decref (lines);
  return f.line;
}

int
am_record_parse_json (struct am_record *r, const char *text, size_t len,
                      struct am_fault *f)
{
  json_error_t problem;
  int err;

  memset (r, 0, sizeof *r);
  memset (f, 0, sizeof *f);
  err = am_text_check (text, len, f);
  if (err)
    return err;
  r->root = json_loadb (text, len, JSON_REJECT_DUPLICATES, &problem);
  if (!r->root)
    {
      am_fault_set (f, AM_E_FORMAT, "", problem.text);
      f->line = (unsigned)problem.line;
      return AM_E_FORMAT;
    }
  err = am_fields_read (r, false, f);
  if (err)
    am_record_finish (r);
  return err;
}

static unsigned
count_lines (const char *text, size_t len)
{
  unsigned lines = 1;

  for (size_t i = 0; i < len; i++)
    lines += text[i] == '\n';
  return lines;
}

/* As am_yaml_read, and refuses a text whose last line is cut short.  */
static int
read_whole (const char *text, size_t len, json_t **root, json_t **lines,
            struct am_fault *f)
{
  if (len == 0 || text[len - 1] == '\n')
    return am_yaml_read (text, len, root, lines, f);
  am_fault_set (f, AM_E_SHORT, "", "the last line has no end");
  f->line = count_lines (text, len);
  return AM_E_SHORT;
}

int
am_yaml_check (const char *text, size_t len, struct am_fault *f)
{
  json_t *root;
  json_t *lines;
  int err = read_whole (text, len, &root, &lines, f);

  if (err)
    return err;
  json_decref (root);
  json_decref (lines);
  return AM_OK;
}

int
am_record_parse_yaml (struct am_record *r, const char *text, size_t len,
                      struct am_fault *f)
{
  json_t *lines;
  int err;

  memset (r, 0, sizeof *r);
  memset (f, 0, sizeof *f);
  err = am_text_check (text, len, f);
  if (err)
    return err;
  err = read_whole (text, len, &r->root, &lines, f);
  if (err)
    return err;
  err = am_fields_read (r, true, f);
  if (err)
    {
      find_line (f, lines);
      am_record_finish (r);
    }
  json_decref (lines);
  return err;
}

void
am_record_finish (struct am_record *r)
{
  for (size_t i = 0; i < r->key_count; i++)
    amaranth__key__free_unpacked (r->keys[i], NULL);
  free (r->keys);
  if (r->service)
    amaranth__service__free_unpacked (r->service, NULL);
  json_decref (r->root);
  memset (r, 0, sizeof *r);
}

char *
am_record_to_json (const struct am_record *r)
{
  json_t *copy = json_copy (r->root);
  char *text = NULL;

  if (copy && !json_object_set_new (copy, "schema", json_integer (r->schema))
      && !json_object_set_new (copy, "revision",
                               json_integer ((json_int_t)r->revision))
      && !json_object_set_new (copy, "write_id", json_string (r->write_id)))
    text = json_dumps (copy, JSON_SORT_KEYS | JSON_COMPACT);
  json_decref (copy);
  return text;
}
