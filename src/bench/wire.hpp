// The codec between the bench's wire and the interface in gateway_policy.hpp. Translation only.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/gateway_policy.hpp"

namespace gatetiller::wire {

// Something on the wire that cannot be read; the text says what, in plain words.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string decode_base64(std::string_view text);
std::string encode_base64(std::string_view bytes);

// Hosts many instances and carries lines to them and their actions back.
class Host {
public:
    // Takes one line without its end. Returns true when the line closed a batch: reply() is then due.
    bool take(std::string_view line);
    // The reply to the batch just closed, its last line included.
    std::string reply();

private:
    void open_page(std::string_view line);
    void add_entry(std::string_view line);
    void emit(int instance, const std::vector<Action>& actions);

    std::map<int, GatewayPolicy> brains_;
    std::array<std::vector<Endpoint>, 16> pages_;
    std::size_t page_open_ = 0;
    std::size_t entries_due_ = 0;
    bool in_batch_ = false;
    Micros now_ = 0;
    std::string out_;
};

// Reads batches until the input ends. Returns the exit code; complaints go to `errors`.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace gatetiller::wire
