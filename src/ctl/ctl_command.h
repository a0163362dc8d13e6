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
  kFailed = 1,     ///< refused; nothing was changed
  kFindings = 2,   ///< the command line or the change is wrong; nothing was changed
  kConflict = 3,   ///< somebody else changed it first; nothing was changed
  kNotInForce = 4, ///< stored, but not yet in force where it was waited for
  kUnknown = 5,    ///< it may or may not have been stored
  kNotReached = 6, ///< the store or the schedulers were not reached; nothing was changed
};

/// What the commands share.
struct ctl_context
{
  ctl_context(fiber_runtime& aRuntime, ctl_options aOptions);

  instant Deadline() const { return monotonic_clock::now() + mOptions.mTimeout; }

  fiber_runtime& mRuntime;
  ctl_options mOptions;
  metrics mMetrics;
  etcd_store mStore;
  peer_link mLink;
};

/// The result of a command, shown as JSON or as text.
struct ctl_result
{
  ctl_status mStatus = ctl_status::kDone;
  boost::json::value mBody;
};

using ctl_call = ctl_result (*)(ctl_context&, std::span<const std::string> aArguments);

struct ctl_command
{
  std::string_view mName;
  std::string_view mArguments; // shown in --help
  std::size_t mLeast;          // number of arguments
  std::size_t mMost;
  ctl_call mCall;
  std::string_view mHelp;
};

std::span<const ctl_command> Commands();

/// Runs the command that the words name.
ctl_result RunCommand(ctl_context& aContext);

/// Two spaces for each level; arrays of objects as dashes.
std::string ToText(const boost::json::value& aBody);

boost::json::array ToJson(std::span<const finding> aFindings);
ctl_result Failure(ctl_status aStatus, const error& aError);
ctl_result Wrong(findings aFindings);

// Settings.
ctl_result Get(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Set(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Delete(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Diff(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result History(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Withdraw(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Return(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Drain(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Undrain(ctl_context& aContext, std::span<const std::string> aArguments);

// Members.
ctl_result Members(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result InForceStatus(ctl_context& aContext);

// Jobs.
ctl_result Submit(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Cancel(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Status(ctl_context& aContext, std::span<const std::string> aArguments);
ctl_result Explain(ctl_context& aContext, std::span<const std::string> aArguments);

} // namespace briarwind
