package capacity

import (
	"math"

	"github.com/monsoonfold/monsoonfold/internal/job/worker"
)

// StoreLoad is the calls of the store by kind.
type StoreLoad struct {
	Kind   string  `json:"kind"`
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	Value  float64 `json:"value"` // bytes of one call
}

// Store returns the load of the store at peak.
func (m *Measured) Store(t Target) ([]StoreLoad, error) {
	entries, shards := float64(t.Entries), float64(t.Shards)
	workers := float64(t.Workers) / shards
	read := entries * perInterval(readInterval)
	written, conflicts := t.ClaimCalls()
	load := []StoreLoad{
		{"registration", 0, entries * perInterval(renewInterval), 0},
		{"view", read, 0, m.at("view", Encoded, entries)},
		{"instance list", read, 0, 60},
		{"configuration head, log", read * 9 / 8, 0, headSize},
		{"configuration change", 0, 2 * perSecond(t.Changes), m.at("document", Encoded, float64(t.Teams))},
		{"ledger", 0, shards * min(m.at(probePeak+" ledger writes", Rate, workers), 2), m.at(probePeak+" ledger size", Encoded, workers)},
		{"team usage", entries * perInterval(usageInterval), 0, m.at("team usage", Encoded, entries)},
		{"team usage of an entry", 0, entries * perInterval(usageInterval), m.slope("team usage", Encoded) / textFactor},
		{"job record: new, archived, deleted", 0, 4 * perSecond(t.Jobs), m.at("job record", Encoded, t.Parts())},
		{"job record: parts ended", 0, shards * m.at(probePeak+" job writes", Rate, workers), m.at("job record", Encoded, t.Parts())},
		{"shard records", read, 0, m.at("shard records", Encoded, shards)},
		{"watch of job records", entries * watches(m.jobChanges(t, true)), 0, m.at("job record", Encoded, t.Parts()) * textFactor},
		{"claim", conflicts, written + conflicts, m.at("claims", Encoded, t.heldClaims())},
	}
	return load, m.fault
}

// Failure is what one failure costs.
type Failure struct {
	Name      string  `json:"name"`
	Claims    float64 `json:"claims"`    // of shards, one write each
	Reads     float64 `json:"reads"`     // of the store
	Writes    float64 `json:"writes"`    // of the store, claims included
	Bytes     float64 `json:"bytes"`     // of values read and written
	Announced float64 `json:"announced"` // workers to which a new epoch is announced
	Tasks     float64 `json:"tasks"`     // that need another attempt
	Slots     float64 `json:"slots"`     // that change hands, usable after the wait
	Probes    float64 `json:"probes"`    // calls of silent workers per second, while it lasts
}

// Failures returns the costs of the failures that the target names.
func (m *Measured) Failures(t Target) ([]Failure, error) {
	own := t.Own()
	perShard := float64(t.Workers) / float64(t.Shards)
	tasks := float64(t.Critical+t.Batch) / float64(t.Workers)
	size := m.at(probePeak+" ledger size", Encoded, perShard)
	listed := float64(t.LiveJobs) * m.at("job record", Encoded, t.Parts()) * textFactor
	slots := float64(t.Workers * workerSlots)
	zones := float64(len(zoneNames))
	takeovers := func(name string, claims, lost, gone, silent float64) Failure {
		moved := gone * tasks
		return Failure{
			Name: name, Claims: claims, Reads: 3 * claims, // record, ledger, jobs
			// A claim and a fenced ledger; one job record for each part that moves.
			Writes: 2*claims + math.Ceil(moved/tasksPerPart),
			Bytes:  claims * (2*size + listed), Announced: claims * perShard,
			Tasks: moved, Slots: slots * lost / float64(t.Entries),
			Probes: silent / (worker.Timeout + probeInterval).Seconds(),
		}
	}
	inZone := float64(t.Workers) / zones
	inRegion, entriesInRegion := 3*inZone, math.Ceil(float64(t.Entries)*3/zones)
	region := takeovers("region cut off from the store", float64(own.Region), entriesInRegion, 0, inRegion)
	back := takeovers("the same region back", float64(own.Region), entriesInRegion, 0, 0)
	back.Writes += back.Claims // the owners of the meantime release
	return []Failure{
		takeovers("one worker", 0, 0, 1, 1),
		takeovers("one entry, most shards", float64(own.Most), 1, 0, 0),
		takeovers("rack of workers", 0, 0, workersPerRack, workersPerRack),
		takeovers("availability zone", float64(own.Zone), math.Ceil(float64(t.Entries)/zones), inZone, inZone),
		region, back,
		takeovers("all entries replaced", float64(t.Shards), float64(t.Entries), 0, 0),
	}, m.fault
}
