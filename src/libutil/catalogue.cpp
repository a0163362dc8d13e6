#include "briarwind/catalogue.h"

#include <array>

namespace briarwind {

std::span<const event_kind> UtilEvents()
{
  static constexpr std::array kEvents{
    kProcessListening,
    kProcessStopping,
    kProcessStopped,
    kProcessFailed,
  };
  return kEvents;
}

} // namespace briarwind
