#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Outcome of a promotion order.
enum class PromotionOutcome {
  kAccepted,  // The endpoint will become the primary.
  kRefused,   // The platform has seen a newer fencing token, or the endpoint is not running.
  kUnknown,   // The platform did not answer; the promotion order may still be carried out.
};

inline constexpr NameTable<PromotionOutcome, 3> kPromotionOutcomeNames{{{
    {PromotionOutcome::kAccepted, "accepted"},
    {PromotionOutcome::kRefused, "refused"},
    {PromotionOutcome::kUnknown, "unknown"},
}}};

/// Orders the platform to make an endpoint the primary of its service.
class PromotionApi {
 public:
  virtual ~PromotionApi() = default;

  /// @param service Name of the service.
  /// @param endpoint Endpoint to promote.
  /// @param fencing_token Token of the takeover claim, larger for each new holder; the platform
  ///     refuses a token smaller than one it has seen.
  virtual boost::asio::awaitable<PromotionOutcome> Promote(std::string service,
                                                           std::string endpoint,
                                                           uint64_t fencing_token) = 0;
};

}  // namespace poplarmoor
