// Shared by the store tests: rows with random contents, and reading a ledger back.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "store/ledger.hpp"

namespace gatetiller::store {

using decide::AttemptState;
using decide::RequestState;

inline const std::string kFirstIncarnation = "00000000000000a1";
inline const std::string kSecondIncarnation = "00000000000000a2";
constexpr Micros kWall = 1'790'000'000'000'000;  // wall-clock time at the start of a test

// A file path in a folder of its own, which is removed on destruction.
struct TempLedgerFile {
    std::string folder, file;
    explicit TempLedgerFile(const std::string& name)
        : folder(::testing::TempDir() + "ledger-" + std::to_string(::getpid()) + "-" + name),
          file(folder + "/front.ledger") {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
    }
    ~TempLedgerFile() {
        std::filesystem::remove_all(folder);
    }
};

inline RequestRow make_request(std::uint32_t number, RequestState state, Random& random) {
    RequestRow request;
    request.number = number;
    request.requester = std::make_shared<const decide::Requester>(
        decide::Requester{"user-" + std::to_string(random.below(5)), "s",
                          "t=" + std::to_string(random.below(3)), "short", "x"});
    request.id = "id-" + std::to_string(number), request.received_at = kWall + number, request.state = state;
    request.ended_after = static_cast<Micros>(random.below(1000));
    return request;
}

inline AttemptRow make_attempt(std::uint32_t request_number, AttemptState state, Random& random) {
    AttemptRow attempt;
    attempt.request = request_number, attempt.engine = "e" + std::to_string(random.below(4)),
    attempt.kind = "std", attempt.state = state;
    attempt.work = static_cast<Micros>(random.below(1'000'000));
    return attempt;
}

struct LedgerContents {
    std::map<std::string, RequestAccount> accounts;  // by "incarnation.number"
    std::vector<std::string> damage_reports;
};
inline LedgerContents read_ledger(Ledger& ledger) {
    LedgerContents contents;
    const auto failure = ledger.for_each_request(
        [&](const RequestAccount& account) {
            const bool inserted =
                contents.accounts
                    .emplace(account.incarnation->name + "." + std::to_string(account.request.number),
                             account)
                    .second;
            EXPECT_TRUE(inserted) << "duplicate request: " << account.request.number;
        },
        [&](std::string text) {
            contents.damage_reports.push_back(std::move(text));
        });
    EXPECT_FALSE(failure) << failure.text;
    return contents;
}
inline LedgerContents read_ledger(const std::string& file, bool read_only = true) {
    Ledger ledger;
    const auto failure = ledger.open(file, {"", read_only});
    EXPECT_FALSE(failure) << failure.text;
    return failure ? LedgerContents{} : read_ledger(ledger);
}

}  // namespace gatetiller::store
