// Units shared by the components of a front.
#pragma once

namespace gatetiller::front {

constexpr double kBytesPerMebibyte = 1048576.0;

}  // namespace gatetiller::front
