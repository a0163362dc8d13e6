#pragma once

#include "ctl_command.h"

#include "briarwind/settings_change.h"

namespace briarwind {

/// Returns a check for a change below /organisations. The check reports the guarantees that can no
/// longer be met together after the change and could be before it. When no host list can be read,
/// the check only warns. For other paths the returned check is empty.
/// @param aBook the settings before the change
view_check MakeGuaranteeCheck(ctl_context& aContext, const settings_path& aPath,
                              const settings_book& aBook);

} // namespace briarwind
