#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Outcome of a promotion order.
enum class PromotionOutcome {
  kAccepted,  // The endpoint will lead.
  kRefused,   // A newer fencing token was seen, or the endpoint does not run.
  kUnknown,   // No answer: the order may still be carried out.
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

  /// @param service Service.
  /// @param endpoint Endpoint that takes over.
  /// @param fencing_token Grows with each holder; lower ones are refused.
  virtual boost::asio::awaitable<PromotionOutcome> Promote(std::string service,
                                                           std::string endpoint,
                                                           uint64_t fencing_token) = 0;
};

}  // namespace poplarmoor
