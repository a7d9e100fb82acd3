// A stand-in engine's configuration, in Jsonnet as all of them.
#pragma once

#include "base/result.hpp"
#include "engine/service.hpp"

namespace gatetiller::engine {

Result<ServiceSettings> load_engine_text(const std::string& name, const std::string& text);

}  // namespace gatetiller::engine
