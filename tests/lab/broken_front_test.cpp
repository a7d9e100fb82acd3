// Real fronts, deliberately broken one rule at a time, over real sockets: the checker must catch each, and
// must find nothing in the same scene with a front that is whole.
#include "front/front_test_bed.hpp"

namespace gatetiller::testing {
namespace {

using Break = std::function<void(config::FrontSettings&)>;

std::set<int> broken(FrontTestBed& w) {
    std::set<int> rules;
    for (const auto& v : w.check_rules().violations) {
        rules.insert(v.rule);
        EXPECT_FALSE(v.story.empty());
    }
    return rules;
}

bool all_ended(FrontTestBed& w) {
    return std::all_of(w.submitted.begin(), w.submitted.end(), [](const auto& a) {
        return a->ended;
    });
}

// Runs a scene with a whole front and with a broken one.
template <typename Scene>
void caught(int rule, int engines, const std::string& more, engine::MachineSettings machine,
            const Break& break_it, Scene scene) {
    {
        FrontTestBed whole(engines, more, machine);
        scene(whole);
        whole.expect_no_violations();
    }
    FrontTestBed with_fault(engines, more, machine, break_it);
    scene(with_fault);
    EXPECT_TRUE(broken(with_fault).contains(rule)) << "rule " << rule << " was broken unseen";
}

TEST(BrokenFront, ThatAnswersAfterItsClientHasGone) {
    caught(
        1, 1, "", {},
        [](auto& s) {
            for (auto& c : s.module.classes)
                c.deadline = 20 * kSecondMicros, c.late_value_share = 1;
            s.calls.answer_time_out = 20 * kSecondMicros;
        },
        [](FrontTestBed& w) {
            w.engine(0).set({.hang = true});
            ClientStatement& a = w.submit("SELECT 1 /* gt: work_ms=10 */", "unsafe");
            const Micros end = w.loop.now() + 5 * kSecondMicros + 20 * kMillisecond;
            (void)w.wait_until([&] {
                return a.ended || w.loop.now() >= end;
            });
            if (!a.ended)
                w.records.clients.push_back(
                    {w.loop.now(), "gave_up", a.trace, "tested", "", "", "", 0, 0, ""}),
                    a.client->abandon();
        });
}

TEST(BrokenFront, ThatRepeatsWhatMayHaveRun) {
    caught(
        2, 2, "", {},
        [](auto& s) {
            for (auto& c : s.module.classes)
                c.idempotency = Idempotency::idempotent;
        },
        [](FrontTestBed& w) {
            for (std::size_t i = 0; i < 2; ++i)
                w.engine(i).set({.fast_errors = 1});
            w.submit("INSERT 1", "unsafe");
            ASSERT_TRUE(w.wait_until([&] {
                return all_ended(w);
            }));
        });
}

TEST(BrokenFront, ThatDoesNotHearOfDrains) {
    bool deaf = false;
    for (const bool whole : {true, false}) {
        FrontTestBed w(2, "rules+: { drain_grace: '200ms' }");
        // Deaf to drains from then on: it still asks for the state, as the sockets show.
        w.drop_event = [&](const Event& e) {
            const auto* change = std::get_if<EndpointUpdate>(&e);
            return deaf && change && !change->endpoints.empty() &&
                   change->endpoints[0].state == EndpointState::draining;
        };
        w.restart();
        ASSERT_TRUE(w.wait_until([&] {
            return w.all_engines_ready();
        }));
        deaf = !whole;
        w.engine(0).drain();
        // Longer than an engine that turned something away is left alone.
        w.submit("SELECT 1 /* gt: work_ms=1500 */", "long");
        ASSERT_TRUE(w.wait_until([&] {
            return all_ended(w);
        }));
        for (int i = 0; i < 12; ++i)
            w.submit("SELECT 1 /* gt: work_ms=5 */");
        ASSERT_TRUE(w.wait_until([&] {
            return all_ended(w);
        }));
        EXPECT_EQ(broken(w).contains(3), !whole);
    }
}

TEST(BrokenFront, ThatFloodsAColdEngine) {
    engine::MachineSettings m;
    m.cores = 2, m.warm_up = 20 * kSecondMicros, m.cold_share = 0.3, m.fall_factor = 3,
    m.fall_for = kSecondMicros;
    caught(
        4, 1, "rules+: { warm_up: '20s', overload_for: '1s' }, kinds+: { std: g.kind(2, '16GiB') }", m,
        [](auto& s) {
            s.module.slow_start_window = 0, s.module.kinds[0].cores = 100;
        },
        [](FrontTestBed& w) {
            // The engine's uptime is known before the first statement comes.
            ASSERT_TRUE(w.wait_until([&] {
                return w.front().engines().all().begin()->second->state_tracker.endpoint().started_at > 0;
            }));
            for (int i = 0; i < 40; ++i)
                w.submit("SELECT 1 /* gt: work_ms=100 */");
            ASSERT_TRUE(w.wait_until([&] {
                return all_ended(w) || w.count("fallen") > 0;
            }));
        });
}

TEST(BrokenFront, ThatForgetsOrder) {
    caught(
        5, 2, "classes+: { short+: { in_turn: true } }", {},
        [](auto& s) {
            for (auto& c : s.module.classes)
                c.ordered_by_key = false;
        },
        [](FrontTestBed& w) {
            for (int i = 0; i < 4; ++i) {
                w.submit("SELECT 1 /* gt: work_ms=50 */", "test", "", "key=k");
                ASSERT_TRUE(w.wait_until([&] {
                    return w.submitted.back()->accepted;
                }));
            }
            ASSERT_TRUE(w.wait_until([&] {
                return all_ended(w);
            }));
        });
}

TEST(BrokenFront, ThatForgetsPlacement) {
    caught(
        6, 2,
        "classes+: { short+: { kinds: ['other'] } }, kinds+: { other: g.kind(8, '16GiB') }, engines+: { e1+: "
        "{ kind: 'other' } }",
        {},
        [](auto& s) {
            for (auto& c : s.module.classes)
                c.allowed_kinds.reset();
        },
        [](FrontTestBed& w) {
            for (int i = 0; i < 12; ++i)
                w.submit("SELECT 1 /* gt: work_ms=5 */");
            ASSERT_TRUE(w.wait_until([&] {
                return all_ended(w);
            }));
        });
}

TEST(BrokenFront, ThatForgetsItsBudget) {
    caught(
        7, 2, "rules+: { warm_up: '0s', further_attempts: { free: 2, per_request: 0.1, span: '10s' } }", {},
        [](auto& s) {
            s.module.retry_budget_base.reset(), s.module.retry_budget_ratio.reset();
        },
        [](FrontTestBed& w) {
            for (std::size_t i = 0; i < 2; ++i)
                w.engine(i).set({.fast_errors = 0.8});
            for (int i = 0; i < 30; ++i)
                w.submit("SELECT 1 /* gt: work_ms=5 */");
            ASSERT_TRUE(w.wait_until([&] {
                return all_ended(w);
            }));
        });
}

}  // namespace
}  // namespace gatetiller::testing
