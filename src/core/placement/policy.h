/* Balancing policies of upstream selection; see core/placement/choice.h.

   am_policy_local: least load relative to the quota of this VM.
   am_policy_two_choices: the less loaded of two weighted random candidates.
   am_policy_random: weighted random.
   am_policy_round_robin: weighted round robin (stride scheduling).
   am_policy_hash: weighted rendezvous hashing of the key of the flow or
   request.  */

#ifndef AM_CORE_POLICY_H
#define AM_CORE_POLICY_H

#include "core/placement/choice.h"

extern const struct am_choice_ops am_policy_local;
extern const struct am_choice_ops am_policy_two_choices;
extern const struct am_choice_ops am_policy_random;
extern const struct am_choice_ops am_policy_round_robin;
extern const struct am_choice_ops am_policy_hash;

#endif
