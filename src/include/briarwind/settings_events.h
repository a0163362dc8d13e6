#pragma once

#include "briarwind/log.h"
#include "briarwind/metrics.h"

#include <array>

/// Log events 4000 to 4999 and metrics of the settings, the membership, the peer link and the store
/// client.
namespace briarwind {

inline constexpr event_kind kStoreLost{ 4001, log_level::kWarning, "store.lost",
                                        "The store does not answer; the settings in force "
                                        "stay unchanged." };
inline constexpr event_kind kStoreBack{ 4002, log_level::kInfo, "store.back",
                                        "The store answers again." };
inline constexpr event_kind kStoreRegressed{
  4003, log_level::kError, "store.regressed",
  "The store returned older settings than those in force; the settings in force stay unchanged."
};
inline constexpr event_kind kWatchCompacted{
  4004, log_level::kWarning, "store.watch-compacted",
  "The store no longer holds the revision from which the watch has to resume; all settings "
  "are listed again."
};
inline constexpr event_kind kSettingsApplied{ 4010, log_level::kInfo, "settings.applied",
                                              "A newer revision of the settings is in force." };
inline constexpr event_kind kSettingsInvalid{
  4011, log_level::kError, "settings.invalid",
  "A value in the store cannot be decoded; the last valid value of the key stays in force."
};
inline constexpr event_kind kMemberRegistered{ 4020, log_level::kInfo, "member.registered",
                                               "This process registered its key in the store under "
                                               "a new lease." };
inline constexpr event_kind kMemberLapsed{
  4021, log_level::kWarning, "member.lapsed",
  "The lease of this process in the store has expired; the process registers again."
};
inline constexpr event_kind kRecordChanged{
  4030, log_level::kInfo, "record.changed", "This process wrote a new member record to the store."
};
inline constexpr event_kind kPeerUnreachable{ 4040, log_level::kWarning, "peer.unreachable",
                                              "A peer does not answer." };
inline constexpr event_kind kPeerBack{ 4041, log_level::kInfo, "peer.back",
                                       "A peer answers again." };
inline constexpr event_kind kFreshnessLost{
  4050, log_level::kWarning, "freshness.lost",
  "The settings in force were not confirmed in time; this process starts nothing until they are."
};
inline constexpr event_kind kFreshnessBack{ 4051, log_level::kInfo, "freshness.back",
                                            "The settings in force are confirmed again; starts "
                                            "are allowed." };

inline constexpr std::array kSettingsEvents{
  kStoreLost,       kStoreBack,        kStoreRegressed, kWatchCompacted, kSettingsApplied,
  kSettingsInvalid, kMemberRegistered, kMemberLapsed,   kRecordChanged,  kPeerUnreachable,
  kPeerBack,        kFreshnessLost,    kFreshnessBack,
};

inline constexpr metric_kind kStoreCalls{ metric_type::kCounter, "briarwind_store_calls_total",
                                          "kind", "Calls to the store, a watch as one." };
inline constexpr metric_kind kStoreFailures{ metric_type::kCounter,
                                             "briarwind_store_failures_total", "reason",
                                             "Calls to the store that failed, by reason." };
inline constexpr metric_kind kStoreCallTime{ metric_type::kSummary, "briarwind_store_call_seconds",
                                             "kind", "Time of a call to the store." };
inline constexpr metric_kind kSettingsRevision{ metric_type::kGauge, "briarwind_settings_revision",
                                                "", "Revision of the settings in force." };
inline constexpr metric_kind kSettingsOffers{
  metric_type::kCounter, "briarwind_settings_offers_total", "outcome",
  "Values of settings received, by what became of them (applied, older, invalid)."
};
inline constexpr metric_kind kPeerMessages{ metric_type::kCounter, "briarwind_peer_messages_total",
                                            "kind", "Messages between our processes, by kind." };
inline constexpr metric_kind kPeerFailures{ metric_type::kCounter, "briarwind_peer_failures_total",
                                            "reason", "Messages to peers that failed, by reason." };
inline constexpr metric_kind kFreshnessConfirmations{
  metric_type::kCounter, "briarwind_freshness_confirmations_total", "by",
  "Confirmations of the settings in force, by what gave them (store, peer, majority)."
};
inline constexpr metric_kind kFreshnessRefusals{
  metric_type::kCounter, "briarwind_freshness_refusals_total", "reason",
  "Starts that were held back since the settings in force were not confirmed, by reason."
};

inline constexpr std::array kSettingsMetrics{
  kStoreCalls,   kStoreFailures, kStoreCallTime,          kSettingsRevision,  kSettingsOffers,
  kPeerMessages, kPeerFailures,  kFreshnessConfirmations, kFreshnessRefusals,
};

} // namespace briarwind
