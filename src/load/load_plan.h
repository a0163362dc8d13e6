#pragma once

#include "briarwind/endpoint.h"
#include "briarwind/error.h"
#include "briarwind/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarwind {

/// One kind of request of a mix.
struct load_kind
{
  std::string mName = "plain";
  double mShare = 1; ///< of all requests, relative to the other kinds
  std::string mTarget = "/tags/load";
  std::string mOrganisation = "load";
  std::string mTeam;
  milliseconds mDeadline{ 10'000 };
  std::size_t mBodyBytes = 1'024;
  bool mRepeatable = false;
  bool mKeyed = false; ///< with an idempotency key of its own
};

/// Reads a mix: `{"kinds":[{"name","share","target","organisation","team","deadlineMs",
/// "bodyBytes","repeatable","keyed"}]}`, every field with its default. Fails with kInvalid.
result<std::vector<load_kind>> ParseMix(std::string_view aJson);

/// One request of the plan.
struct planned_request
{
  duration mAt{}; ///< from the start of the run
  std::size_t mKind = 0;
};

/// The whole run in advance: arrivals at random with the given mean rate, never more than aMost.
std::vector<planned_request> PlanArrivals(const std::vector<load_kind>& aKinds, double aPerSecond,
                                          duration aTime, std::size_t aMost, std::uint64_t aSeed);

/// A body of that size that differs from request to request.
std::string BodyOf(std::uint64_t aNumber, std::size_t aBytes);

} // namespace briarwind
