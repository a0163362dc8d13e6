#pragma once

#include "briarwind/log.h"
#include "briarwind/work_core.h"

namespace briarwind {

/// The log event of a decision of the core.
const event_kind& EventOf(work_note_kind aKind);

} // namespace briarwind
