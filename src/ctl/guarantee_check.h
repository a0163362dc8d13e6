#pragma once

#include "ctl_command.h"

#include "briarwind/settings_change.h"

namespace briarwind {

/// A check for changes below /organisations: reports guarantees that could not be met together any
/// more and could be before. For other changes, or when the host list cannot be read, it only
/// warns.
view_check GuaranteeCheck(ctl_context& aContext, const settings_path& aPath,
                          const settings_book& aBook);

} // namespace briarwind
