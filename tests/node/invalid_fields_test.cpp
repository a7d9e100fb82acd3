// Engines whose messages have fields that are missing, unreadable, repeated, out of range or of the wrong
// type. The rules must hold, and a client must get a whole result or none.
#include "base/named_parameter.hpp"
#include "rig.hpp"

namespace gatetiller::testing {
namespace {

constexpr std::size_t kRowsOfSeveralPages = 200;

// Returns `fields` with the value of `name` replaced, or without that field if `value` is null.
std::string with_value(const std::string& fields, const std::string& name, const char* value) {
    std::string result;
    for (const auto field : split(fields, ',')) {
        const bool matches = field.substr(0, field.find('=')) == name;
        if (matches && value == nullptr)
            continue;
        result += (result.empty() ? "" : ",") + (matches ? name + "=" + value : std::string(field));
    }
    return result.empty() ? "-" : result;
}

class InvalidFields : public VirtualNodeTest {
protected:
    static constexpr int kInvalidEvery = 3;  // one of so many messages of the kind

    // Adds two engines that send `value` in the field `name` of some of their messages of this kind; null:
    // without that field.
    void start_engines(const std::string& kind, const std::string& name, const char* value) {
        for (const char* engine : {"s-1", "s-2"})
            add_engine(engine).alter_fields = [this, kind, name, value](std::string_view message_kind,
                                                                        const std::string& fields) {
                if (message_kind != kind || ++messages_ % kInvalidEvery != 0)
                    return fields;
                ++altered;
                return with_value(fields, name, value);
            };
        start();
    }
    // Sends requests with results of several pages and waits for their responses. Returns how many were
    // served.
    int serve_requests(int count, const std::string& cls = "lookup") {
        auto& client = add_client();
        std::vector<std::int32_t> sequences;
        for (int i = 0; i < count; ++i) {
            sequences.push_back(client.ask(make_request(cls, 10, kRowsOfSeveralPages)));
            advance_time(60 * kMillisecond);
        }
        EXPECT_TRUE(run_until([&] {
            return client.open() == 0;
        }));
        return static_cast<int>(std::count_if(sequences.begin(), sequences.end(), [&](std::int32_t sequence) {
            return client.got().contains(sequence) && client.got().at(sequence).how == "served";
        }));
    }
    int altered = 0;

private:
    int messages_ = 0;
};

struct InvalidValue : NamedParameter {
    const char* value;  // null: the field is missing
};

class InvalidPageCount : public InvalidFields, public ::testing::WithParamInterface<InvalidValue> {};

// Guards against serving the first page as the whole result because the number of pages cannot be read
// (docs/incidents/page-count-unreadable.md). The stand-in client records any other rows as a violation.
TEST_P(InvalidPageCount, NeverServesAPartOfTheResultAsTheWhole) {
    start_engines("HIT", "chunks", GetParam().value);
    const int served = serve_requests(30);
    EXPECT_GE(altered, 8);
    EXPECT_EQ(served, 30) << "an idempotent request is retried";
    EXPECT_NE(node->status().find(" malformed_responses=" + std::to_string(altered)), std::string::npos)
        << node->status();
    expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(Values, InvalidPageCount,
                         ::testing::Values(InvalidValue{{"missing"}, nullptr}, InvalidValue{{"empty"}, ""},
                                           InvalidValue{{"letter"}, "s"}, InvalidValue{{"zero"}, "0"},
                                           InvalidValue{{"negative"}, "-3"},
                                           InvalidValue{{"too_large"}, "513"},
                                           InvalidValue{{"overflow"}, "99999999999999999999"},
                                           InvalidValue{{"fraction"}, "3.0"},
                                           InvalidValue{{"repeated"}, "1,chunks=4"}),
                         kParameterName);

class InvalidFieldList : public InvalidFields, public ::testing::WithParamInterface<InvalidValue> {};

TEST_P(InvalidFieldList, EndsOnlyItsConnection) {
    const std::string list = GetParam().value;
    int messages = 0;
    for (const char* engine : {"s-1", "s-2"})
        add_engine(engine).alter_fields = [&messages, list](std::string_view kind,
                                                            const std::string& fields) {
            return kind == "HIT" && ++messages % kInvalidEvery == 0 ? list : fields;
        };
    start();
    EXPECT_EQ(serve_requests(30), 30);
    EXPECT_EQ(node->status().find(" malformed_responses=0"), std::string::npos) << node->status();
    expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(
    Values, InvalidFieldList,
    ::testing::Values(InvalidValue{{"empty"}, ""}, InvalidValue{{"none"}, "-"},
                      InvalidValue{{"name_without_value"}, "chunks"},
                      InvalidValue{{"value_without_name"}, "=3"},
                      InvalidValue{{"empty_part"}, "chunks=3,,spent=1"},
                      InvalidValue{{"noise"}, "\x01\x02\xff"},
                      InvalidValue{{"too_many"},
                                   "a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,"
                                   "a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1,a=1"}),
    kParameterName);

// Guards against rejecting, which promises that nothing ran, after a result whose page count cannot be read.
TEST_F(InvalidFields, ResultOfNonIdempotentRequestWithoutPageCountFails) {
    settings.policy.classes[1].idempotency = Idempotency::non_idempotent;
    start_engines("HIT", "chunks", "s");
    auto& client = add_client();
    for (int i = 0; i < kInvalidEvery; ++i) {
        client.ask(make_request("load", 10, kRowsOfSeveralPages));
        ASSERT_TRUE(run_until([&] {
            return client.open() == 0;
        }));
    }
    EXPECT_EQ(altered, 1);
    EXPECT_EQ(std::count_if(client.got().begin(), client.got().end(),
                            [](const auto& got) {
                                return got.second.how == "failed";
                            }),
              1);
    expect_no_violations();
}

class InvalidPageNumber : public InvalidFields, public ::testing::WithParamInterface<InvalidValue> {};

// Guards against ignoring a page whose number cannot be read: the request waited for that page until its time
// was over, although another attempt would have served it.
TEST_P(InvalidPageNumber, RetriesInsteadOfWaitingForTheIgnoredPage) {
    start_engines("PART", "at", GetParam().value);
    auto& client = add_client();
    for (int i = 0; i < 10; ++i) {
        const Micros sent_at = loop.now();
        const auto sequence = client.ask(make_request("lookup", 10, kRowsOfSeveralPages));
        ASSERT_TRUE(run_until([&] {
            return client.open() == 0;
        }));
        ASSERT_TRUE(client.got().contains(sequence)) << "request " << i;
        EXPECT_EQ(client.got().at(sequence).how, "served") << "request " << i;
        EXPECT_LT(loop.now() - sent_at, settings.policy.classes[0].latency_objective) << "request " << i;
    }
    EXPECT_GE(altered, 5);
    expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(
    Values, InvalidPageNumber,
    ::testing::Values(InvalidValue{{"missing"}, nullptr}, InvalidValue{{"empty"}, ""},
                      InvalidValue{{"letter"}, "q"}, InvalidValue{{"zero"}, "0"},
                      InvalidValue{{"negative"}, "-1"}, InvalidValue{{"beyond_result"}, "77"},
                      InvalidValue{{"too_large"}, "513"}, InvalidValue{{"overflow"}, "99999999999999999999"},
                      InvalidValue{{"fraction"}, "1.0"}, InvalidValue{{"repeated"}, "1,at=2"}),
    kParameterName);

struct InvalidFigure : NamedParameter {
    const char* kind;
    const char* field;
    const char* value;
};

class FigureOutOfRange : public InvalidFields, public ::testing::WithParamInterface<InvalidFigure> {
protected:
    // Sends requests of these durations at an interval and waits for their responses, which must be results.
    void expect_served(const std::vector<int>& durations_ms, Micros interval) {
        auto& client = add_client();
        for (const int duration_ms : durations_ms) {
            client.ask(make_request("lookup", duration_ms));
            if (interval > 0)
                advance_time(interval);
        }
        ASSERT_TRUE(run_until([&] {
            return client.open() == 0;
        }));
        EXPECT_EQ(client.got().size(), durations_ms.size());
        for (const auto& [sequence, got] : client.got())
            EXPECT_EQ(got.how, "served") << "request " << sequence;
    }
};

// Guards against a figure of a few messages that keeps the policy from admitting requests for good: it stays
// in a moving average.
TEST_P(FigureOutOfRange, DoesNotKeepLaterRequestsFromBeingServed) {
    start_engines(GetParam().kind, GetParam().field, GetParam().value);
    // Every other request runs long enough for notes of progress.
    std::vector<int> durations_ms;
    for (int i = 0; i < 6; ++i)
        durations_ms.insert(durations_ms.end(), {10, 250});
    expect_served(durations_ms, 60 * kMillisecond);
    EXPECT_GE(altered, 2);
    for (const auto& engine : engines)
        engine->alter_fields = nullptr;
    advance_time(5 * kSecondMicros);
    expect_served(std::vector<int>(24, 100), 0);
    EXPECT_NE(node->status().find(" malformed_responses=0"), std::string::npos) << node->status();
    expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(
    Values, FigureOutOfRange,
    ::testing::Values(InvalidFigure{{"work_infinite"}, "HIT", "spent", "inf"},
                      InvalidFigure{{"work_nan"}, "HIT", "spent", "nan"},
                      InvalidFigure{{"work_negative"}, "HIT", "spent", "-5"},
                      InvalidFigure{{"work_huge"}, "HIT", "spent", "1e300"},
                      InvalidFigure{{"work_unreadable"}, "HIT", "spent", "x"},
                      InvalidFigure{{"work_missing"}, "HIT", "spent", nullptr},
                      InvalidFigure{{"work_repeated"}, "HIT", "spent", "1,spent=2"},
                      InvalidFigure{{"memory_infinite"}, "HIT", "wanted", "inf"},
                      InvalidFigure{{"load_infinite"}, "HIT", "gauges", "concurrent:inf;depth:0"},
                      InvalidFigure{{"load_nan"}, "HIT", "gauges", "concurrent:nan;depth:nan"},
                      InvalidFigure{{"load_negative"}, "HIT", "gauges", "concurrent:-1e300;depth:-1"},
                      InvalidFigure{{"load_huge"}, "HIT", "gauges", "concurrent:1e300;depth:0"},
                      InvalidFigure{{"load_unreadable"}, "HIT", "gauges", "concurrent=7"},
                      InvalidFigure{{"load_missing"}, "HIT", "gauges", nullptr},
                      InvalidFigure{{"progress_nan"}, "INFO", "amount", "nan"},
                      InvalidFigure{{"progress_negative"}, "INFO", "amount", "-1e300"},
                      InvalidFigure{{"progress_unreadable"}, "INFO", "amount", "x"},
                      InvalidFigure{{"progress_missing"}, "INFO", "amount", nullptr},
                      InvalidFigure{{"progress_of_unknown_resource"}, "INFO", "res", "so_fxr"}),
    kParameterName);

}  // namespace
}  // namespace gatetiller::testing
