#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "session/promotion_api.h"
#include "session/wait_list.h"
#include "tests/platform/fake_line_endpoint.h"

namespace poplarmoor::platform {

/// Fake platform that promotes the requested endpoint immediately; a real platform takes a while.
class FakePromotions : public PromotionApi {
 public:
  explicit FakePromotions(FakeGroup* group) : group(group) {}

  boost::asio::awaitable<PromotionOutcome> Promote(std::string,
                                                   std::string endpoint,
                                                   uint64_t token) override {
    this->tokens.push_back(token);
    this->endpoints.push_back(endpoint);
    if (this->on_order) {
      this->on_order();
    }
    if (this->unanswered_orders > 0) {
      --this->unanswered_orders;
      co_await Pause(1ms);
      co_return PromotionOutcome::kUnknown;
    }
    if (this->on_refusal) {
      this->on_refusal();
      co_return PromotionOutcome::kRefused;
    }
    if (this->group->primary != endpoint) {
      this->group->primary = endpoint;
      ++this->group->term;
    }
    co_return PromotionOutcome::kAccepted;
  }

  FakeGroup* group;
  std::vector<uint64_t> tokens;
  std::vector<std::string> endpoints;
  std::function<void()> on_order;  // If set, it is called for each promotion request.
  // Number of the next promotion requests that fail immediately, as if the platform were down.
  int unanswered_orders = 0;
  // If set, all promotion requests are refused, and this function is called for each of them.
  std::function<void()> on_refusal;
};

}  // namespace poplarmoor::platform
