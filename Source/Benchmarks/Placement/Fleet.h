#ifndef BRONZEPASS_BENCHMARKS_PLACEMENT_FLEET_H
#define BRONZEPASS_BENCHMARKS_PLACEMENT_FLEET_H

#include "Benchmarks/Placement/Deployment.h"
#include "Benchmarks/Placement/ServingModel.h"
#include "UnitTests/Placement/PlacementCluster.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bronzepass::benchmarks::placement {

/// Engines and whatever decides on what they hold; one policy of the replay.
class Fleet {
public:
  virtual ~Fleet() = default;
  virtual std::string name() const = 0;
  virtual model::TimePoint now() const = 0;
  /// Passes one Step.
  virtual void step() = 0;
  /// Engines that serve any version of the model.
  virtual std::vector<uint32_t> copies(const model::ModelId &Model) const = 0;
  virtual void see(const model::ModelId &Model,
                   const model::DemandSample &Sample) = 0;
  virtual void lose(uint32_t Engine) = 0;
  virtual void change(std::shared_ptr<const model::Intent> Value) = 0;
  virtual uint64_t modelLoads() const = 0;
  virtual uint64_t adapterLoads() const = 0;
  /// Greatest share of an engine's memory promised so far.
  virtual double greatestPromise() const = 0;
  virtual bool answersAll() const = 0;
};

/// The real placement core, over fakes of store and engines.
class PlacedFleet : public Fleet {
public:
  explicit PlacedFleet(std::shared_ptr<const model::Intent> Value);

  std::string name() const override { return "bronzepass"; }
  model::TimePoint now() const override { return m_World.m_Now; }
  void step() override;
  std::vector<uint32_t> copies(const model::ModelId &Model) const override;
  void see(const model::ModelId &Model,
           const model::DemandSample &Sample) override;
  void lose(uint32_t Engine) override;
  void change(std::shared_ptr<const model::Intent> Value) override;
  uint64_t modelLoads() const override;
  uint64_t adapterLoads() const override;
  double greatestPromise() const override { return m_GreatestPromise; }
  bool answersAll() const override;

private:
  unit_tests::placement::PlacementCluster m_World;
  double m_GreatestPromise = 0;
};

enum class BaselineKind {
  /// Packed once, spare memory filled by mean demand; never changed.
  Static,
  /// Loads a model that a request finds without a copy; evicts the least
  /// recently used one.
  MissLru,
  /// As MissLru, and takes a model whose copies are all busy as missed.
  BusyMissLru,
};

/// The ways that placement is measured against. Loads take the same time and
/// keep within the same limits of the weight store; adapters come free.
class BaselineFleet : public Fleet {
public:
  BaselineFleet(BaselineKind Kind, std::shared_ptr<const model::Intent> Value);

  std::string name() const override;
  model::TimePoint now() const override { return m_Now; }
  void step() override;
  std::vector<uint32_t> copies(const model::ModelId &Model) const override;
  void see(const model::ModelId &Model,
           const model::DemandSample &Sample) override;
  void lose(uint32_t Engine) override;
  void change(std::shared_ptr<const model::Intent> Value) override;
  uint64_t modelLoads() const override { return m_Loads; }
  uint64_t adapterLoads() const override { return 0; }
  double greatestPromise() const override { return m_GreatestPromise; }
  bool answersAll() const override;

private:
  struct Held {
    model::TimePoint m_ReadyAt;
    model::TimePoint m_UsedAt;
    uint64_t m_Bytes = 0;
  };
  using Engine = std::map<model::ModelId, Held>;

  const model::ModelSpec *spec(const model::ModelId &Model) const;
  uint64_t bytesOf(const model::ModelSpec &Spec) const;
  uint64_t used(const Engine &Value) const;
  uint32_t loading() const;
  void pack();
  bool place(const model::ModelSpec &Spec, bool Evicts, model::Duration Load);
  void miss(const model::ModelId &Model);

  BaselineKind m_Kind;
  std::shared_ptr<const model::Intent> m_Intent;
  model::TimePoint m_Now{std::chrono::hours(1)};
  std::vector<Engine> m_Engines;
  uint64_t m_Room = 0;
  uint64_t m_Loads = 0;
  double m_GreatestPromise = 0;
};

} // namespace bronzepass::benchmarks::placement

#endif // BRONZEPASS_BENCHMARKS_PLACEMENT_FLEET_H
