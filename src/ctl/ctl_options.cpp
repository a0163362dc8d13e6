#include "ctl_options.h"

#include "ctl_command.h"

#include <fmt/format.h>

#include <limits>

namespace briarwind {

void AddOptions(option_set& aSet, ctl_options& aOptions)
{
  constexpr milliseconds kMinTimeout{ 100 };
  constexpr milliseconds kMaxTimeout = std::chrono::hours(1);
  aSet.Add("store", aOptions.mStores, "addresses of the platform's store");
  aSet.Add("schedulers", aOptions.mSchedulers,
           "HTTP addresses of schedulers, for commands on jobs");
  aSet.Add("host-list", aOptions.mHostLists,
           "addresses of the platform's host list, to check guarantees");
  aSet.Add("peers", aOptions.mPeers,
           "peer addresses of members, asked even when the store is unreachable");
  aSet.Add("author", aOptions.mAuthor, "author recorded with a change; default: the variable USER");
  aSet.Add("reason", aOptions.mReason, "reason stored with withdraw and return");
  aSet.Add("base", aOptions.mBaseRevision, 0, std::numeric_limits<std::int64_t>::max(),
           "revision of the subtree that the change is based on; 0: the one stored now");
  aSet.Add("timeout", aOptions.mTimeout, kMinTimeout, kMaxTimeout,
           "maximum time to wait for the outcome");
  aSet.Add("wait", aOptions.mWait, "wait until the change is in force on all live members");
  aSet.Add("in-force", aOptions.mInForce,
           "with status: print the revision in force on each member");
  aSet.Add("json", aOptions.mJson, "print JSON");
  aSet.AddPositionals(aOptions.mWords, "COMMAND [ARGUMENT...]", CommandHelp());
}

std::string CommandHelp()
{
  std::string text = "Commands:\n";
  for (const ctl_command& each : Commands()) {
    const std::string form = fmt::format("{} {}", each.mName, each.mArguments);
    text += fmt::format("    {:<24}{}\n", form, each.mHelp);
  }
  text +=
    "  VALUE and JOB are JSON, @FILE to read JSON from a file, or @- for standard input.\n"
    "  Exit status: 0 done, 1 refused, 2 findings, 3 conflict, 4 stored but not yet in force,\n"
    "  5 unknown whether stored, 6 not reached. With 1, 2, 3 and 6 nothing was changed.\n";
  return text;
}

} // namespace briarwind
