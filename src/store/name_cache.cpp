#include "store/name_cache.hpp"

namespace gatetiller::store {
namespace {

using decide::Requester;

constexpr std::size_t kMaxCachedNames = 20'000;  // per direction

std::string cache_key(const Requester& requester) {
    std::string key;
    for (const std::string* part :
         {&requester.user, &requester.source, &requester.tags, &requester.cls, &requester.tenant})
        (key += *part) += '\0';
    return key;
}

// Returns the row found by `find`, or added by `add`; both are already bound.
std::int64_t find_or_add(Db& db, Statement& find, Statement& add, StoreFailure& failure) {
    if (find.step()) {
        const std::int64_t row = find.column_int64(0);
        find.reset();
        return row;
    }
    failure = find.failure();
    if (failure)
        return 0;
    failure = add.run();
    return failure ? 0 : db.last_insert_row();
}

void bind_requester(Statement& statement, const Requester& requester) {
    statement.bind(0, requester.user).bind(1, requester.source).bind(2, requester.tags);
    statement.bind(3, requester.cls).bind(4, requester.tenant);
}

}  // namespace

StoreFailure NameCache::prepare() {
    find_requester_ =
        db_.prepare("SELECT row FROM who WHERE user=? AND source=? AND tags=? AND class=? AND tenant=?");
    add_requester_ = db_.prepare("INSERT INTO who(user,source,tags,class,tenant) VALUES(?,?,?,?,?)");
    find_endpoint_ = db_.prepare("SELECT row FROM engines WHERE name=? AND kind=?");
    add_endpoint_ = db_.prepare("INSERT INTO engines(name,kind) VALUES(?,?)");
    for (const Statement* statement : {&find_requester_, &add_requester_, &find_endpoint_, &add_endpoint_})
        if (statement->failure())
            return statement->failure();
    return {};
}

void NameCache::close() {
    find_requester_ = {};
    add_requester_ = {};
    find_endpoint_ = {};
    add_endpoint_ = {};
    clear();
}

void NameCache::clear() {
    requester_rows_.clear();
    endpoint_rows_.clear();
    requesters_.clear();
    endpoints_.clear();
}

std::int64_t NameCache::requester_row(const Requester& requester, StoreFailure& failure) {
    if (requester_rows_.size() > kMaxCachedNames)
        requester_rows_.clear();
    const auto [cached, inserted] = requester_rows_.try_emplace(cache_key(requester), 0);
    if (!inserted)
        return cached->second;
    bind_requester(find_requester_, requester);
    bind_requester(add_requester_, requester);
    cached->second = find_or_add(db_, find_requester_, add_requester_, failure);
    return cached->second;
}

std::int64_t NameCache::endpoint_row(const std::string& name, const std::string& kind,
                                     StoreFailure& failure) {
    if (endpoint_rows_.size() > kMaxCachedNames)
        endpoint_rows_.clear();
    const auto [cached, inserted] = endpoint_rows_.try_emplace(name + '\0' + kind, 0);
    if (!inserted)
        return cached->second;
    find_endpoint_.bind(0, name).bind(1, kind);
    add_endpoint_.bind(0, name).bind(1, kind);
    cached->second = find_or_add(db_, find_endpoint_, add_endpoint_, failure);
    return cached->second;
}

std::shared_ptr<const Requester> NameCache::requester_at(std::int64_t row) {
    if (requesters_.size() > kMaxCachedNames)
        requesters_.clear();
    auto& cached = requesters_[row];
    if (cached)
        return cached;
    auto find = db_.prepare("SELECT user,source,tags,class,tenant FROM who WHERE row=?");
    find.bind(0, row);
    Requester requester;
    if (find.step())
        requester = {find.column_text(0), find.column_text(1), find.column_text(2), find.column_text(3),
                     find.column_text(4)};
    cached = std::make_shared<const Requester>(std::move(requester));
    return cached;
}

const std::pair<std::string, std::string>& NameCache::endpoint_at(std::int64_t row) {
    if (endpoints_.size() > kMaxCachedNames)
        endpoints_.clear();
    const auto found = endpoints_.find(row);
    if (found != endpoints_.end())
        return found->second;
    auto find = db_.prepare("SELECT name,kind FROM engines WHERE row=?");
    find.bind(0, row);
    auto& endpoint = endpoints_[row];
    if (find.step())
        endpoint = {find.column_text(0), find.column_text(1)};
    return endpoint;
}

}  // namespace gatetiller::store
