// Units that the front's parts share.
#pragma once

namespace gatetiller::front {

constexpr double kBytesPerMebibyte = 1048576.0;

}  // namespace gatetiller::front
