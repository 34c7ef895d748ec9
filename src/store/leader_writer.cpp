#include "store/leader_writer.hpp"

namespace violetpulley::store {

void LeaderWriter::write(Write change, std::function<void(bool)> done) {
  queue_.push_back({std::move(change), std::move(done)});
  flush();
}

void LeaderWriter::commit(Transaction transaction, std::function<void(TransactionResult)> done) {
  transaction.conditions.push_back({"leader", token_});
  store_.commit(transaction, Urgency::normal,
                [alive = alive_, done = std::move(done)](TransactionResult result) {
                  if (*alive) done(std::move(result));
                });
}

void LeaderWriter::flush() {
  if (in_flight_ || queue_.empty()) return;
  in_flight_ = true;
  Transaction transaction;
  std::vector<std::function<void(bool)>> callbacks;
  std::set<std::string> keys;
  std::size_t bytes = 0;
  // One write per key in a transaction: a second waits for the next one.
  while (!queue_.empty() && transaction.writes.size() < max_changes_ &&
         !keys.contains(queue_.front().change.key) && bytes < 40 * 1024) {
    auto& next = queue_.front();
    keys.insert(next.change.key);
    if (next.change.value) bytes += next.change.value->dump().size();
    transaction.writes.push_back(std::move(next.change));
    callbacks.push_back(std::move(next.done));
    queue_.pop_front();
  }
  commit(std::move(transaction),
         [this, callbacks = std::move(callbacks)](TransactionResult result) {
           in_flight_ = false;
           for (const auto& done : callbacks)
             if (done) done(result.outcome == Outcome::ok);
           flush();
         });
}

}  // namespace violetpulley::store
