package capacity

import (
	"fmt"
	"strconv"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/fleet/inventory"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Ids of the fixtures are as long as those of real deployments: the encoded
// sizes depend on them.

// start is the time of the fixtures; fixed, so that encoded sizes repeat.
var start = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// zoneNames are 7 availability zones of 3 regions.
var zoneNames = []unit.ZoneID{
	"guj-hazira", "guj-morbi", "guj-vadodara", "kyushu-fuk", "kyushu-kag", "kyushu-kum", "tohoku-sen",
}

// regionOf has the region of each zone.
var regionOf = map[unit.ZoneID]shard.Region{
	"guj-hazira": "guj", "guj-morbi": "guj", "guj-vadodara": "guj",
	"kyushu-fuk": "kyushu", "kyushu-kag": "kyushu", "kyushu-kum": "kyushu",
	"tohoku-sen": "tohoku",
}

const (
	workersPerRack = 11
	workerSlots    = 8
	connections    = 64
	cores          = unit.Millicores(64000)
	memory         = unit.Bytes(250) << 30
)

func instanceID(i int) unit.InstanceID { return unit.InstanceID(fmt.Sprintf("worker-%05d", i)) }

func jobID(i int) unit.JobID {
	return unit.JobID(fmt.Sprintf("j-%016x", uint64(i+1)*0x9e3779b97f4a7c15))
}

func teamID(i int) unit.TeamID { return unit.TeamID(fmt.Sprintf("team-%03d", i)) }

func classID(i int) unit.ClassID { return unit.ClassID(fmt.Sprintf("class-%03d", i)) }

func entryID(i int) unit.EntryID {
	return unit.EntryID(fmt.Sprintf("entry-%03d-%08x", i, uint32(i+1)*0x9e3779b9))
}

func instances(n int) []store.Instance {
	all := make([]store.Instance, n)
	for i := range all {
		zone := zoneNames[i%len(zoneNames)]
		address := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
		all[i] = store.Instance{
			ID: instanceID(i), Zone: zone, Rack: unit.RackID(fmt.Sprintf("%s-r%03d", zone, i/len(zoneNames)/workersPerRack)),
			Service: "order-desk", State: store.InstanceLive, Upstream: address + ":8080", Control: address + ":8081",
			Capacity: unit.Resources{Cores: cores, Memory: memory, Accelerators: 1}, Slots: workerSlots, Connections: connections,
		}
	}
	return all
}

func snapshot(n int) inventory.Snapshot {
	return inventory.NewSnapshot(store.Listing{Instances: instances(n), Revision: 1})
}

func entries(n int) []roster.Entry {
	all := make([]roster.Entry, n)
	for i := range all {
		all[i] = roster.Entry{ID: entryID(i), Zone: zoneNames[i%len(zoneNames)], Address: fmt.Sprintf("10.200.%d.%d:7400", i>>8, i&255)}
	}
	return all
}

func entryIDs(n int) []unit.EntryID {
	ids := make([]unit.EntryID, n)
	for i := range ids {
		ids[i] = entryID(i)
	}
	return ids
}

// document has one class of requests, one of batch tasks and one standing for
// each team.
func document(teams int) spec.Document {
	var d spec.Document
	for i := range teams {
		team := teamID(i)
		name := strconv.Itoa(i)
		d.Teams = append(d.Teams, spec.Team{Name: team, Quota: unit.Resources{Cores: 100_000_000, Memory: 1 << 50, Accelerators: 100_000}})
		d.Classes = append(d.Classes,
			spec.Class{
				Name: unit.ClassID("quote-" + name), Kind: spec.KindRequest, Service: unit.ServiceID("order-desk-" + name),
				Routes: []spec.Route{{Prefix: "/" + name + "/quote", Method: "GET"}, {Prefix: "/" + name + "/cutlist", Once: true}},
				Target: spec.Target{Percentile: 99.9, Bound: unit.Duration(250 * time.Millisecond)},
			},
			spec.Class{
				Name: unit.ClassID("takeoff-" + name), Kind: spec.KindBatch, Team: team,
				Target: spec.Target{Start: unit.Duration(10 * time.Minute), Finish: unit.Duration(8 * time.Hour)},
			},
			spec.Class{Name: unit.ClassID("sync-" + name), Kind: spec.KindStanding, Team: team, Target: spec.Target{Replicas: 24}})
	}
	for _, z := range zoneNames {
		d.Zones = append(d.Zones, spec.Zone{Name: z})
	}
	return d
}

func revision(teams int) spec.Revision {
	return spec.Revision{
		Number: 123456, Base: 123455, Author: "operator@example.com", Operation: "op-0123456789abcdef",
		Time: start.UnixMilli(), Document: document(teams),
	}
}

func taskRef(i int) worker.Ref {
	return worker.Ref{Task: unit.TaskID{Job: jobID(i % 7), Index: unit.TaskIndex(i)}, Attempt: 1}
}

var taskSize = unit.Resources{Cores: 1000, Memory: 2 << 30}

func heartbeat(tasks int) worker.Heartbeat {
	h := worker.Heartbeat{Fence: worker.Fence{Shard: "guj-vadodara.7", Epoch: 42}}
	for i := range tasks {
		h.Renew = append(h.Renew, worker.Renewal{Ref: taskRef(i), LeaseEnd: 1234567890123456})
	}
	return h
}

func report(tasks int) worker.Report {
	r := worker.Report{
		Clock: 1234567890123456, Boot: "boot-0123456789abcdef", State: worker.StateServing,
		Capacity: unit.Resources{Cores: cores, Memory: memory, Accelerators: 1},
		Reserved: unit.Resources{Cores: 16000, Memory: 60 << 30},
		Usage:    []worker.Usage{{Clock: 1234567890123456, Cores: 12345, Memory: 50 << 30}},
	}
	for i := range tasks {
		r.Tasks = append(r.Tasks, worker.Status{
			Ref: taskRef(i), Phase: worker.PhaseRunning, Class: classID(i % 80), Size: taskSize, LeaseEnd: 1234567890123456,
		})
		r.Usage = append(r.Usage, worker.Usage{Ref: taskRef(i), Clock: 1234567890123456, Cores: 987, Memory: 1234567890})
	}
	return r
}

func orders(n int) worker.OrderBatch {
	b := worker.OrderBatch{Fence: worker.Fence{Shard: "guj-vadodara.7", Epoch: 42}}
	for i := range n {
		b.Orders = append(b.Orders, worker.Order{
			Ref: taskRef(i), Action: worker.ActionStart, Class: classID(i % 80), Size: taskSize, Work: unit.Duration(10 * time.Minute),
			Payload: "s3://bucket/path/of/the/input", LeaseEnd: 1234567890123456, NotAfter: 1234567890123456,
		})
	}
	return b
}

// book has the tasks in jobs of tasksPerPart on one shard.
func book(tasks int) ledger.Ledger {
	b := ledger.Ledger{Epoch: 42, Write: 123456}
	for i := 0; i < tasks; i += tasksPerPart {
		j := ledger.Job{ID: jobID(i)}
		for k := range min(tasksPerPart, tasks-i) {
			j.Tasks = append(j.Tasks, ledger.Task{
				Index: unit.TaskIndex(k), State: ledger.StatePlaced, Attempt: 1, Worker: instanceID(k),
			})
		}
		b.Jobs = append(b.Jobs, j)
	}
	return b
}

func job(i int, class unit.ClassID, tasks int, work time.Duration) queue.Job {
	return queue.Job{
		ID: jobID(i), Class: class, Team: teamID(i % 80), Tasks: unit.TaskIndex(tasks), Size: taskSize, Work: unit.Duration(work),
		Payload: "s3://bucket/path/of/the/input", Author: "operator@example.com", Time: start.UnixMilli(),
	}
}

// record is a job with parts on so many shards.
func record(parts int) ledger.Record {
	r := ledger.Record{Job: job(0, "takeoff-1", parts*tasksPerPart, 10*time.Minute)}
	for i := range parts {
		zone := zoneNames[i%len(zoneNames)]
		r.Parts = append(r.Parts, ledger.Part{
			Shard: unit.ShardID{Zone: zone, Bucket: uint16(i / len(zoneNames))},
			First: unit.TaskIndex(i * tasksPerPart), Count: tasksPerPart, Outcome: &ledger.Outcome{Done: tasksPerPart},
		})
	}
	return r
}
