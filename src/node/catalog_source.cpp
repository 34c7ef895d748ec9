#include "node/catalog_source.hpp"

#include <spdlog/spdlog.h>

#include "store/store_keys.hpp"

namespace violetpulley {

using std::chrono::milliseconds;
using store::Json;
using store::Outcome;
using store::RequestPriority;

namespace {

constexpr std::chrono::seconds kRefreshInterval{30};
constexpr milliseconds kCloudRetryDelay{1500};

}  // namespace

CatalogSource::CatalogSource(asio::io_context& io, store::StoreClient& store,
                             cloud::CloudClient& cloud, const core::Leadership& leadership,
                             Changed changed)
    : store_(store),
      cloud_(cloud),
      leadership_(leadership),
      changed_(std::move(changed)),
      timer_(io) {}

void CatalogSource::set_types(Types types) {
  types_ = std::move(types);
  changed_(types_);
}

void CatalogSource::fetch_later(milliseconds wait) {
  timer_.expires_after(wait);
  timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) fetch();
  }));
}

// Only the leader refreshes the prices.
void CatalogSource::fetch() {
  if (leadership_.leading()) return fetch_from_cloud();
  if (types_.empty()) fetch_from_store();
}

void CatalogSource::fetch_from_store() {
  store_.get(store::kCatalogKey, RequestPriority::background,
             lifetime_.guard([this](const store::GetResult& result) {
               if (result.outcome == Outcome::ok && adopt_stored(result.item.value)) return;
               fetch_from_cloud();
             }));
}

bool CatalogSource::adopt_stored(const Json& stored) {
  Types types;
  try {
    types = cloud::parse_catalog(stored.dump());
  } catch (const std::exception& problem) {
    spdlog::error("the stored catalog is malformed, reading it from the cloud instead: {}",
                  problem.what());
    return false;
  }
  set_types(std::move(types));
  return true;
}

void CatalogSource::fetch_from_cloud() {
  cloud_.catalog(lifetime_.guard([this](std::optional<cloud::CloudClient::Catalog> catalog) {
    cloud_answered(std::move(catalog));
  }));
}

void CatalogSource::cloud_answered(std::optional<cloud::CloudClient::Catalog> catalog) {
  if (!catalog) return fetch_later(kCloudRetryDelay);
  set_types(std::move(catalog->types));
  if (!leadership_.leading()) return;
  if (!saved_) save(catalog->body);
  fetch_later(kRefreshInterval);
}

// The revision of the leader key is the fencing token: the condition on it makes the write of a
// former leader fail.
void CatalogSource::save(const std::string& body) {
  const store::Transaction transaction{{{store::kLeaderKey, leadership_.token()}},
                                       {{store::kCatalogKey, Json::parse(body), std::nullopt}}};
  store_.commit(transaction, RequestPriority::background,
                lifetime_.guard([this](const store::TransactionResult& result) {
                  saved_ = result.outcome == Outcome::ok;
                }));
}

}  // namespace violetpulley
