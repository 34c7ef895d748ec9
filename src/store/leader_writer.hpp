// The leader's writes: coalesced into transactions, each conditioned on the leader key, so that a
// late one of a past leader fails.
#pragma once

#include <deque>

#include "store/store_client.hpp"

namespace violetpulley::store {

class LeaderWriter {
 public:
  LeaderWriter(StoreClient& store, core::Token token, std::size_t max_changes)
      : store_(store), token_(token), max_changes_(max_changes) {}
  ~LeaderWriter() { *alive_ = false; }
  LeaderWriter(const LeaderWriter&) = delete;
  LeaderWriter& operator=(const LeaderWriter&) = delete;

  void write(Write change, std::function<void(bool)> done);
  // A transaction of its own, with further conditions.
  void commit(Transaction transaction, std::function<void(TransactionResult)> done);

 private:
  struct Pending {
    Write change;
    std::function<void(bool)> done;
  };
  void flush();

  StoreClient& store_;
  core::Token token_;
  std::size_t max_changes_;
  std::deque<Pending> queue_;
  bool in_flight_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
