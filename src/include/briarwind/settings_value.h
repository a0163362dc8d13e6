#pragma once

#include "briarwind/finding.h"
#include "briarwind/settings_model.h"
#include "briarwind/settings_path.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace briarwind {

/// The typed settings of one subtree.
using settings_value = std::variant<organisation_settings, team_settings, domain_settings,
                                    target_settings, service_settings>;

/// Reads the JSON object of a subtree. Every finding is appended with its path, value and what was
/// expected; nothing is returned when one of them is an error.
std::optional<settings_value> ParseSettings(const settings_path& aPath, std::string_view aJson,
                                            findings& aFindings);

/// The JSON object that ParseSettings reads, with every field.
std::string ToJson(const settings_value& aValue);

/// Puts a subtree into a view in place of the one that it held.
void PutSettings(settings_view& aView, const settings_value& aValue);

/// Takes a subtree out of a view.
void EraseSettings(settings_view& aView, const settings_path& aPath);

/// What does not fit together between subtrees, such as a team of an unknown organisation.
findings CheckReferences(const settings_view& aView);

} // namespace briarwind
