package capacity

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/dispatch"
	"github.com/monsoonfold/monsoonfold/internal/job/interference"
	"github.com/monsoonfold/monsoonfold/internal/job/lease"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/placement"
	"github.com/monsoonfold/monsoonfold/internal/job/worker"
	"github.com/monsoonfold/monsoonfold/internal/order/claim"
	"github.com/monsoonfold/monsoonfold/internal/order/slot"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

var (
	fleetSizes = []int{550, 1100, 2200, 4400}
	shardSizes = []int{20, 40, 80, 160}
	taskSizes  = []int{4, 8, 16, 32}
	entrySizes = []int{14, 28, 42, 63}
	teamSizes  = []int{10, 20, 40, 80}
)

// probes measure single packages. Those over a connection are in wire.go, and the
// scheduler of a shard is in scheduler.go.
var probes = []probe{
	{"instances", "workers", "fleet/inventory", fleetSizes, prepareInstances},
	{"difference", "changes", "fleet/inventory", []int{1, 10, 40, 160}, prepareDifference},
	{"view", "entries", "fleet/roster", entrySizes, prepareView},
	{"shard records", "shards", "fleet/shard", []int{7, 14, 28, 56}, prepareShardRecords},
	{"team usage", "entries", "job/dispatch", entrySizes, prepareUsage},
	{"slots", "workers", "order/slot", fleetSizes, prepareSlots},
	{"slots by entries", "entries", "order/slot", entrySizes, prepareSlotsByEntries},
	{"heartbeat of an owner", "tasks", "job/worker", taskSizes, prepareHeartbeat},
	{"report of a worker", "tasks", "job/worker", taskSizes, prepareReport},
	{"orders", "orders", "job/worker", []int{1, 4, 16, 64}, prepareOrders},
	{"leases", "tasks", "job/lease", taskSizes, prepareLeases},
	{"placement", "workers", "job/placement", shardSizes, preparePlacement},
	{"interference", "workers", "job/interference", shardSizes, prepareInterference},
	{"ledger", "tasks", "job/ledger", []int{200, 400, 800, 1600}, prepareLedger},
	{"job record", "parts", "job/ledger", []int{1, 4, 16, 56}, prepareRecord},
	{"claims", "claims", "order/claim", []int{2500, 5000, 10000, 20000}, prepareClaims},
	{"document", "teams", "target/spec", teamSizes, prepareDocument},
	{"push", "teams", "peer/message", teamSizes, preparePush},
	{"peer heartbeats", "messages", "peer/message", []int{1, 2, 4, 8}, preparePeerHeartbeats},
	{"journal", "events", "report/journal", []int{2000, 4000, 8000, 16000}, prepareJournal},
	{"burn", "classes", "report/burn", []int{30, 60, 120, 240}, prepareBurn},
}

func prepareInstances(n int) (operation, error) {
	s := snapshot(n)
	data, err := json.Marshal(store.Listing{Instances: s.Workers(), Revision: 1})
	change := store.Listing{Instances: instances(1), After: 1, Revision: 2}
	return operation{state: &s, encoded: len(data), run: func() { s.Apply(change) }}, err
}

func prepareDifference(n int) (operation, error) {
	data, err := json.Marshal(store.Listing{Instances: instances(n), After: 1, Revision: 2})
	return operation{encoded: len(data), run: func() {
		var l store.Listing
		_ = json.Unmarshal(data, &l)
	}}, err
}

// prepareView lists the registrations as the store does and reads them as
// fleet/membership does.
func prepareView(n int) (operation, error) {
	list := store.Snapshot{Revision: 123456}
	for _, e := range entries(n) {
		value, err := json.Marshal(e)
		if err != nil {
			return operation{}, errors.Errorf("encode registration: %w", err)
		}
		list.Records = append(list.Records, store.Record{Key: store.Key("entry/" + e.ID), Value: value, Revision: 123456, Lease: "l123456"})
	}
	data, err := json.Marshal(list)
	read := func() roster.View {
		var s store.Snapshot
		_ = json.Unmarshal(data, &s)
		all := make([]roster.Entry, len(s.Records))
		for i, r := range s.Records {
			_ = json.Unmarshal(r.Value, &all[i])
		}
		return roster.NewView(all, s.Revision)
	}
	v := read()
	return operation{state: &v, encoded: len(data), run: func() { read() }}, err
}

// prepareShardRecords lists the records of ownership as the store does, and takes
// the step that follows for each as an entry does in every look at them.
func prepareShardRecords(n int) (operation, error) {
	view := shard.View{Revision: 2, Regions: regionOf}
	for _, e := range entries(slotEntries) {
		view.Entries = append(view.Entries, shard.Entry{ID: e.ID, Zone: e.Zone})
	}
	ids := shard.All(zoneNames, uint16(n/len(zoneNames)))
	list := store.Snapshot{Revision: 123456}
	for i, id := range ids {
		value, err := shard.Encode(shard.Record{Owner: entryID(i % slotEntries), Epoch: 42, Session: "l123456"})
		if err != nil {
			return operation{}, err
		}
		list.Records = append(list.Records, store.Record{Key: shard.Key(id), Value: value, Revision: 123456})
	}
	data, err := json.Marshal(list)
	self := shard.LocalEntry{ID: entryID(0), Session: "l123456", Since: start}
	return operation{encoded: len(data), run: func() {
		var s store.Snapshot
		_ = json.Unmarshal(data, &s)
		for i, r := range s.Records {
			record, _ := shard.Decode(r.Value)
			shard.Decide(ids[i], self, shard.StoredRecord{Record: record, Revision: 1}, view, start)
		}
	}}, err
}

// prepareUsage lists what 80 teams use on the shards of each entry as the store
// does, and adds it up as job/dispatch does.
func prepareUsage(n int) (operation, error) {
	own := dispatch.TeamUsage{}
	for i := range teamSizes[len(teamSizes)-1] {
		own[teamID(i)] = unit.Resources{Cores: 123000, Memory: 250 << 30}
	}
	value, err := json.Marshal(own)
	if err != nil {
		return operation{}, errors.Errorf("encode usage: %w", err)
	}
	list := store.Snapshot{Revision: 123456}
	for i := range n {
		list.Records = append(list.Records, store.Record{Key: store.Key("usage/" + entryID(i)), Value: value, Revision: 123456, Lease: "l123456"})
	}
	data, err := json.Marshal(list)
	return operation{encoded: len(data), run: func() {
		var s store.Snapshot
		_ = json.Unmarshal(data, &s)
		total := dispatch.TeamUsage{}
		for _, r := range s.Records {
			var u dispatch.TeamUsage
			_ = json.Unmarshal(r.Value, &u)
			for team, used := range u {
				total[team] = total[team].Add(used)
			}
		}
	}}, err
}

func partition(workers, entries int) *slot.Partition {
	p := slot.New(entryID(0), slot.DefaultTiming())
	p.AdoptView(slot.View{Entries: entryIDs(entries), Revision: 1}, start, start)
	all := make([]slot.Worker, workers)
	for i := range all {
		all[i] = slot.Worker{ID: instanceID(i), Slots: workerSlots, Connections: connections}
	}
	p.SetWorkers(all)
	return p
}

// alternate returns an operation that adopts a view in which one entry has gone,
// or has come back.
func alternate(p *slot.Partition, n int) func() {
	now, revision := start, unit.Revision(1)
	ids, gone := entryIDs(n), false
	return func() {
		now, revision, gone = now.Add(time.Second), revision+1, !gone
		present := ids
		if gone {
			present = ids[:n-1]
		}
		p.AdoptView(slot.View{Entries: present, Revision: revision}, now, now)
	}
}

const slotEntries = 42 // of the probes by workers and by shards

func prepareSlots(n int) (operation, error) {
	p := partition(n, slotEntries)
	return operation{state: p, run: alternate(p, slotEntries)}, nil
}

func prepareSlotsByEntries(n int) (operation, error) {
	const workers = 4400
	return operation{run: alternate(partition(workers, n), n)}, nil
}

func frame(m message.Message) (operation, error) {
	data, err := message.Encode(m)
	return operation{encoded: len(data), run: func() { _, _ = message.Encode(m) }}, err
}

func prepareHeartbeat(n int) (operation, error) {
	h := heartbeat(n)
	data, err := json.Marshal(h)
	if err != nil {
		return operation{}, errors.Errorf("encode heartbeat: %w", err)
	}
	answer, err := json.Marshal(report(n))
	return operation{encoded: len(data), run: func() {
		_, _ = json.Marshal(h)
		var r worker.Report
		_ = json.Unmarshal(answer, &r)
	}}, err
}

func prepareReport(n int) (operation, error) {
	r := report(n)
	data, err := json.Marshal(r)
	if err != nil {
		return operation{}, errors.Errorf("encode report: %w", err)
	}
	call, err := json.Marshal(heartbeat(n))
	return operation{state: &r, encoded: len(data), run: func() {
		var h worker.Heartbeat
		_ = json.Unmarshal(call, &h)
		_, _ = json.Marshal(r)
	}}, err
}

func prepareOrders(n int) (operation, error) {
	b := orders(n)
	data, err := json.Marshal(b)
	return operation{encoded: len(data), run: func() { _, _ = json.Marshal(b) }}, err
}

func prepareLeases(n int) (operation, error) {
	r := lease.ClockReading{Boot: "boot", Clock: 1, Sent: start, Received: start.Add(time.Millisecond)}
	return operation{run: func() {
		now := r.Received.Add(time.Second)
		for range n {
			r.ExpiryTime(r.LeaseEnd(now))
		}
	}}, nil
}

// tasksPerWorker is that of the scale target, rounded: 45,000 on 4,400 workers.
const tasksPerWorker = 10

func preparePlacement(n int) (operation, error) {
	x := placement.New(nil)
	for i := range n {
		id := instanceID(i)
		x.Upsert(id, unit.RackID("r"+string(rune('a'+i%8))), unit.Resources{Cores: cores, Memory: memory}, true)
		for k := range tasksPerWorker {
			x.Reserve(id, taskRef(i*tasksPerWorker+k), classID(k), taskSize)
		}
	}
	ref := taskRef(n * tasksPerWorker)
	return operation{state: x, run: func() {
		id, ok := x.Place("class-001", taskSize)
		if ok && x.Reserve(id, ref, "class-001", taskSize) {
			x.Release(id, ref)
		}
	}}, nil
}

func prepareInterference(n int) (operation, error) {
	a := interference.NewAdvisor()
	var requests []unit.ClassID
	d := document(teamSizes[0])
	for _, c := range d.Classes {
		a.SetTarget(c.Name, c.Kind, c.Target)
		if c.Kind == spec.KindRequest {
			requests = append(requests, c.Name)
		}
	}
	shares := map[unit.ClassID]float64{}
	for k := range tasksPerWorker {
		shares[classID(k)] = 0.02
	}
	sample := interference.Sample{Time: start, Requests: 100, Latency: 20 * time.Millisecond, Shares: shares}
	for i := range n {
		id := instanceID(i)
		a.UpsertWorker(id, cores, requests[:1])
		for class := range shares {
			a.AdjustLoad(id, class, 1, 1000)
		}
		sample.Class = requests[0]
		a.Observe(id, sample, 60*time.Millisecond)
	}
	at, i := start, 0
	return operation{state: a, run: func() {
		at, i = at.Add(time.Second), (i+1)%n
		sample.Time = at
		a.Observe(instanceID(i), sample, 60*time.Millisecond)
	}}, nil
}

func prepareLedger(n int) (operation, error) {
	b := book(n)
	data, err := ledger.Encode(b)
	return operation{state: &b, encoded: len(data), run: func() { _, _ = ledger.Encode(b) }}, err
}

func prepareRecord(n int) (operation, error) {
	r := record(n)
	data, err := ledger.EncodeRecord(r)
	return operation{encoded: len(data), run: func() { _, _ = ledger.DecodeRecord(data) }}, err
}

// prepareClaims measures the record of one bucket. Its form in the store is a map
// with the claims, of 16 bytes of key and 8 of nonce, in the order of keys.
func prepareClaims(n int) (operation, error) {
	claims := make([]byte, 0, n*24)
	for i := range n {
		claims = binary.BigEndian.AppendUint64(claims, uint64(i))
		claims = append(claims, make([]byte, 16)...)
	}
	data, err := cbor.Marshal(map[int][]byte{2: claims})
	if err != nil {
		return operation{}, errors.Errorf("encode claims: %w", err)
	}
	r, err := claim.Decode(data)
	if err != nil {
		return operation{}, err
	}
	written, err := r.Encode()
	return operation{state: &r, encoded: len(written), run: func() { _, _ = r.Encode() }}, err
}

func prepareDocument(n int) (operation, error) {
	d := document(n)
	text, err := spec.Format(&d)
	if err != nil {
		return operation{}, err
	}
	parsed, err := spec.Parse("capacity", text)
	return operation{state: &parsed, encoded: len(text), run: func() { _, _ = spec.Parse("capacity", text) }}, err
}

func preparePush(n int) (operation, error) { return frame(message.Push{Revision: revision(n)}) }

func preparePeerHeartbeats(n int) (operation, error) {
	m := message.Heartbeat{View: 123456789, Configuration: 123456, Sees: true, Ready: true, Age: 500 * time.Millisecond, Settled: roster.SettledView{Revision: 123456789, MembersHash: 1 << 63}}
	op, err := frame(m)
	run := op.run
	op.encoded *= n
	op.run = func() {
		for range n {
			run()
		}
	}
	return op, err
}

func prepareJournal(n int) (operation, error) {
	j := journal.New(start)
	i := 0
	add := func() {
		i++
		j.Record(journal.Event{
			Time: start, What: "starting",
			Subjects: []journal.Subject{
				{Kind: journal.KindTask, ID: taskRef(i).Task.String()}, {Kind: journal.KindJob, ID: string(jobID(i))},
				{Kind: journal.KindWorker, ID: string(instanceID(i % 160))},
			},
		})
	}
	for range n {
		add()
	}
	return operation{state: j, run: add}, nil
}

func prepareBurn(n int) (operation, error) {
	a := burn.NewBudgets()
	i := 0
	observe := func() {
		i++
		a.Observe(burn.Sample{Time: start, Class: classID(i % n), Good: i%100 != 0, Zone: zoneNames[0], Worker: instanceID(i % 100)})
	}
	for range 10 * n {
		observe()
	}
	return operation{state: a, run: observe}, nil
}
