// A client that pauses before it fetches its rows, while the attempt that they come from ends in some way.
#include <numeric>

#include "base/named_parameter.hpp"
#include "front/front_test_bed.hpp"

namespace gatetiller::testing {
namespace {

constexpr long kRows = 40'000;
// The front buffers far less than the result and waits for the client, which may pause for long.
constexpr const char* kSettings = "limits+: { rows_ahead: '64KiB' }, times+: { abandoned_after: '60s' }, ";

// An engine counts as silent after this and 0.6 s.
constexpr const char* kShortNotePeriod = "facts+: { note_period: '200ms' }";
// Longer than that, and shorter than the time after which the stand-in engine drops the result.
constexpr Micros kLongPause = kSecondMicros;

// Appends the numbers of the rows of a document: [[0,"..."],[1,"..."]].
void append_row_numbers(std::string_view data, std::vector<long>& rows) {
    for (std::size_t at = data.find('['); at != std::string_view::npos; at = data.find('[', at + 1)) {
        const std::size_t number = at + 1;
        if (number < data.size() && data[number] >= '0' && data[number] <= '9')
            rows.push_back(std::strtol(data.data() + number, nullptr, 10));
    }
}

// A statement whose client polls only when the test says so.
class PausedClientStatement {
public:
    PausedClientStatement(FrontTestBed& bed, const std::string& source, long result_rows = kRows)
        : bed_(bed), source_(source), result_rows_(result_rows) {
        const std::string sql =
            "SELECT 1 /* gt: work_ms=5 rows=" + std::to_string(result_rows) + " row_bytes=100 */";
        const auto accepted = bed.exchange("POST", "/v1/statement", sql, FrontTestBed::headers(source));
        next_ = statement::read_document(accepted.response.body)->next_uri;
    }
    void fetch_one() {
        const auto answer =
            bed_.exchange("GET", next_.substr(next_.find("/v1/")), "", FrontTestBed::headers(source_));
        ASSERT_EQ(answer.response.status, 200);
        const auto document = *statement::read_document(answer.response.body);
        append_row_numbers(document.data, rows);
        if (document.error)
            error = document.error->name;
        next_ = document.next_uri;
    }
    void fetch_all() {
        while (!next_.empty() && !::testing::Test::HasFatalFailure())
            fetch_one();
    }
    // Whether the rows are those of one result, complete and in order.
    bool has_whole_result() const {
        std::vector<long> expected(static_cast<std::size_t>(result_rows_));
        std::iota(expected.begin(), expected.end(), 0L);
        return rows == expected;
    }

    std::vector<long> rows;
    std::string error;

private:
    FrontTestBed& bed_;
    std::string source_;
    long result_rows_;
    std::string next_;
};

std::size_t waiting_bytes(FrontTestBed& bed) {
    const auto status = bed.exchange("GET", "/v1/status").response.body;
    const std::string name = "\"waitingBytes\":";
    return std::strtoull(status.c_str() + status.find(name) + name.size(), nullptr, 10);
}

// Returns the engine of the first attempt.
std::size_t first_engine(const FrontTestBed& bed) {
    return bed.records.engines.front().engine == "e0" ? 0 : 1;
}

// Ends the first attempt of a statement whose rows wait.
struct AttemptEnding : NamedParameter {
    void (*end)(FrontTestBed& bed, std::size_t engine);
};

void wait_until_silent(FrontTestBed&, std::size_t) {}

void crash(FrontTestBed& bed, std::size_t engine) {
    bed.engine(engine).set({.crashed = true});
}

void drain(FrontTestBed& bed, std::size_t engine) {
    bed.engine(engine).drain();
}

void remove_by_reload(FrontTestBed& bed, std::size_t engine) {
    auto settings = bed.settings;
    settings.engines.erase(settings.engines.begin() + static_cast<std::ptrdiff_t>(engine));
    bed.front().reload(settings);
}

class PausedClientTest : public ::testing::TestWithParam<AttemptEnding> {};

// Guards against a result with the first rows of an attempt that ended and all rows of the next one (review
// case 6).
TEST_P(PausedClientTest, GetsTheRowsOfOneAttemptOnly) {
    FrontTestBed bed(2, std::string(kSettings) + kShortNotePeriod);
    PausedClientStatement client(bed, "long");
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("finished") == 1;
    }));
    ASSERT_TRUE(bed.wait_until([&] {
        return waiting_bytes(bed) > 0;
    }));
    GetParam().end(bed, first_engine(bed));
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.count("finished") >= 2 && waiting_bytes(bed) > 0;
    }));
    client.fetch_all();
    EXPECT_EQ(client.error, "");
    EXPECT_TRUE(client.has_whole_result()) << client.rows.size() << " rows";
}

INSTANTIATE_TEST_SUITE_P(AttemptEnds, PausedClientTest,
                         ::testing::Values(AttemptEnding{{"Silence"}, wait_until_silent},
                                           AttemptEnding{{"Crash"}, crash}, AttemptEnding{{"Drain"}, drain},
                                           AttemptEnding{{"Reload"}, remove_by_reload}),
                         kParameterName);

// Guards against rows of an attempt that ended in front of the error that ends its statement.
TEST(PausedClient, GetsEitherAWholeResultOrAnErrorWithoutRows) {
    FrontTestBed bed(1, std::string(kSettings) + "facts+: { note_period: '0ms' }");
    PausedClientStatement client(bed, "short");
    ASSERT_TRUE(bed.wait_until([&] {
        return waiting_bytes(bed) > 0;
    }));
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.exchange("GET", "/metrics").response.body.find("gatetiller_attempts_total{") !=
               std::string::npos;
    }));
    client.fetch_all();
    EXPECT_TRUE(client.error.empty() ? client.has_whole_result() : client.rows.empty())
        << client.rows.size() << " rows, error " << client.error;
}

// Guards against cancelling an attempt of which the client has rows already.
TEST(PausedClient, GetsTheRestOfTheRowsThatItBeganToFetch) {
    FrontTestBed bed(2, std::string(kSettings) + kShortNotePeriod);
    PausedClientStatement client(bed, "long");
    ASSERT_TRUE(bed.wait_until([&] {
        return waiting_bytes(bed) > 0;
    }));
    while (client.rows.empty())
        client.fetch_one();
    const Micros paused_at = bed.loop.now();
    ASSERT_TRUE(bed.wait_until([&] {
        return bed.loop.now() - paused_at > kLongPause;
    }));
    client.fetch_all();
    EXPECT_EQ(client.error, "");
    EXPECT_TRUE(client.has_whole_result()) << client.rows.size() << " rows";
    EXPECT_EQ(bed.count("started"), 1);
}

// Guards against memory without limit for the results of many clients that do not fetch them (review case 10,
// in serve).
TEST(PausedClient, ResultsOfManyPausedClientsStayWithinTheLimit) {
    constexpr std::size_t kClients = 24;
    constexpr long kRowsEach = 600;                     // some 64 KB
    constexpr std::size_t kResultLimit = 512 * 1024;    // twice rows_in_all
    constexpr std::size_t kLargestResult = 128 * 1024;  // may exceed it within one turn of the loop
    FrontTestBed bed(2,
                     "limits+: { rows_ahead: '64KiB', rows_in_all: '256KiB' }, "
                     "times+: { abandoned_after: '60s' }");
    std::vector<std::unique_ptr<PausedClientStatement>> clients;
    std::size_t most_waiting = 0;
    for (std::size_t i = 0; i < kClients; ++i) {
        clients.push_back(std::make_unique<PausedClientStatement>(bed, "long", kRowsEach));
        ASSERT_TRUE(bed.wait_until([&] {
            return bed.count("finished") == static_cast<int>(i) + 1;
        }));
        most_waiting = std::max(most_waiting, waiting_bytes(bed));
    }
    EXPECT_LE(most_waiting, kResultLimit + kLargestResult);
    std::size_t whole = 0;
    for (const auto& client : clients) {
        client->fetch_all();
        whole += client->has_whole_result() ? 1 : 0;
        EXPECT_TRUE(client->has_whole_result() ||
                    (client->rows.empty() && client->error == "GENERIC_INSUFFICIENT_RESOURCES"))
            << client->rows.size() << " rows, error " << client->error;
    }
    EXPECT_TRUE(clients.back()->has_whole_result());
    EXPECT_GE(whole, kResultLimit / 2 / kLargestResult);
    EXPECT_LT(whole, kClients);
}

}  // namespace
}  // namespace gatetiller::testing
