#include "io/settings.h"

#include <arpa/inet.h>
#include <cyaml/cyaml.h>
#include <limits.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/error.h"
#include "base/log.h"
#include "io/yaml_file.h"
#include "record/fields.h"

#define NAME_MAX_LENGTH 63
#define SEEDS_MAX 64
#define STORE_TIMEOUT_MS 10000
#define PEER_KEY_DIGITS 64
#define GROUP_AND_OTHER_ACCESS 077

#define TEXT(flags, type, member)                                      \
  CYAML_FIELD_STRING_PTR (#member, CYAML_FLAG_POINTER | (flags), type, \
                          member, 1, PATH_MAX)
#define OPTIONAL_UINT(type, member) \
  CYAML_FIELD_UINT (#member, CYAML_FLAG_OPTIONAL, type, member)

static const cyaml_schema_field_t vm_fields[]
    = { CYAML_FIELD_UINT ("id", CYAML_FLAG_DEFAULT, struct am_settings_vm, id),
        TEXT (0, struct am_settings_vm, name),
        TEXT (0, struct am_settings_vm, region),
        TEXT (0, struct am_settings_vm, data_centre),
        TEXT (0, struct am_settings_vm, address),
        CYAML_FIELD_END };

static const cyaml_schema_field_t port_fields[]
    = { OPTIONAL_UINT (struct am_settings_ports, data),
        OPTIONAL_UINT (struct am_settings_ports, peer),
        OPTIONAL_UINT (struct am_settings_ports, control),
        OPTIONAL_UINT (struct am_settings_ports, forwarder_metrics),
        OPTIONAL_UINT (struct am_settings_ports, gossip),
        OPTIONAL_UINT (struct am_settings_ports, agent),
        OPTIONAL_UINT (struct am_settings_ports, agent_metrics),
        CYAML_FIELD_END };

static const cyaml_schema_field_t fabric_fields[]
    = { TEXT (0, struct am_settings_fabric, return_address), CYAML_FIELD_END };

static const cyaml_schema_field_t store_fields[]
    = { TEXT (0, struct am_settings_store, url),
        OPTIONAL_UINT (struct am_settings_store, timeout_ms),
        CYAML_FIELD_END };

static const cyaml_schema_value_t seed_value
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 1, PATH_MAX) };

static const cyaml_schema_field_t peers_fields[]
    = { CYAML_FIELD_SEQUENCE (
            "seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
            struct am_settings_peers, seeds, &seed_value, 0, SEEDS_MAX),
        TEXT (0, struct am_settings_peers, key_file), CYAML_FIELD_END };

/* libcyaml's own booleans take any unknown word as true.  */
static const cyaml_strval_t booleans[] = { { "false", 0 }, { "true", 1 } };

static const cyaml_schema_field_t log_fields[]
    = { TEXT (CYAML_FLAG_OPTIONAL, struct am_settings_log, level),
        CYAML_FIELD_ENUM_PTR ("decisions",
                              CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL
                                  | CYAML_FLAG_STRICT,
                              struct am_settings_log, decisions, booleans, 2),
        CYAML_FIELD_END };

static const cyaml_schema_field_t root_fields[]
    = { CYAML_FIELD_MAPPING ("vm", CYAML_FLAG_DEFAULT, struct am_settings, vm,
                             vm_fields),
        CYAML_FIELD_MAPPING ("ports", CYAML_FLAG_OPTIONAL, struct am_settings,
                             ports, port_fields),
        CYAML_FIELD_MAPPING ("fabric", CYAML_FLAG_DEFAULT, struct am_settings,
                             fabric, fabric_fields),
        CYAML_FIELD_MAPPING ("store", CYAML_FLAG_DEFAULT, struct am_settings,
                             store, store_fields),
        CYAML_FIELD_MAPPING ("peers", CYAML_FLAG_DEFAULT, struct am_settings,
                             peers, peers_fields),
        CYAML_FIELD_MAPPING ("log", CYAML_FLAG_OPTIONAL, struct am_settings,
                             log, log_fields),
        CYAML_FIELD_END };

static const cyaml_schema_value_t root_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, struct am_settings, root_fields) };

static int
check_address (const char *text, const char *field, struct am_fault *f)
{
  struct am_address a;

  if (am_address_parse (&a, text))
    return am_fault_set (f, AM_E_FIELD_VALUE, field, "A.B.C.D:PORT");
  return AM_OK;
}

static int
check_name (const char *text, const char *field, struct am_fault *f)
{
  if (strlen (text) > NAME_MAX_LENGTH)
    return am_fault_set (f, AM_E_FIELD_RANGE, field, "up to 63 bytes");
  return AM_OK;
}

/* libcyaml leaves a missing number at zero.  */
static void
apply_defaults (struct am_settings *s)
{
  static const struct am_settings_ports defaults
      = { 7000, 7001, 7002, 7003, 7100, 7101, 7103 };
  const uint16_t *from = &defaults.data;
  uint16_t *port = &s->ports.data;

  for (size_t i = 0; i < sizeof defaults / sizeof *from; i++)
    if (!port[i])
      port[i] = from[i];
  if (!s->store.timeout_ms)
    s->store.timeout_ms = STORE_TIMEOUT_MS;
}

static int
check_values (const struct am_settings *s, struct am_fault *f)
{
  struct in_addr in;
  int level;
  int err;

  if (s->vm.id == 0)
    return am_fault_set (f, AM_E_FIELD_RANGE, "vm.id", "1 to 4294967295");
  err = check_name (s->vm.name, "vm.name", f);
  if (!err)
    err = check_name (s->vm.region, "vm.region", f);
  if (!err)
    err = check_name (s->vm.data_centre, "vm.data_centre", f);
  if (err)
    return err;
  if (inet_pton (AF_INET, s->vm.address, &in) != 1)
    return am_fault_set (f, AM_E_FIELD_VALUE, "vm.address", "A.B.C.D");
  err = check_address (s->fabric.return_address, "fabric.return_address", f);
  if (err)
    return err;
  for (unsigned i = 0; i < s->peers.seeds_count; i++)
    {
      char field[32];

      snprintf (field, sizeof field, "peers.seeds[%u]", i);
      err = check_address (s->peers.seeds[i], field, f);
      if (err)
        return err;
    }
  if (strncmp (s->store.url, "http://", 7) != 0
      && strncmp (s->store.url, "https://", 8) != 0)
    return am_fault_set (f, AM_E_FIELD_VALUE, "store.url",
                         "http:// or https:// URL");
  if (s->log.level && am_log_level_parse (&level, s->log.level))
    return am_fault_set (f, AM_E_FIELD_VALUE, "log.level",
                         "error, warning, notice, info, debug");
  return AM_OK;
}

int
am_settings_load (struct am_settings **s, const char *file, struct am_fault *f)
{
  void *data;
  char *text;
  int err;

  *s = NULL;
  memset (f, 0, sizeof *f);
  err = am_yaml_file_load (file, &root_value, &data, &text, f);
  if (err)
    return err;
  apply_defaults (data);
  err = check_values (data, f);
  if (err)
    {
      f->line = am_record_yaml_line (text, strlen (text), f->field);
      am_settings_free (data);
    }
  else
    *s = data;
  free (text);
  return err;
}

void
am_settings_free (struct am_settings *s)
{
  am_yaml_file_free (&root_value, s);
}

int
am_peer_key_read (const char *path, uint8_t *key)
{
  char hex[PEER_KEY_DIGITS + 2] = "";
  struct stat st;
  size_t len;
  FILE *in;

  if (stat (path, &st) != 0)
    return AM_E_IO;
  if (st.st_mode & GROUP_AND_OTHER_ACCESS)
    return AM_E_PERMISSIONS;
  in = fopen (path, "r");
  if (!in)
    return AM_E_IO;
  len = fread (hex, 1, sizeof hex, in);
  fclose (in);
  if (len == PEER_KEY_DIGITS + 1 && hex[PEER_KEY_DIGITS] == '\n')
    len = PEER_KEY_DIGITS;
  if (len != PEER_KEY_DIGITS
      || sodium_hex2bin (key, AM_PEER_KEY_SIZE, hex, len, NULL, &len, NULL)
      || len != AM_PEER_KEY_SIZE)
    return AM_E_FORMAT;
  return AM_OK;
}

int
am_settings_peer_key (const struct am_settings *s, const char *settings_file,
                      uint8_t *key)
{
  char path[PATH_MAX];

  am_file_relative (settings_file, s->peers.key_file, path, sizeof path);
  return am_peer_key_read (path, key);
}

struct am_address
am_settings_address (const struct am_settings *s, uint16_t port)
{
  struct am_address a = { 0, port };
  struct in_addr in;

  if (inet_pton (AF_INET, s->vm.address, &in) == 1)
    a.ip = ntohl (in.s_addr);
  return a;
}

int
am_settings_log_level (const struct am_settings *s)
{
  int level = AM_LOG_INFO;

  if (s->log.level)
    am_log_level_parse (&level, s->log.level);
  return level;
}

bool
am_settings_log_decisions (const struct am_settings *s)
{
  return !s->log.decisions || *s->log.decisions;
}
