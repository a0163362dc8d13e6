#pragma once

#include "briarwind/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwind {

/// Prefix of the keys of all settings in the platform's store.
inline constexpr std::string_view kSettingsPrefix = "/briarwind/settings/";

/// The first segment of a settings path.
enum class settings_branch : std::uint8_t
{
  kOrganisations,
  kTeams,
  kDomains,
  kTargets,
  kServices,
};

/// The segment as written in a path: `organisations`, `teams`, `domains`, `targets` or `services`.
std::string_view ToString(settings_branch aBranch);

/// The path of a subtree, or of a field inside one. A subtree `/<branch>/<name>` is one value with
/// one revision in the store; any further segments name a field inside the value.
struct settings_path
{
  settings_branch mBranch = settings_branch::kOrganisations;
  std::string mName;
  std::string mField; ///< JSON pointer inside the subtree, such as `/requests/perSecond`, or empty

  bool operator==(const settings_path&) const = default;
};

/// The text of a path: `/<branch>/<name>`, then the field, if any.
std::string ToString(const settings_path& aPath);
/// The path of the subtree that aPath lies in, without a field.
settings_path SubtreeOf(const settings_path& aPath);

/// Parses a path. A name has 1 to 64 characters of `A-Z a-z 0-9 . _ -`. Fails with kInvalid when
/// the branch is unknown or the name malformed; whether the field exists is not checked.
result<settings_path> ParseSettingsPath(std::string_view aText);

/// The store key of the subtree that aPath lies in.
std::string StoreKey(const settings_path& aPath);
/// The path of the subtree that is stored under a key; nothing for keys that are no settings keys.
std::optional<settings_path> PathOfStoreKey(std::string_view aKey);

} // namespace briarwind
