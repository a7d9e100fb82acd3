// Incident 056c01, rule `drain`: what keeps a front node from a list that counts as told, and what goes out
// to a drained engine all the same. Real processes on loopback.
#include "faults/node_process.hpp"

namespace gatetiller::testing {
namespace {

using Drain = NodeProcess;

// A silence of the name service, and three answers lost behind it: the next question must not be far away
// then.
TEST_F(Drain, IsHeardInTimeAfterASilenceWithLostAnswersBehindIt) {
    add_engine("s-1"), add_engine("s-2");
    start();
    ask_for(kSecondMicros);
    names.set({.silent = true});
    ask_for(100 * kMillisecond);
    drain_engine("s-1");
    ask_for(2'400 * kMillisecond);
    names.set({.dropped = 3});
    ask_for(2 * kSecondMicros);
    expect_rules_kept();
}

// The way back to one port has died, or the service has forgotten it; any other port is answered.
TEST_F(Drain, IsHeardThoughThePortAskedFromIsNotAnsweredAnyMore) {
    add_engine("s-1"), add_engine("s-2");
    start();
    ask_for(kSecondMicros);
    names.set({.deaf_ports = true});
    drain_engine("s-1");
    ask_for(5 * kSecondMicros);
    expect_rules_kept();
}

// The numbering of a configuration's list is not the one that the name service counts by.
TEST_F(Drain, IsHeardAfterAReloadWhoseListHasANumberFarAhead) {
    add_engine("s-1"), add_engine("s-2");
    start();
    ask_for(kSecondMicros);
    write_config(100);
    process.signal(SIGHUP);
    ask_for(kSecondMicros);
    drain_engine("s-1");
    ask_for(5 * kSecondMicros);
    expect_rules_kept();
}

}  // namespace
}  // namespace gatetiller::testing
