// The engine side: one statement on one engine, from its POST to its last document, or to its cancelling.
// Reads the engine's documents one at a time and asks for the next only when told to.
#pragma once

#include <functional>

#include "http/client.hpp"
#include "statement/document.hpp"

namespace gatetiller::statement {

// How a call ended.
struct CallEnd {
    enum class How {
        answered,      // the last document came, with rows or with an error
        not_sent,      // the POST never reached the engine
        connect_late,  // the same
        lacked_here,   // the same, for want of something at this machine
        withdrawn,     // the same, as it might not begin any more when its first byte was to go out
        turned_away,   // the POST was answered with a status instead of a document: `status`
        lost,          // the connection broke or the answer made no sense
        late,          // no answer in time
    };
    How how = How::answered;
    int status = 0;
    std::string text;
    Micros retry_after = 0;  // turned away: told by the other side; 0: not
};

struct EngineCallOptions {
    Micros answer_time_out = 10 * kSecondMicros;  // for each exchange; engines hold polls for about a second
    int poll_tries = 4;                           // of one poll after a 502, 503, 504 or a broken connection
    Micros poll_again_after = 75 * kMillisecond;
};

// Returns the duration that a Retry-After header tells, in microseconds; 0 unless it occurs once and is a
// number of seconds up to one day. The form with a date is not read.
Micros read_retry_after(const http::Headers& headers);

class EngineCall {
public:
    class Events {
    public:
        virtual ~Events() = default;
        // A document came. Unless it is final, ask for the next with next(), now or later.
        virtual void on_document(EngineCall& call, Document document, const http::Headers& headers) = 0;
        virtual void on_end(EngineCall& call, CallEnd end) = 0;  // the last call; not after cancel()
    };

    EngineCall(net::Loop& loop, http::Client& client, EngineCallOptions options, Events& events);
    ~EngineCall();  // as cancel() without the DELETE
    EngineCall(const EngineCall&) = delete;
    EngineCall& operator=(const EngineCall&) = delete;

    // `may_begin` is asked right before the first byte goes out; false: nothing does.
    void start(http::Headers headers, std::string sql, std::function<bool()> may_begin = nullptr);
    void next();
    void ask_again();  // as after a lost answer: the poll in flight is let go and sent anew
    // Asks the engine to stop. If the POST is still unanswered, the DELETE follows its answer; if nothing of
    // it has gone out yet, nothing does.
    void cancel();
    // Takes the statement back where nothing of it has gone out yet: then it never ran, and the call is over
    // without a word. Whether that was so.
    bool recall();
    void drop();  // ends here without a word to the engine
    bool over() const {
        return state_ == State::over;
    }

private:
    enum class State {
        idle,
        posting,
        has_next,
        polling,
        over
    };
    void on_post(http::Answer answer);
    void poll();
    void on_poll(http::Answer answer);
    void take(http::Answer& answer);
    void end(CallEnd end);
    static std::string path_of(const std::string& uri);
    static void send_delete(http::Client& client, const http::Headers& headers, const std::string& path,
                            Micros time_out);

    net::Loop& loop_;
    http::Client& client_;
    EngineCallOptions options_;
    Events& events_;
    State state_ = State::idle;
    http::Headers headers_;
    std::string next_;  // path of the next document
    int tries_ = 0;
    net::TimerId again_ = 0;
    http::Client::Call call_;
    // Outlives the call where it was cancelled before the POST's answer.
    std::shared_ptr<bool> cancelled_ = std::make_shared<bool>(false);
};

}  // namespace gatetiller::statement
