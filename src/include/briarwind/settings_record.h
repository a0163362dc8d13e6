#pragma once

#include "briarwind/config_store.h"
#include "briarwind/time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// Changes that a subtree's value remembers.
inline constexpr std::size_t kHistoryLength = 20;

/// Who changed what, and from which revision.
struct change_record
{
  std::string mId; ///< unique; what a read-back recognises its own write by
  std::string mAuthor;
  wall_time mAt;
  store_revision mBase = 0; ///< revision that the author had read; 0: the subtree was new
  std::string mWhat;        ///< one line, such as `/withdrawn: false -> true`

  bool operator==(const change_record&) const = default;
};

/// The value of one subtree in the store: the settings and the changes that led to them.
struct settings_record
{
  bool mDeleted =
    false; ///< a deleted subtree stays as a record, so that its revision goes on rising
  std::string mSettings = "{}";        ///< JSON object
  std::vector<change_record> mHistory; ///< newest first, at most kHistoryLength

  bool operator==(const settings_record&) const = default;
};

/// Whether the record's history remembers the change.
bool HasChange(const settings_record& aRecord, std::string_view aId);

/// JSON for the store. Whole milliseconds are kept of the times.
std::string Encode(const settings_record& aRecord);

/// Fails with kProtocol when the text is no such record.
result<settings_record> DecodeSettingsRecord(std::string_view aText);

/// Time of day as logs and people read it: `2026-12-04T01:44:53.120Z`.
std::string ToString(wall_time aTime);

} // namespace briarwind
