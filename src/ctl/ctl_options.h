#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/options.h"
#include "briarwind/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarwind {

/// Flags, command and arguments of briarwind-ctl.
struct ctl_options
{
  std::vector<endpoint> mStores;
  std::vector<endpoint> mSchedulers;
  std::vector<endpoint> mHostLists;
  std::vector<endpoint> mPeers;
  std::string mAuthor;
  std::string mReason;
  std::int64_t mBaseRevision = 0; ///< 0: the revision that is stored now
  milliseconds mTimeout{ 10'000 };
  bool mWait = false;
  bool mInForce = false;
  bool mJson = false;
  std::vector<std::string> mWords; ///< the command and its arguments
};

/// Binds every flag to its member of aOptions.
void AddOptions(option_set& aSet, ctl_options& aOptions);

/// The text of --help after the flags: commands and exit statuses.
std::string CommandHelp();

} // namespace briarwind
