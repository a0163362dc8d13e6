#include "briarwind/outcome.h"

#include <array>

namespace briarwind {

namespace {

constexpr auto kTraits = std::to_array<reason_traits>({
  { reason::kAnswered, "answered", outcome::kOk, 0 },
  { reason::kBadHeader, "bad-header", outcome::kNotRun, 400 },
  { reason::kUnknownService, "unknown-service", outcome::kNotRun, 404 },
  { reason::kOrganisationRate, "organisation-rate", outcome::kNotRun, 429 },
  { reason::kOrganisationInFlight, "organisation-in-flight", outcome::kNotRun, 429 },
  { reason::kTeamRate, "team-rate", outcome::kNotRun, 429 },
  { reason::kTeamInFlight, "team-in-flight", outcome::kNotRun, 429 },
  { reason::kQueueFull, "queue-full", outcome::kNotRun, 503 },
  { reason::kShed, "shed", outcome::kNotRun, 503 },
  { reason::kDeadlineQueued, "deadline-queued", outcome::kNotRun, 504 },
  { reason::kNoInstance, "no-instance", outcome::kNotRun, 503 },
  { reason::kConnectFailed, "connect-failed", outcome::kNotRun, 503 },
  { reason::kInstanceRefused, "instance-refused", outcome::kNotRun, 503 },
  { reason::kDeadlineSent, "deadline-sent", outcome::kUnknown, 504 },
  { reason::kConnectionLost, "connection-lost", outcome::kUnknown, 502 },
  { reason::kTruncated, "truncated", outcome::kUnknown, 502 },
  { reason::kOversized, "oversized", outcome::kUnknown, 502 },
  { reason::kExtraBytes, "extra-bytes", outcome::kUnknown, 502 },
  { reason::kForeign, "foreign", outcome::kUnknown, 502 },
  { reason::kInstanceError, "instance-error", outcome::kFailed, 0 },
  { reason::kKeyRepeated, "key-repeated", outcome::kUnknown, 502 },
  { reason::kKeyUndecided, "key-undecided", outcome::kUnknown, 502 },
  { reason::kKeyTableFull, "key-table-full", outcome::kNotRun, 503 },
});

constexpr bool IsInOrder()
{
  for (std::size_t index = 0; index < kTraits.size(); ++index) {
    if (static_cast<std::size_t>(kTraits.at(index).mReason) != index) {
      return false;
    }
  }
  return true;
}
static_assert(IsInOrder());
static_assert(kTraits.back().mReason == reason::kKeyTableFull);

} // namespace

const reason_traits& TraitsOf(reason aReason)
{
  return kTraits.at(static_cast<std::size_t>(aReason));
}

std::span<const reason_traits> AllReasons()
{
  return kTraits;
}

std::string_view ToString(outcome aOutcome)
{
  switch (aOutcome) {
    case outcome::kOk:
      return "ok";
    case outcome::kNotRun:
      return "not-run";
    case outcome::kUnknown:
      return "unknown";
    case outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

} // namespace briarwind
