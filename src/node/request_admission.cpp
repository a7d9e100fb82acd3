#include "node/request_admission.hpp"

#include <algorithm>
#include <utility>

#include "decide/client_request.hpp"
#include "decide/client_time_left.hpp"
#include "decide/node_admission.hpp"
#include "decide/table_group.hpp"

namespace gatetiller::node {
namespace {

constexpr Micros kResponseReserve = 5 * kMillisecond;  // for the response to reach its client

// Returns the time after which a rejected client may retry, in microseconds; 0: it is not told.
Micros retry_after_of(const PolicySettings& settings) {
    return settings.sends_retry_after ? settings.max_retry_after : 0;
}

RejectedRequest reject(RequestOutcome outcome, std::int32_t sequence, Micros retry_after) {
    return {outcome, rejection_frame(sequence, retry_after), ""};
}

AdmittedRequest accept(IncomingCall incoming, const decide::ClientRequest& checked, Micros now) {
    const Micros time_left =
        decide::client_time_left(checked.client_timeout, incoming.unread_wait, kResponseReserve);
    auto request = std::make_unique<ActiveRequest>();
    request->id = checked.id;
    request->idempotency_key = checked.idempotency_key;
    request->body = std::move(incoming.call.body);
    request->class_settings = checked.cls;
    request->tenant = checked.tenant;
    request->client = incoming.client;
    request->sequence = incoming.call.seq;
    request->arrived_at = now;
    request->deadline = now + time_left;

    RequestArrived arrival;
    arrival.id = request->id;
    arrival.class_name = checked.cls->name;
    arrival.tenant = request->tenant;
    arrival.time_left = time_left;
    arrival.estimated_work = checked.estimated_work;
    arrival.estimated_memory_mb = checked.estimated_memory_mb;
    arrival.table_group = decide::table_group(request->body);
    return {std::move(request), std::move(arrival)};
}

}  // namespace

RejectedRequest reject_at_capacity(std::int32_t sequence, const PolicySettings& settings) {
    return reject(RequestOutcome::at_capacity, sequence, retry_after_of(settings));
}

std::string rejection_frame(std::int32_t sequence, Micros retry_after) {
    thrift::Fields hint;
    if (retry_after > 0)
        hint["pause"] = std::to_string(std::max<Micros>(1, retry_after / kMillisecond));
    return thrift::rejected(sequence, hint);
}

std::variant<AdmittedRequest, RejectedRequest> admit_request(IncomingCall incoming,
                                                             const AdmissionContext& context) {
    const thrift::Call& call = incoming.call;
    const auto checked = decide::check_request(call.fields, call.body, context.settings);
    if (!checked)
        return RejectedRequest{
            RequestOutcome::malformed,
            thrift::exception("process", call.seq, thrift::Fault::invalid_type, checked.error()),
            checked.error()};
    const decide::NodeLoad load{
        context.requests.size(), context.requests.statement_bytes(),     context.client_unsent_bytes,
        context.unsent_bytes,    context.requests.contains(checked->id), context.shutting_down_for};
    switch (decide::admit(load, call.body.size(), context.limits, context.shutdown_schedule)) {
        case decide::NodeAdmission::admitted:
            break;
        case decide::NodeAdmission::duplicate:
            return reject(RequestOutcome::duplicate, call.seq, retry_after_of(context.settings));
        case decide::NodeAdmission::at_capacity:
            return reject_at_capacity(call.seq, context.settings);
        case decide::NodeAdmission::shutting_down:
            return reject(RequestOutcome::shutting_down, call.seq, 0);
    }
    return accept(std::move(incoming), *checked, context.now);
}

}  // namespace gatetiller::node
