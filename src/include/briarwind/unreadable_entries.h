#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace briarwind {

/// The entries of a list that describe nothing usable. Tells which of them are new, so that each is
/// logged once although the list is read again and again.
class unreadable_entries
{
public:
  /// Replaces the entries; returns the names that were not among the former ones.
  std::vector<std::string> Replace(const std::vector<std::string>& aNames);
  std::size_t Count() const { return mCount; }

  /// The first names, separated by spaces and cut off where they are long, for one log line.
  static std::string Summarise(const std::vector<std::string>& aNames);

private:
  std::set<std::string> mNames; ///< several entries may have the same name
  std::size_t mCount = 0;
};

} // namespace briarwind
