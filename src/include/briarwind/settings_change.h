#pragma once

#include "briarwind/settings_book.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// One change that somebody asks for.
struct change_request
{
  settings_path mPath;               ///< a subtree, or a field inside it
  std::optional<std::string> mValue; ///< JSON; nothing deletes
  std::string mAuthor;
  std::string mId; ///< unique
  wall_time mAt;
};

/// One leaf that differs between two JSON values.
struct setting_difference
{
  std::string mPlace;  ///< JSON pointer
  std::string mBefore; ///< JSON, or empty when it is new
  std::string mAfter;  ///< JSON, or empty when it is gone
};

/// All leaves in which two JSON values differ, by place.
std::vector<setting_difference> DifferencesBetween(std::string_view aBefore,
                                                   std::string_view aAfter);

/// `/withdrawn: false -> true`, several separated by `; `.
std::string ToText(const std::vector<setting_difference>& aDifferences);

/// A check over everything that would be in force, such as whether all guarantees can be met
/// together.
using view_check = std::function<findings(const settings_view&)>;

/// A change that was checked against everything else.
struct change_plan
{
  findings mFindings;       ///< all of them; when one is an error, nothing may be stored
  settings_record mRecord;  ///< what to store
  store_revision mBase = 0; ///< the revision that the write has to compare with
};

/// Checks a change as a whole. aBook holds what is stored now.
change_plan PlanChange(const settings_book& aBook, const change_request& aRequest,
                       const view_check& aCheck = {});

} // namespace briarwind
