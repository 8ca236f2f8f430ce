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

/// Simulated engines and the policy that decides which models they load.
class Fleet {
public:
  virtual ~Fleet() = default;
  virtual std::string name() const = 0;
  virtual model::TimePoint now() const = 0;
  /// Advances the virtual time by SimulationStep.
  virtual void step() = 0;
  /// Engines that serve any version of the model.
  virtual std::vector<uint32_t> copies(const model::ModelId &Model) const = 0;
  virtual void recordDemand(const model::ModelId &Model,
                            const model::DemandSample &Sample) = 0;
  virtual void failEngine(uint32_t Engine) = 0;
  virtual void changeIntent(std::shared_ptr<const model::Intent> Value) = 0;
  virtual uint64_t modelLoads() const = 0;
  virtual uint64_t adapterLoads() const = 0;
  /// Highest share of any engine's memory that was promised so far.
  virtual double maxPromisedShare() const = 0;
  /// Whether each declared artifact that the policy handles has a serving copy.
  virtual bool servesAll() const = 0;
};

/// The real placement core with a fake store and fake engines.
class PlacementCoreFleet : public Fleet {
public:
  explicit PlacementCoreFleet(std::shared_ptr<const model::Intent> Value);

  std::string name() const override { return "bronzepass"; }
  model::TimePoint now() const override { return m_Cluster.m_Now; }
  void step() override;
  std::vector<uint32_t> copies(const model::ModelId &Model) const override;
  void recordDemand(const model::ModelId &Model,
                    const model::DemandSample &Sample) override;
  void failEngine(uint32_t Engine) override;
  void changeIntent(std::shared_ptr<const model::Intent> Value) override;
  uint64_t modelLoads() const override;
  uint64_t adapterLoads() const override;
  double maxPromisedShare() const override { return m_MaxPromisedShare; }
  bool servesAll() const override;

private:
  unit_tests::placement::PlacementCluster m_Cluster;
  double m_MaxPromisedShare = 0;
};

enum class BaselineKind {
  /// Places the models once, then second copies in order of mean demand while
  /// memory is left; never changes them.
  Static,
  /// Loads a model when a request arrives for it and it has no copy; evicts the
  /// least recently used models.
  MissLru,
  /// Like MissLru, but also loads another copy when requests wait because all
  /// copies of the model are busy.
  BusyMissLru,
};

/// Baseline policies to compare the placement core with. Loads take the same
/// time and keep to the weight store's limit of concurrent loads; loading an
/// adapter takes no time.
class BaselineFleet : public Fleet {
public:
  BaselineFleet(BaselineKind Kind, std::shared_ptr<const model::Intent> Value);

  std::string name() const override;
  model::TimePoint now() const override { return m_Now; }
  void step() override;
  std::vector<uint32_t> copies(const model::ModelId &Model) const override;
  void recordDemand(const model::ModelId &Model,
                    const model::DemandSample &Sample) override;
  void failEngine(uint32_t Engine) override;
  void changeIntent(std::shared_ptr<const model::Intent> Value) override;
  uint64_t modelLoads() const override { return m_Loads; }
  uint64_t adapterLoads() const override { return 0; }
  double maxPromisedShare() const override { return m_MaxPromisedShare; }
  bool servesAll() const override;

private:
  struct LoadedModel {
    model::TimePoint m_ReadyAt;
    model::TimePoint m_UsedAt;
    uint64_t m_Bytes = 0;
  };
  using Engine = std::map<model::ModelId, LoadedModel>;

  const model::ModelSpec *findSpec(const model::ModelId &Model) const;
  uint64_t bytesOf(const model::ModelSpec &Spec) const;
  uint64_t usedBytes(const Engine &Value) const;
  uint32_t loadingCount() const;
  void placeInitialCopies();
  bool place(const model::ModelSpec &Spec, bool Evicts, model::Duration Load);
  void handleMiss(const model::ModelId &Model);

  BaselineKind m_Kind;
  std::shared_ptr<const model::Intent> m_Intent;
  model::TimePoint m_Now{std::chrono::hours(1)};
  std::vector<Engine> m_Engines;
  uint64_t m_UsableBytes = 0;
  uint64_t m_Loads = 0;
  double m_MaxPromisedShare = 0;
};

} // namespace bronzepass::benchmarks::placement

#endif // BRONZEPASS_BENCHMARKS_PLACEMENT_FLEET_H
