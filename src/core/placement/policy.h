/* Policies of upstream choice; see core/placement/choice.h.  */

#ifndef AM_CORE_POLICY_H
#define AM_CORE_POLICY_H

#include "core/placement/choice.h"

extern const struct am_choice_ops am_policy_local;
extern const struct am_choice_ops am_policy_two_choices;
extern const struct am_choice_ops am_policy_random;
extern const struct am_choice_ops am_policy_round_robin;
extern const struct am_choice_ops am_policy_hash;

#endif
