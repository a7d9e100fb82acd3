// A client of the statement API, as client libraries are: it sends a statement, follows nextUri to the final
// document, asks again where the protocol says so, and can leave at any point. For `gatetiller query`, the
// lab and tests.
#pragma once

#include <functional>
#include <memory>

#include "base/random.hpp"
#include "statement/engine_call.hpp"

namespace gatetiller::statement {

struct ClientResult {
    enum class How {
        answered,
        turned_away,
        unreachable,
        lost,
        late
    };
    How how = How::lost;
    Document last;  // the final document where answered: with or without an error
    int status = 0;
    std::string text;
    Micros retry_after = 0;  // told by the server; 0: not
};

class StatementClient {
public:
    struct Events {
        std::function<void(const Document&)> document;  // each one as it comes
        std::function<void(const ClientResult&)> end;   // the last call
    };
    StatementClient(net::Loop& loop, http::Client& http, EngineCallOptions options);
    ~StatementClient();
    void start(http::Headers headers, std::string sql, Events events);
    void cancel();     // DELETE, and no further call
    void ask_again();  // loses the answer of the poll in flight, and polls anew
    void abandon();    // no word to the server, and no further call

private:
    struct Listener;
    std::unique_ptr<Listener> listener_;
};

}  // namespace gatetiller::statement
