#pragma once

#include "ctl_options.h"

#include "briarwind/fiber_runtime.h"
#include "briarwind/finding.h"
#include "briarwind/metrics.h"
#include "briarwind/peer_link.h"
#include "briarwind/store_client.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// Exit statuses of briarwind-ctl.
enum class ctl_status : std::uint8_t
{
  kDone = 0,
  kFailed = 1,      ///< the request was refused; nothing was changed
  kFindings = 2,    ///< the command line or the change is invalid; nothing was changed
  kConflict = 3,    ///< another writer changed the subtree first; nothing was changed
  kNotInForce = 4,  ///< stored, but not in force on all awaited members in time
  kUnknown = 5,     ///< the change may or may not have been stored
  kUnreachable = 6, ///< the store or the schedulers were not reached; nothing was changed
};

/// State and clients that all commands share.
struct ctl_context
{
  ctl_context(fiber_runtime& aRuntime, ctl_options aOptions);

  /// The deadline of an operation that starts now, from --timeout.
  instant Deadline() const { return monotonic_clock::now() + mOptions.mTimeout; }

  fiber_runtime& mRuntime;
  ctl_options mOptions;
  metrics mMetrics;
  etcd_store mStore;
  peer_link mLink;
};

/// The result of a command: the exit status and the body, which is printed as JSON or as text.
struct ctl_result
{
  ctl_status mStatus = ctl_status::kDone;
  boost::json::value mBody;
};

/// Runs a command. RunCommand has checked the number of arguments.
using ctl_handler = ctl_result (*)(ctl_context&, std::span<const std::string> aArguments);

/// An entry in the table of commands.
struct ctl_command
{
  std::string_view mName;
  std::string_view mArguments; ///< synopsis of the arguments, shown in --help
  std::size_t mMinArguments;
  std::size_t mMaxArguments;
  ctl_handler mHandler;
  std::string_view mHelp; ///< one line, shown in --help
};

/// All commands, in the order in which --help lists them.
std::span<const ctl_command> Commands();

/// Runs the command that the first word names; an unknown command or a wrong number of arguments
/// returns kFindings.
ctl_result RunCommand(ctl_context& aContext);

/// Formats JSON as indented text: two spaces for each level, a dash before each array element.
std::string ToText(const boost::json::value& aBody);

/// An array of objects with the fields severity, place, value and expected.
boost::json::array ToJson(std::span<const finding> aFindings);
/// A result whose body describes the error: kind, where and what.
ctl_result FailureResult(ctl_status aStatus, const error& aError);
/// A result with status kFindings whose body lists the findings.
ctl_result FindingsResult(findings aFindings);

// Commands on settings.
ctl_result Get(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Set(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Delete(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Diff(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result History(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Withdraw(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Return(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Drain(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Undrain(ctl_context& aContext, std::span<const std::string> aArguments);

// Commands on members.
ctl_result Members(ctl_context& aContext, std::span<const std::string> aArguments);
/// The revision in force on each member, for `members` and `status --in-force`.
ctl_result InForceStatus(ctl_context& aContext);

// Commands on jobs.
ctl_result Submit(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Cancel(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Status(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Explain(ctl_context& aContext, std::span<const std::string> aArguments);

} // namespace briarwind
