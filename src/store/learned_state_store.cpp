#include "store/learned_state_store.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley::store {

namespace {
const std::string kFirstSlot = "a";
const std::string kSecondSlot = "b";
}  // namespace

LearnedStateStore::LearnedStateStore(StoreClient& store, LeaderWriter& writer,
                                     core::FencingToken token, LearnedStateSettings settings)
    : store_(store), writer_(writer), token_(token), settings_(settings), slot_(kSecondSlot) {}

void LearnedStateStore::load(core::WallTime wall, LoadHandler done) {
  store_.list(
      kLearnedStatePrefix, RequestPriority::safety,
      lifetime_.guard([this, wall, done = std::move(done)](const ListResult& result) {
        if (result.outcome != Outcome::ok) {
          spdlog::warn(
              "learned state of the former leader could not be read from the state service; "
              "starting without it");
          return done(std::nullopt);
        }
        auto decoded = decode_learned_state(result.items, settings_, wall);
        if (!decoded.problem.empty())
          spdlog::error("learned state of the former leader is rejected: {}", decoded.problem);
        if (!decoded.slot.empty()) slot_ = decoded.slot;
        done(std::move(decoded.learned_state));
      }));
}

bool LearnedStateStore::due(core::TimePoint now) const {
  if (save_in_flight_ || !store_.idle()) return false;
  return !last_save_ || now - *last_save_ >= core::to_duration(settings_.save_interval);
}

void LearnedStateStore::save(const core::LearnedState& learned_state, core::TimePoint now) {
  last_save_ = now;
  save_in_flight_ = true;
  slot_ = slot_ == kFirstSlot ? kSecondSlot : kFirstSlot;
  write_piece(std::make_shared<LearnedStateWrites>(
                  encode_learned_state(learned_state, slot_, token_, settings_)),
              0);
}

// Writes one piece per transaction, so that other writes can be sent between the pieces.
void LearnedStateStore::write_piece(const std::shared_ptr<LearnedStateWrites>& writes,
                                    std::size_t number) {
  const bool head = number == writes->pieces.size();
  Transaction transaction{{}, {head ? writes->head : writes->pieces[number]}};
  writer_.commit(std::move(transaction),
                 lifetime_.guard([this, writes, number, head](const TransactionResult& result) {
                   // Without the new head the previous set remains the newest until the next one is
                   // due. A write whose response was lost may be executed after a piece of the
                   // slot's next set; the checksum of that set then fails and it is rejected.
                   if (head || result.outcome != Outcome::ok) {
                     save_in_flight_ = false;
                     return;
                   }
                   write_piece(writes, number + 1);
                 }));
}

}  // namespace violetpulley::store
