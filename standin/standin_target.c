#include "standin_target.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "base/error.h"

#define SLOTS_DEFAULT 2
#define CONNECTIONS_DEFAULT 2000

static const char *
text_of (yaml_document_t *d, yaml_node_t *map, const char *key)
{
  if (!map || map->type != YAML_MAPPING_NODE)
    return NULL;
  for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
       pair < map->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *k = yaml_document_get_node (d, pair->key);
      yaml_node_t *v = yaml_document_get_node (d, pair->value);

      if (k->type == YAML_SCALAR_NODE && v->type == YAML_SCALAR_NODE
          && strcmp ((char *)k->data.scalar.value, key) == 0)
        return (char *)v->data.scalar.value;
    }
  return NULL;
}

static yaml_node_t *
list_of (yaml_document_t *d, yaml_node_t *map, const char *key)
{
  for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
       pair < map->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *k = yaml_document_get_node (d, pair->key);
      yaml_node_t *v = yaml_document_get_node (d, pair->value);

      if (k->type == YAML_SCALAR_NODE && v->type == YAML_SEQUENCE_NODE
          && strcmp ((char *)k->data.scalar.value, key) == 0)
        return v;
    }
  return NULL;
}

static uint32_t
number_of (yaml_document_t *d, yaml_node_t *map, const char *key,
           uint32_t otherwise)
{
  const char *text = text_of (d, map, key);

  return text ? (uint32_t)strtoul (text, NULL, 10) : otherwise;
}

/* Reads one upstream into T, whose service is set.  */
static int
read_target (struct standin_target *t, yaml_document_t *d, yaml_node_t *map)
{
  const char *name = text_of (d, map, "name");
  const char *address = text_of (d, map, "address");
  const char *state = text_of (d, map, "state");

  if (!name || !address)
    return AM_E_FIELD_MISSING;
  if (am_address_parse (&t->address, address) != AM_OK)
    return AM_E_FORMAT;
  snprintf (t->name, sizeof t->name, "%s", name);
  t->incarnation = number_of (d, map, "incarnation", 1);
  t->slots = number_of (d, map, "slots", SLOTS_DEFAULT);
  t->connections = number_of (d, map, "connections", CONNECTIONS_DEFAULT);
  t->leaving = state && strcmp (state, "leaving") == 0;
  return AM_OK;
}

static int
read_service (struct standin_target *service, yaml_document_t *d,
              yaml_node_t *root)
{
  const char *name = text_of (d, root, "name");
  const char *address = text_of (d, root, "address");

  if (!name || !address)
    return AM_E_FIELD_MISSING;
  snprintf (service->service, sizeof service->service, "%s", name);
  return am_address_parse (&service->service_address, address);
}

static int
add_targets (struct standin_target **targets, size_t *count,
             yaml_document_t *d)
{
  yaml_node_t *root = yaml_document_get_root_node (d);
  struct standin_target service = { 0 };
  yaml_node_t *list;
  int err;

  if (!root || root->type != YAML_MAPPING_NODE)
    return AM_E_FORMAT;
  err = read_service (&service, d, root);
  list = list_of (d, root, "upstreams");
  if (err || !list)
    return err ? err : AM_E_FIELD_MISSING;
  for (yaml_node_item_t *item = list->data.sequence.items.start;
       item < list->data.sequence.items.top; item++)
    {
      yaml_node_t *map = yaml_document_get_node (d, *item);
      const char *state = text_of (d, map, "state");
      struct standin_target *grown;

      if (state && strcmp (state, "retired") == 0)
        continue;
      grown = realloc (*targets, (*count + 1) * sizeof *grown);
      if (!grown)
        return AM_E_MEMORY;
      *targets = grown;
      grown[*count] = service;
      err = read_target (&grown[*count], d, map);
      if (err)
        return err;
      ++*count;
    }
  return AM_OK;
}

int
standin_targets_read (struct standin_target **targets, size_t *count,
                      const char *file)
{
  yaml_parser_t parser;
  yaml_document_t document;
  FILE *in = fopen (file, "re");
  int err = AM_E_FORMAT;

  if (!in)
    return AM_E_IO;
  if (!yaml_parser_initialize (&parser))
    {
      fclose (in);
      return AM_E_MEMORY;
    }
  yaml_parser_set_input_file (&parser, in);
  if (yaml_parser_load (&parser, &document))
    {
      err = add_targets (targets, count, &document);
      yaml_document_delete (&document);
    }
  yaml_parser_delete (&parser);
  fclose (in);
  return err;
}
