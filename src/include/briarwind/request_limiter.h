#pragma once

#include "briarwind/outcome.h"
#include "briarwind/settings_model.h"
#include "briarwind/time.h"

#include <map>
#include <optional>
#include <string>

namespace briarwind {

/// Keeps the requests of one organisation or team within its limits. Each router applies an equal
/// part of the limits, at least one request in flight.
class request_limiter
{
public:
  enum class verdict : std::uint8_t
  {
    kAdmitted,
    kRate,
    kInFlight,
  };

  /// Whether one more fits; nothing is taken yet.
  verdict Check(const request_limits& aLimits, std::size_t aRouters, instant aNow);
  /// Takes one, after Check said kAdmitted.
  void Take();
  void Release();
  int InFlight() const { return mInFlight; }

private:
  double mTokens = 0;
  std::optional<instant> mRefilled;
  int mInFlight = 0;
};

/// The limiters of all organisations and teams.
class limiter_table
{
public:
  /// Why a request is over a limit of its organisation or team; takes one of each when it is not.
  std::optional<reason> Admit(const settings_view& aSettings, const std::string& aOrganisation,
                              const std::string& aTeam, std::size_t aRouters, instant aNow);
  void Release(const std::string& aOrganisation, const std::string& aTeam);

private:
  std::map<std::string, request_limiter> mOrganisations;
  std::map<std::string, request_limiter> mTeams;
};

/// Retries as a share of the recent successes, so that retries cannot multiply an overload.
class retry_budget
{
public:
  explicit retry_budget(double aShare = 0.1, double aMost = 20);
  void OnSuccess();
  /// Takes one retry; false when none is left.
  bool Take();

private:
  double mShare;
  double mMost;
  double mTokens;
};

} // namespace briarwind
