#pragma once

#include "briarwind/settings_book.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// A requested change of one subtree, or of one field inside it.
struct change_request
{
  settings_path mPath;               ///< a subtree, or a field inside it
  std::optional<std::string> mValue; ///< new value as JSON; nothing deletes the path
  std::string mAuthor;
  std::string mId; ///< unique among all changes
  wall_time mAt;
};

/// A leaf that differs between two JSON values. An empty object counts as a leaf.
struct setting_difference
{
  std::string mPlace;  ///< JSON pointer
  std::string mBefore; ///< JSON, or empty when the leaf was added
  std::string mAfter;  ///< JSON, or empty when the leaf was removed
};

/// All leaves in which two JSON values differ, sorted by place. A text that is no valid JSON has no
/// leaves.
std::vector<setting_difference> DifferencesBetween(std::string_view aBefore,
                                                   std::string_view aAfter);

/// One line such as `/withdrawn: false -> true`; several differences are separated by `; `, and
/// `none` is written for a side without the leaf.
std::string ToText(const std::vector<setting_difference>& aDifferences);

/// A check of the whole view that would be in force after a change, such as whether all guarantees
/// can be met together.
using view_check = std::function<findings(const settings_view&)>;

/// The result of checking a requested change against all other settings.
struct change_plan
{
  findings mFindings;       ///< all findings; when one is an error, nothing may be stored
  settings_record mRecord;  ///< the new record to store
  store_revision mBase = 0; ///< revision that the write has to expect; 0: the key must not exist
};

/// Builds the record that a change would store, and checks the change against all other settings.
/// Nothing is written.
/// @param aBook the settings that are stored now
/// @param aCheck a further check of the resulting view, if any
change_plan PlanChange(const settings_book& aBook, const change_request& aRequest,
                       const view_check& aCheck = {});

} // namespace briarwind
