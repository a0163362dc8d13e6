#pragma once

#include "briarwind/finding.h"
#include "briarwind/settings_model.h"
#include "briarwind/settings_path.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace briarwind {

/// The decoded settings of one subtree.
using settings_value = std::variant<organisation_settings, team_settings, domain_settings,
                                    target_settings, service_settings>;

/// Parses the JSON object of a subtree. Fields that are left out keep their defaults; unknown
/// fields are errors. All findings are appended to aFindings, each with its path, its value and
/// what was expected. Returns nothing when one of the appended findings is an error.
std::optional<settings_value> ParseSettings(const settings_path& aPath, std::string_view aJson,
                                            findings& aFindings);

/// The JSON object that ParseSettings parses, with every field written out.
std::string ToJson(const settings_value& aValue);

/// Adds a subtree to a view, or replaces the one of the same name.
void PutSettings(settings_view& aView, const settings_value& aValue);

/// Removes a subtree from a view, if it is there.
void EraseSettings(settings_view& aView, const settings_path& aPath);

/// Findings about references between subtrees, such as a team of an organisation that does not
/// exist.
findings CheckReferences(const settings_view& aView);

} // namespace briarwind
