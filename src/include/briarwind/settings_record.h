#pragma once

#include "briarwind/config_store.h"
#include "briarwind/time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// The number of most recent changes that a record keeps in its history.
inline constexpr std::size_t kHistoryLength = 20;

/// One change of a subtree: its author, time, base revision and a summary.
struct change_record
{
  std::string mId; ///< unique; lets a writer recognise its own write when it reads the value back
  std::string mAuthor;
  wall_time mAt;
  store_revision mBase = 0; ///< revision that the change was made on; 0: the subtree was new
  std::string mWhat;        ///< one-line summary, such as `/withdrawn: false -> true`

  bool operator==(const change_record&) const = default;
};

/// The stored value of one subtree: its settings and the latest changes that led to them.
struct settings_record
{
  /// The subtree is deleted. Its key and record stay in the store, so that its revision continues
  /// to rise.
  bool mDeleted = false;
  std::string mSettings = "{}";        ///< JSON object
  std::vector<change_record> mHistory; ///< newest first, at most kHistoryLength changes

  bool operator==(const settings_record&) const = default;
};

/// Whether the record's history contains the change with this id.
bool HasChange(const settings_record& aRecord, std::string_view aId);

/// JSON for the store. Times are stored in whole milliseconds.
std::string Encode(const settings_record& aRecord);

/// Decodes what Encode wrote. Fails with kProtocol when the text is no valid record; the fields
/// inside `settings` are not checked.
result<settings_record> DecodeSettingsRecord(std::string_view aText);

/// Date and time in UTC with milliseconds, in the ISO 8601 format: `2026-12-04T01:44:53.120Z`.
std::string ToString(wall_time aTime);

} // namespace briarwind
