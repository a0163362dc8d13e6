#pragma once

#include "briarwind/outcome.h"
#include "briarwind/settings_model.h"
#include "briarwind/time.h"

#include <map>
#include <optional>
#include <string>

namespace briarwind {

/// Limits the request rate, by a token bucket, and the requests in flight of one organisation or
/// team. Each of aRouters routers applies an equal part of the limits, but at least one request in
/// flight and a burst of one request.
class request_limiter
{
public:
  enum class verdict : std::uint8_t
  {
    kAdmitted,
    kRateExceeded,
    kInFlightExceeded,
  };

  /// Whether one more request is within aLimits; 0 means no limit. Does not count the request.
  verdict Check(const request_limits& aLimits, std::size_t aRouters, instant aNow);
  /// Counts a request that Check has admitted.
  void Acquire();
  /// A counted request has ended.
  void Release();
  int InFlight() const { return mInFlight; }

private:
  double mTokens = 0; ///< requests that the rate limit admits now, as of mLastRefill
  std::optional<instant> mLastRefill;
  int mInFlight = 0;
};

/// The limiters of all organisations and teams.
class limiter_table
{
public:
  /// Counts one request against its organisation and team, or returns the reason of the limit that
  /// it exceeds and counts nothing.
  std::optional<reason> Admit(const settings_view& aSettings, const std::string& aOrganisation,
                              const std::string& aTeam, std::size_t aRouters, instant aNow);
  /// An admitted request has ended.
  void Release(const std::string& aOrganisation, const std::string& aTeam);

private:
  std::map<std::string, request_limiter> mOrganisations;
  std::map<std::string, request_limiter> mTeams;
};

/// Token bucket that limits retries to a share of recent successes, so that retries cannot amplify
/// an overload. Starts half full.
class retry_budget
{
public:
  /// @param aRetriesPerSuccess retries that each success adds
  /// @param aMaxRetries retries that are saved up at most
  explicit retry_budget(double aRetriesPerSuccess = 0.1, double aMaxRetries = 20);
  void OnSuccess();
  /// Consumes one retry; false when none is left.
  bool TryAcquire();

private:
  double mRetriesPerSuccess;
  double mMaxRetries;
  double mTokens;
};

} // namespace briarwind
