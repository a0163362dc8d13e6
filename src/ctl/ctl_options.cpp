#include "ctl_options.h"

#include "ctl_command.h"

#include <fmt/format.h>

#include <limits>

namespace briarwind {

void AddOptions(option_set& aSet, ctl_options& aOptions)
{
  constexpr milliseconds kShortest{ 100 };
  constexpr milliseconds kLongest = std::chrono::hours(1);
  aSet.Add("store", aOptions.mStores, "the platform's store");
  aSet.Add("schedulers", aOptions.mSchedulers, "HTTP addresses of schedulers, for jobs");
  aSet.Add("host-list", aOptions.mHostLists, "the platform's host list, to check guarantees");
  aSet.Add("peers", aOptions.mPeers, "peer addresses of members, for when the store is away");
  aSet.Add("author", aOptions.mAuthor, "who makes the change; default: USER");
  aSet.Add("reason", aOptions.mReason, "why, kept with a withdrawal");
  aSet.Add("base", aOptions.mBase, 0, std::numeric_limits<std::int64_t>::max(),
           "revision of the subtree that the change was made from; 0: the one stored now");
  aSet.Add("timeout", aOptions.mTimeout, kShortest, kLongest, "longest wait for the outcome");
  aSet.Add("wait", aOptions.mWait, "wait until the change is in force on all live members");
  aSet.Add("in-force", aOptions.mInForce, "with status: which member has which revision");
  aSet.Add("json", aOptions.mJson, "print JSON");
  aSet.AddWords(aOptions.mWords, "COMMAND [ARGUMENT...]", CommandHelp());
}

std::string CommandHelp()
{
  std::string text = "Commands:\n";
  for (const ctl_command& each : Commands()) {
    const std::string form = fmt::format("{} {}", each.mName, each.mArguments);
    text += fmt::format("    {:<24}{}\n", form, each.mHelp);
  }
  text +=
    "  VALUE and JOB are JSON, or @FILE with JSON in it, or @- for standard input.\n"
    "  Exit status: 0 done, 1 refused, 2 findings, 3 conflict, 4 stored but not yet in force,\n"
    "  5 unknown whether stored, 6 not reached. 1, 2, 3 and 6 changed nothing.\n";
  return text;
}

} // namespace briarwind
