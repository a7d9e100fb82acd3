#include "node/request_table.hpp"

namespace gatetiller::node {

RequestTable::RequestTable(net::Loop& loop)
    : deferred_release_(loop, [this](const std::string& id) {
          release(id);
      }) {}

ActiveRequest& RequestTable::add(std::unique_ptr<ActiveRequest> request) {
    ActiveRequest& added = *request;
    statement_bytes_ += added.body.size();
    ids_by_sequence_[{added.client, added.sequence}] = added.id;
    requests_.emplace(added.id, std::move(request));
    return added;
}

ActiveRequest* RequestTable::find(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

ActiveRequest* RequestTable::extract_by_sequence(ClientId client, std::int32_t sequence) {
    const auto found = ids_by_sequence_.find({client, sequence});
    if (found == ids_by_sequence_.end())
        return nullptr;
    ActiveRequest* const request = find(found->second);
    ids_by_sequence_.erase(found);
    return request;
}

void RequestTable::erase_sequence(const ActiveRequest& request) {
    ids_by_sequence_.erase({request.client, request.sequence});
}

void RequestTable::schedule_release(const ActiveRequest& request) {
    deferred_release_.schedule(request.id);
}

std::vector<ActiveRequest*> RequestTable::select(const std::function<bool(ActiveRequest&)>& predicate) {
    std::vector<ActiveRequest*> selected;
    for (const auto& [id, request] : requests_)
        if (predicate(*request))
            selected.push_back(request.get());
    return selected;
}

void RequestTable::release(const std::string& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    statement_bytes_ -= found->second->body.size();
    requests_.erase(found);
}

}  // namespace gatetiller::node
