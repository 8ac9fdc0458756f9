#pragma once

#include <stdexcept>
#include <string_view>

#include "platform/line_codec.h"

namespace poplarmoor::platform {

/// Codec with a defect: it throws an exception of an unexpected type for some messages.
class DefectiveCodec : public LineCodec {
 public:
  static constexpr std::string_view kTrigger = "trigger-the-defect";

  CallerMessage DecodeCaller(std::string_view line) const override {
    if (line.find(kTrigger) != std::string_view::npos) {
      throw std::logic_error("defect");
    }
    return LineCodec::DecodeCaller(line);
  }
};

}  // namespace poplarmoor::platform
