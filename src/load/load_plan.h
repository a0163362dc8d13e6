#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/error.h"
#include "briarwind/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// One kind of request in a mix.
struct load_kind
{
  std::string mName = "plain";
  double mShare = 1; ///< relative frequency among the kinds of the mix
  /// Path of the HTTP request.
  std::string mTarget = "/tags/load";
  std::string mOrganisation = "load";
  std::string mTeam;
  milliseconds mDeadline{ 10'000 };
  std::size_t mBodyBytes = 1'024;
  bool mRepeatable = false;
  bool mKeyed = false; ///< each request carries its own idempotency key
};

/// Parses a mix: `{"kinds":[{"name","share","target","organisation","team","deadlineMs",
/// "bodyBytes","repeatable","keyed"}]}`, in which every field of a kind is optional. Fails with
/// kInvalid when the JSON is malformed, a field has the wrong type or there are no kinds.
result<std::vector<load_kind>> ParseMix(std::string_view aJson);

/// One request of a planned run.
struct planned_request
{
  duration mAt{};        ///< since the start of the run
  std::size_t mKind = 0; ///< index into the kinds of the mix
};

/// Plans a whole run in advance: a Poisson arrival process that ends after aDuration or after
/// aMaxRequests requests. The same arguments give the same plan.
/// @param aRequestsPerSecond mean arrival rate in requests per second
std::vector<planned_request> PlanArrivals(const std::vector<load_kind>& aKinds,
                                          double aRequestsPerSecond, duration aDuration,
                                          std::size_t aMaxRequests, std::uint64_t aSeed);

/// A body of aSize lower-case letters that differs from request to request and depends only on
/// aNumber.
std::string MakeBody(std::uint64_t aNumber, std::size_t aSize);

} // namespace briarwind
