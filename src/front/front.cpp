#include "front/front.hpp"

#include <utility>

#include "base/overloaded.hpp"
#include "front/client_documents.hpp"
#include "front/status.hpp"
#include "front/units.hpp"

namespace gatetiller::front {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

}  // namespace

Front::Front(net::Loop& loop, config::FrontSettings settings, FrontDeps deps)
    : loop_(loop),
      settings_(std::move(settings)),
      deps_(std::move(deps)),
      intake_(loop, settings_),
      driver_(loop, deps_.seed, settings_.module,
              [this](const Action& action) {
                  apply_action(action);
              }),
      engines_(loop, settings_,
               {[this](const EndpointUpdate& update) {
                    on_endpoint_update(update);
                },
                deps_.log}),
      ledger_(
          loop, deps_.ledger,
          {deps_.log,
           // The attempts that a killed incarnation sent after its last commit are unknown; the latest may
           // have been sent just before this incarnation started.
           [this](bool killed) {
               engines_.hold_slow_start_until(killed ? loop_.now() + settings_.module.overload_window : 0);
           },
           [this](const store::Ledger::WorkSample& sample) {
               intake_.restore_use(*sample.requester, loop_.wall() - sample.interval_start, sample.work);
           }}),
      statement_api_(loop, settings_.statements, *this, deps_.entropy),
      server_(loop, settings_.server,
              [this](http::Request& request, http::Server::Reply reply) {
                  on_http_request(request, std::move(reply));
              }),
      statements_(loop),
      services_{loop,
                settings_,
                metrics_,
                engines_,
                draining_endpoints_,
                intake_,
                ledger_,
                statement_api_,
                statements_,
                [this](Event event) {
                    post_event(std::move(event));
                },
                deps_.log},
      dispatcher_(services_, responses_),
      responses_(services_, dispatcher_),
      completion_(services_, dispatcher_, deps_.on_finished),
      shutdown_(loop, settings_.drain_patience,
                {[this] {
                     return statements_.size();
                 },
                 [this] {
                     server_.drain();
                 },
                 deps_.log}) {}

Front::~Front() = default;

Result<std::vector<net::Address>> Front::start() {
    while (bound_addresses_.size() < settings_.listen.size()) {
        auto address = server_.listen(settings_.listen[bound_addresses_.size()]);
        if (!address)
            return address.failure();
        bound_addresses_.push_back(*address);
    }
    driver_.start();
    // Until the ledger reports whether the previous incarnation was killed, attempts of that incarnation may
    // still be running on engines in slow start.
    if (ledger_.enabled())
        engines_.hold_slow_start_until(loop_.now() + settings_.module.overload_window);
    engines_.start();
    ledger_.start();
    return bound_addresses_;
}

void Front::drain(std::function<void()> done) {
    statement_api_.draining = true;
    shutdown_.begin(std::move(done));
}

void Front::reload(const config::FrontSettings& settings) {
    settings_.routes = settings.routes;
    intake_.reload_routes();
    engines_.reload(settings);
}

// ---- Client requests

void Front::on_http_request(http::Request& request, http::Server::Reply reply) {
    if (statement_api_.handle(request, reply))
        return;
    if (request.target == "/metrics" && request.method == "GET")
        return reply.send(metrics_page());
    reply.send(
        statement::text_response(kStatusNotFound, "no such path; statements go to POST /v1/statement"));
}

http::Response Front::metrics_page() {
    if (ledger_.enabled())
        metrics_.set_ledger_gauges(ledger_.status());
    Metrics::Gauges gauges;
    gauges.statements = static_cast<double>(statements_.size());
    gauges.waiting_bytes = static_cast<double>(statement_api_.total_waiting_bytes());
    gauges.connections = static_cast<double>(server_.connections());
    gauges.sensitive_share = driver_.sensitive_share();
    gauges.finished_statements = static_cast<double>(statement_api_.finished_statements());
    gauges.result_bytes = static_cast<double>(statement_api_.result_bytes());
    gauges.evicted_results = static_cast<double>(statement_api_.evicted());
    http::Response response{kStatusOk, {}, metrics_.render_page(gauges)};
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    return response;
}

std::optional<http::Response> Front::submit(const std::string& id, statement::Submission submission) {
    if (shutdown_.begun())
        return reject(
            {RejectionReason::draining, kStatusUnavailable, "this front is shutting down: ask another one"});
    auto verdict = intake_.admit(submission);
    if (const auto* rejection = std::get_if<Rejection>(&verdict))
        return reject(*rejection);
    post_event(accept(id, std::move(submission), std::get<AcceptedStatement>(std::move(verdict))));
    return std::nullopt;
}

http::Response Front::reject(const Rejection& rejection) {
    metrics_.count_rejected(rejection.reason);
    auto response = statement::text_response(rejection.status, rejection.text);
    if (rejection.status == kStatusTooManyRequests || rejection.status == kStatusUnavailable)
        response.headers.add("Retry-After",
                             retry_after_value(rejection.retry_after > 0 ? rejection.retry_after
                                                                         : settings_.holding.retry_after));
    return response;
}

RequestArrived Front::accept(const std::string& id, statement::Submission submission,
                             AcceptedStatement accepted) {
    auto statement = std::make_unique<ActiveStatement>();
    statement->id = id;
    statement->submission = std::move(submission);
    statement->route = std::move(accepted.route);
    statement->team = std::move(accepted.team);
    statement->arrived_at = loop_.now();
    statement->deadline = statement->arrived_at + accepted.time_left;
    ledger_.record_accepted(*statement, accepted.route_tenant, *accepted.class_settings);
    metrics_.count_accepted(statement->route.cls);
    const statement::Context& context = statement->submission.context;
    RequestArrived arrived{id,
                           statement->route.cls,
                           statement->route.tenant,
                           statement->route.key,
                           accepted.time_left,
                           std::nullopt,
                           context.memory_estimate / kBytesPerMebibyte,
                           statement->route.group,
                           false};
    if (context.cpu_estimate > 0)
        arrived.estimated_work = context.cpu_estimate;
    statements_.add(std::move(statement));
    return arrived;
}

void Front::on_cancelled(const std::string& id, statement::CancelReason reason) {
    completion_.on_client_left(id, reason);
}

void Front::on_rows_started(const std::string& id) {
    ActiveStatement* statement = statements_.find(id);
    if (statement && statement->lifecycle.apply(decide::RequestEvent::streaming_started))
        post_event(ResponseStarted{id, statement->attempt_in_flight()->number});
}

void Front::on_document_sent(const std::string& id) {
    ActiveStatement* statement = statements_.find(id);
    StatementAttempt* attempt = statement ? statement->attempt_in_flight() : nullptr;
    if (attempt)
        responses_.fetch_next(*attempt);
}

void Front::on_final_document_sent(const std::string& id) {
    completion_.on_final_delivered(id);
}

statement::Stats Front::progress(const std::string& id) {
    ActiveStatement* statement = statements_.find(id);
    if (!statement)
        return {};
    statement::Stats stats = statement->stats;
    if (!statement->attempt_in_flight()) {
        stats.state = "QUEUED";
        stats.queued = true;
    }
    const Micros now = loop_.now();
    const Micros queued_until = statement->first_sent_at > 0 ? statement->first_sent_at : now;
    stats.elapsed_ms = (now - statement->arrived_at) / kMillisecond;
    stats.queued_ms = (queued_until - statement->arrived_at) / kMillisecond;
    return stats;
}

std::string Front::status_members() {
    return front::status_members(engines_,
                                 {statements_.size(), statement_api_.total_waiting_bytes(),
                                  server_.connections(), driver_.sensitive_share()},
                                 ledger_.status_member());
}

// ---- Events and actions of the policy

bool Front::is_dropped(const Event& event) const {
    return deps_.drop_event && deps_.drop_event(event);
}

void Front::post_event(Event event) {
    if (!is_dropped(event))
        driver_.post(std::move(event));
}

void Front::on_endpoint_update(const EndpointUpdate& update) {
    if (is_dropped(update))
        return;
    // Applied before the policy receives the update, so that the guard checks the attempts that the policy
    // sends in response against the new states.
    draining_endpoints_.apply(update, engines_, loop_.now());
    driver_.post(update);
    dispatcher_.withdraw_unsent_to_draining();
}

void Front::apply_action(const Action& action) {
    std::visit(Overloaded{
                   [&](const DispatchAttempt& dispatch) {
                       dispatcher_.dispatch(dispatch);
                   },
                   [&](const ResourceGrant& grant) {
                       apply_grant(grant);
                   },
                   [&](const ShedRequest& shed) {
                       completion_.shed(shed);
                   },
                   [&](const FailRequest& fail) {
                       completion_.fail(fail);
                   },
                   [&](const CancelAttempt& cancel) {
                       dispatcher_.cancel(cancel);
                   },
                   [&](const CheckHealth& check) {
                       check_health(check);
                   },
                   [&](const BroadcastToPeers&) {},  // a front has no peer fronts
                   [&](const WatchEndpoints&) {
                       engines_.poll_source();
                   },
                   [&](const StartTimer&) {},  // handled by PolicyDriver
               },
               action);
}

// The grant applies to later attempts only: the statement API cannot change an attempt in flight.
void Front::apply_grant(const ResourceGrant& grant) {
    ActiveStatement* statement = statements_.find(grant.id);
    if (!statement)
        return;
    if (grant.memory_mb > 0)
        statement->memory_grant_mb = grant.memory_mb;
    statement->priority = grant.priority;
}

void Front::check_health(const CheckHealth& action) {
    const EngineId id = action.engine;
    engines_.check_health(id,
                          [this, id](Micros elapsed, AttemptOutcome outcome, std::optional<LoadReport> load) {
                              post_event(HealthCheckCompleted{id, elapsed, outcome, load});
                          });
}

}  // namespace gatetiller::front
