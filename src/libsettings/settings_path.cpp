#include "briarwind/settings_path.h"

#include <algorithm>
#include <array>

namespace briarwind {

namespace {

constexpr std::array<std::string_view, 5> kBranchNames{
  "organisations", "teams", "domains", "targets", "services",
};

constexpr std::size_t kMaxNameLength = 64;

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '-';
}

bool IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::ranges::all_of(aText, IsNameCharacter);
}

std::optional<settings_branch> ParseBranch(std::string_view aText)
{
  const auto* found = std::ranges::find(kBranchNames, aText);
  if (found == kBranchNames.end()) {
    return std::nullopt;
  }
  return static_cast<settings_branch>(found - kBranchNames.begin());
}

// Removes the text before the next slash from the front of aRest and returns it.
std::string_view ConsumeSegment(std::string_view& aRest)
{
  const std::size_t slash = std::min(aRest.find('/'), aRest.size());
  const std::string_view segment = aRest.substr(0, slash);
  aRest.remove_prefix(slash);
  return segment;
}

} // namespace

std::string_view ToString(settings_branch aBranch)
{
  return kBranchNames.at(static_cast<std::size_t>(aBranch));
}

std::string ToString(const settings_path& aPath)
{
  std::string text = "/";
  text += ToString(aPath.mBranch);
  text += "/";
  text += aPath.mName;
  text += aPath.mField;
  return text;
}

settings_path SubtreeOf(const settings_path& aPath)
{
  return { aPath.mBranch, aPath.mName, "" };
}

result<settings_path> ParseSettingsPath(std::string_view aText)
{
  std::string_view rest = aText;
  if (!rest.starts_with('/')) {
    return MakeError(error_kind::kInvalid, std::string(aText),
                     "expected a path that starts with /");
  }
  rest.remove_prefix(1);
  const auto branch = ParseBranch(ConsumeSegment(rest));
  if (!branch) {
    return MakeError(error_kind::kInvalid, std::string(aText),
                     "expected a path that starts with "
                     "/organisations, /teams, /domains, /targets or /services");
  }
  rest.remove_prefix(rest.empty() ? 0 : 1);
  settings_path parsed;
  parsed.mBranch = *branch;
  parsed.mName = ConsumeSegment(rest);
  if (!IsName(parsed.mName)) {
    return MakeError(error_kind::kInvalid, std::string(aText),
                     "expected a name of 1 to 64 characters of A-Z a-z 0-9 . _ -");
  }
  parsed.mField = rest == "/" ? "" : rest;
  return parsed;
}

std::string StoreKey(const settings_path& aPath)
{
  std::string key(kSettingsPrefix);
  key += ToString(aPath.mBranch);
  key += "/";
  key += aPath.mName;
  return key;
}

std::optional<settings_path> PathOfStoreKey(std::string_view aKey)
{
  if (!aKey.starts_with(kSettingsPrefix)) {
    return std::nullopt;
  }
  const auto parsed =
    ToIoResult([&] { return ParseSettingsPath(aKey.substr(kSettingsPrefix.size() - 1)); });
  if (!parsed || !parsed.value().mField.empty()) {
    return std::nullopt;
  }
  return parsed.value();
}

} // namespace briarwind
