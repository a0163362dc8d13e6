#pragma once

#include "briarwind/log.h"
#include "briarwind/work_core.h"

namespace briarwind {

/// Log event for a kind of decision of the core.
const event_kind& LogEventFor(work_event_kind aKind);

} // namespace briarwind
