/* Intrusive doubly linked list.

   A node is embedded in the structure it links.  The list never allocates
   and never owns its elements.  A node is in at most one list; an unlinked
   node points to itself.  */

#ifndef AM_BASE_LIST_H
#define AM_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct am_list
{
  struct am_list *next;
  struct am_list *prev;
};

/* Returns the structure of TYPE whose member MEMBER is the node PTR.  */
#define am_container_of(ptr, type, member) \
  ((type *)(void *)((char *)(ptr)-offsetof (type, member)))

/* Visits each element.  The body must not unlink the current element.  */
#define am_list_each(pos, list, type, member)                    \
  for (type *pos = am_container_of ((list)->next, type, member); \
       &pos->member != (list);                                   \
       pos = am_container_of (pos->member.next, type, member))

/* Visits each element; the body may unlink or free the current element.  */
#define am_list_each_safe(pos, tmp, list, type, member)              \
  for (type *pos = am_container_of ((list)->next, type, member),     \
            *tmp = am_container_of (pos->member.next, type, member); \
       &pos->member != (list);                                       \
       pos = tmp, tmp = am_container_of (tmp->member.next, type, member))

static inline void
am_list_init (struct am_list *l)
{
  l->next = l;
  l->prev = l;
}

static inline bool
am_list_empty (const struct am_list *l)
{
  return l->next == l;
}

static inline void
am_list_insert_between (struct am_list *n, struct am_list *prev,
                        struct am_list *next)
{
  n->prev = prev;
  n->next = next;
  prev->next = n;
  next->prev = n;
}

/* Adds N at the front of L.  */
static inline void
am_list_push_front (struct am_list *l, struct am_list *n)
{
  am_list_insert_between (n, l, l->next);
}

/* Adds N at the end of L.  */
static inline void
am_list_push_back (struct am_list *l, struct am_list *n)
{
  am_list_insert_between (n, l->prev, l);
}

/* Unlinks N and leaves it pointing to itself, so that a second call has no
   effect.  */
static inline void
am_list_remove (struct am_list *n)
{
  n->prev->next = n->next;
  n->next->prev = n->prev;
  am_list_init (n);
}

/* Unlinks and returns the first node of L, or NULL if L is empty.  */
static inline struct am_list *
am_list_pop_front (struct am_list *l)
{
  struct am_list *n = l->next;

  if (n == l)
    return NULL;
  am_list_remove (n);
  return n;
}

#endif
