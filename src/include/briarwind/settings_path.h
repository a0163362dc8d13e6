#pragma once

#include "briarwind/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// Prefix of every settings key in the platform's store.
inline constexpr std::string_view kSettingsPrefix = "/briarwind/settings/";

/// The first word of a settings path.
enum class settings_branch : std::uint8_t
{
  kOrganisations,
  kTeams,
  kDomains,
  kTargets,
  kServices,
};

/// `organisations`, `teams`, `domains`, `targets` or `services`.
std::string_view ToString(settings_branch aBranch);

/// `/<branch>/<name>` is one subtree: one value and one revision in the store. What follows names a
/// field inside it.
struct settings_path
{
  settings_branch mBranch = settings_branch::kOrganisations;
  std::string mName;
  std::string mField; ///< JSON pointer inside the subtree, such as `/requests/perSecond`, or empty

  bool operator==(const settings_path&) const = default;
};

/// `/<branch>/<name>` and the field, if any.
std::string ToString(const settings_path& aPath);
/// The path without its field.
settings_path SubtreeOf(const settings_path& aPath);

/// Reads a path; names are 1 to 64 characters of `A-Z a-z 0-9 . _ -`. Fails with kInvalid.
result<settings_path> ParseSettingsPath(std::string_view aText);

/// Key of the subtree in the store.
std::string StoreKey(const settings_path& aPath);
/// The subtree that a key of the store holds; nothing for other keys.
std::optional<settings_path> PathOfStoreKey(std::string_view aKey);

} // namespace briarwind
