package capacity

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/shard"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Target is the size for which costs are worked out.
type Target struct {
	Workers  int
	Entries  int
	Shards   int
	Teams    int
	Critical int     // running latency-critical tasks
	Batch    int     // running batch tasks
	Starts   float64 // per second, at peak
	Jobs     float64 // per day
	Changes  float64 // of the configuration per day
	Failed   float64 // instances per day
	Replaced float64 // instances restarted or replaced per day

	// The requirements do not state the following.
	JobTasks int     // tasks of one job
	LiveJobs int     // jobs that are not over
	Classes  int     // classes of work
	Once     float64 // non-idempotent requests per second
}

// ScaleTarget returns the target of section 1.6 of docs/design.md with so many
// entries.
func ScaleTarget(entries int) Target {
	return Target{
		Workers: 4400, Entries: entries, Shards: 56, Teams: 80, Critical: 13000, Batch: 32000, Starts: 1200,
		Jobs: 18000, Changes: 6400, Failed: 81, Replaced: 630,
		JobTasks: tasksPerJob, LiveJobs: 750, Classes: 240, Once: 50,
	}
}

// Parts returns the number of shards that run tasks of one job.
func (t Target) Parts() float64 {
	if t.JobTasks <= wholeTasks {
		return 1
	}
	return float64(min(t.JobTasks, t.Shards, maxParts))
}

// Load returns the load of one worker at peak, or without starts.
func (t Target) Load(peak bool) Load {
	l := Load{Standing: float64(t.Critical) / float64(t.Workers), Batch: float64(t.Batch) / float64(t.Workers)}
	if peak {
		l.Starts = t.Starts / float64(t.Workers)
	}
	return l
}

// Intervals of the packages, which do not export them.
const (
	renewInterval   = 2 * time.Second        // fleet/membership
	readInterval    = time.Second            // fleet/membership, fleet/listing, target/config
	peerInterval    = 500 * time.Millisecond // peer/link
	claimBuckets    = 64                     // order/claim
	claimWindow     = 20 * time.Millisecond  // order/claim
	maxClaims       = 40_000                 // order/claim, in a record
	claimPeriod     = 12 * time.Hour         // order/claim
	stackSize       = 8 << 10                // of a goroutine that serves a connection
	collectorFactor = 2                      // heap at GOGC=100 over live heap
	headSize        = 200                    // of config/head, an upper bound
	usageInterval   = 5 * time.Second        // job/dispatch
	probeInterval   = time.Second            // job/dispatch
	tcpPerCall      = 4 * 52                 // headers of TCP and IPv4: a segment each way, with acknowledgements
	tcpPerByte      = 1 + 52.0/1448          // further segments of long bodies
	changesPerChurn = 3                      // rows of the instance list that change as one instance is replaced
	watchIdle       = 1.0 / 30               // job/dispatch, watches per second without changes
	watchPause      = 500 * time.Millisecond // job/dispatch, between two watches
	textFactor      = 4.0 / 3                // platform/store, base64 of a value within JSON
)

// Cost is what a part of a role costs per second and in memory.
type Cost struct {
	Messages float64 `json:"messages"` // calls and exchanges, one with its answer
	Bytes    float64 `json:"bytes"`    // sent and received
	Cores    float64 `json:"cores"`    // of one processor core
	Memory   float64 `json:"memory"`   // live heap and stacks
	Reads    float64 `json:"reads"`    // of the store
	Writes   float64 `json:"writes"`   // of the store
}

// Add returns the sum.
func (c Cost) Add(o Cost) Cost {
	return Cost{c.Messages + o.Messages, c.Bytes + o.Bytes, c.Cores + o.Cores, c.Memory + o.Memory, c.Reads + o.Reads, c.Writes + o.Writes}
}

// Times returns the cost of n such parts.
func (c Cost) Times(n float64) Cost {
	return Cost{c.Messages * n, c.Bytes * n, c.Cores * n, c.Memory * n, c.Reads * n, c.Writes * n}
}

// Role is what an instance does.
type Role string

// Roles. Those of an entry say so.
const (
	Worker   Role = "worker"
	Operator Role = "operators"
	Member   Role = "entry: member"
	Owner    Role = "entry: shard owner"
	Reader   Role = "entry: configuration"
	Front    Role = "entry: front end"
	Process  Role = "entry: process"
)

// Figure is one line of the model.
type Figure struct {
	Role      Role   `json:"role"`
	Part      string `json:"part"`
	Mechanism string `json:"mechanism"` // package that carries it
	Cost
}

// Ownership is how the shards spread over the entries by fleet/shard.
type Ownership struct {
	Mean float64 `json:"mean"`
	Most int     `json:"most"`
	// Zone is the most shards whose owner is in one availability zone, and Region
	// those of one region.
	Zone   int `json:"zone"`
	Region int `json:"region"`
}

// Own returns the spread of the target's shards.
func (t Target) Own() Ownership {
	view := shard.View{Revision: 1, Regions: regionOf}
	zoneOf := map[unit.EntryID]unit.ZoneID{}
	for _, e := range entries(t.Entries) {
		view.Entries = append(view.Entries, shard.Entry{ID: e.ID, Zone: e.Zone})
		zoneOf[e.ID] = e.Zone
	}
	o := Ownership{Mean: float64(t.Shards) / float64(t.Entries)}
	owned, zones, regions := map[unit.EntryID]int{}, map[unit.ZoneID]int{}, map[shard.Region]int{}
	for _, id := range shard.All(zoneNames, uint16(t.Shards/len(zoneNames))) {
		first := shard.Ranking(id, view)[0]
		owned[first]++
		zones[zoneOf[first]]++
		regions[regionOf[zoneOf[first]]]++
		o.Most, o.Zone = max(o.Most, owned[first]), max(o.Zone, zones[zoneOf[first]])
		o.Region = max(o.Region, regions[regionOf[zoneOf[first]]])
	}
	return o
}

// Measured has the series by probe and quantity.
type Measured struct {
	Series []Series `json:"series"`
	Base   float64  `json:"base"` // resident bytes of a process that has done nothing
	fault  error
}

// at returns the value of a series' line at x, and 0 where the line is below 0.
func (m *Measured) at(probe string, q Quantity, x float64) float64 {
	return max(m.line(probe, q).At(x), 0)
}

func (m *Measured) line(probe string, q Quantity) Line {
	for _, s := range m.Series {
		if s.Probe == probe && s.Quantity == q {
			return s.Line
		}
	}
	if q != CPU { // processor times may be left out
		m.fault = errors.Errorf("no series %s of %s", q, probe)
	}
	return Line{}
}

// slope returns the cost of one more x.
func (m *Measured) slope(probe string, q Quantity) float64 {
	return m.line(probe, q).Slope
}

// cores returns the processor time of an operation, in cores, at a rate.
func (m *Measured) cores(probe string, x, rate float64) float64 {
	return m.at(probe, CPU, x) * rate / 1e6
}

func perSecond(perDay float64) float64 { return perDay / (24 * time.Hour).Seconds() }

func perInterval(interval time.Duration) float64 { return 1 / interval.Seconds() }

const (
	probePeak  = "shard at peak"
	probeQuiet = "shard without starts"
	callWorker = "call of a worker"
	callStore  = "call of the store"
)

// storeCalls is the cost of calls with bodies of so many bytes, apart from what
// the caller does with them.
func (m *Measured) storeCalls(reads, writes, body float64) Cost {
	rate := reads + writes
	return Cost{
		Messages: rate, Bytes: rate * (m.slope(callStore, Encoded) + tcpPerCall + body*tcpPerByte),
		Cores: rate * m.slope("paced "+callStore, CPU) / 1e6, Reads: reads, Writes: writes,
	}
}

// shardCosts are those of one shard for its owner, and of all its workers
// together.
type shardCosts struct {
	talk, ledger, jobs, model, state Cost
	workers                          Cost
}

func (m *Measured) shard(t Target, probe string) shardCosts {
	n := float64(t.Workers) / float64(t.Shards)
	tasks := float64(t.Critical+t.Batch) / float64(t.Workers)
	beats, batches := m.at(probe+" heartbeats", Rate, n), m.at(probe+" order calls", Rate, n)
	calls := beats + batches
	bytes := m.at(probe+" bodies", Encoded, n)*tcpPerByte + calls*(m.slope(callWorker, Encoded)+tcpPerCall)
	call := calls * m.slope("paced "+callWorker, CPU) / 1e6
	var c shardCosts
	c.talk = Cost{Messages: calls, Bytes: bytes, Cores: call + m.cores("heartbeat of an owner", tasks, beats) + m.cores("orders", 1, batches)}
	c.workers = Cost{Messages: calls, Bytes: bytes, Cores: call + m.cores("report of a worker", tasks, beats) + m.cores("orders", 1, batches)}
	writes := min(m.at(probe+" ledger writes", Rate, n), 2) // the least interval bounds them
	c.ledger = m.storeCalls(0, writes, 0).Add(Cost{Bytes: m.at(probe+" ledger bytes", Encoded, n) * tcpPerByte})
	c.jobs = m.storeCalls(0, m.at(probe+" job writes", Rate, n), m.at("job record", Encoded, t.Parts()))
	c.model = Cost{Cores: m.cores("interference", n, beats), Memory: m.at("interference", Heap, n)}
	c.state = Cost{
		Cores:  m.at(probe+" core", CPU, n) / 1e6,
		Memory: m.at(probe, Heap, n) + n*(m.slope("connection to a worker", Heap)+stackSize),
	}
	return c
}

// Figures returns the costs of one worker, of one entry that owns so many
// shards, and of the operators.
func (m *Measured) Figures(t Target, shards float64, peak bool) ([]Figure, error) {
	probe := probeQuiet
	if peak {
		probe = probePeak
	}
	entries, workers := float64(t.Entries), float64(t.Workers)
	perShard := m.shard(t, probe)
	tasks := float64(t.Critical+t.Batch) / workers
	change := perSecond(t.Changes)
	churn := perSecond(t.Failed+t.Replaced) * changesPerChurn
	read := perInterval(readInterval)
	exchanges := 2 * (entries - 1) * perInterval(peerInterval) // each end of a pair begins its own
	push, document := m.at("push", Encoded, float64(t.Teams)), m.at("document", Encoded, float64(t.Teams))
	record := m.at("job record", Encoded, t.Parts())
	changed := m.jobChanges(t, peak)
	oneWorker := perShard.workers.Times(float64(t.Shards) / workers)
	oneWorker.Memory = m.at("report of a worker", Heap, tasks)

	view := m.storeCalls(read, 0, m.at("view", Encoded, entries))
	view.Cores += m.cores("view", entries, read)
	view.Memory = m.at("view", Heap, entries)
	list := m.storeCalls(read, 0, 60).Add(Cost{Bytes: churn * m.at("difference", Encoded, 1)})
	list.Cores += m.cores("instances", workers, churn) + m.cores("difference", 1, churn)
	list.Memory = m.at("instances", Heap, workers)
	owners := m.storeCalls(read, 0, m.at("shard records", Encoded, float64(t.Shards)))
	owners.Cores += m.cores("shard records", float64(t.Shards), read)
	each := perInterval(usageInterval)
	usage := m.storeCalls(each, 0, m.at("team usage", Encoded, entries)).
		Add(m.storeCalls(0, each, m.slope("team usage", Encoded)/textFactor))
	usage.Cores += m.cores("team usage", entries, each)
	head := m.storeCalls(read, 0, headSize).Add(m.storeCalls(read/8, 0, 0)) // one in 8 also probes the log
	head.Memory = m.at("document", Heap, float64(t.Teams))
	written, conflicts := t.ClaimCalls()
	held := t.heldClaims()
	claims := m.storeCalls(conflicts/entries, (written+conflicts)/entries, m.at("claims", Encoded, held))
	claims.Cores += m.cores("claims", held, (written+conflicts)/entries)
	// An entry holds every bucket, of this period and the one before.
	claims.Memory = claimBuckets * (m.at("claims", Heap, held) + m.at("claims", Heap, 2*held))

	figures := []Figure{
		{Worker, "answers to heartbeats and orders", "job/worker", oneWorker},
		{Member, "renewal of the registration", "fleet/membership", m.storeCalls(0, perInterval(renewInterval), 0)},
		{Member, "read of the view", "fleet/membership, fleet/roster", view},
		{Member, "heartbeats between entries", "peer/link", Cost{
			Messages: exchanges, Bytes: exchanges * m.slope("peer exchange", Encoded),
			// Both ends are alike, so an entry bears half of each exchange.
			Cores: exchanges * m.slope("peer exchange", CPU) / 2 / 1e6,
		}},
		{Member, "read of the instance list", "fleet/listing, fleet/inventory", list},
		{Owner, "heartbeats and orders to workers", "job/dispatch, job/worker", perShard.talk.Times(shards)},
		{Owner, "ledger writes", "job/dispatch, job/ledger", perShard.ledger.Times(shards)},
		{Owner, "job record writes", "job/dispatch, job/ledger", perShard.jobs.Times(shards)},
		{Owner, "interference model", "job/interference", perShard.model.Times(shards)},
		{Owner, "scheduler, placement, connections", "job/dispatch, job/placement", perShard.state.Times(shards)},
		{Owner, "read of the shard records", "job/dispatch, fleet/shard", owners},
		{Owner, "team usage on other shards", "job/dispatch", usage},
		{Owner, "watch of job records", "job/dispatch", m.storeCalls(watches(changed), 0, 0).Add(Cost{
			Bytes: changed * record * textFactor, Cores: m.cores("job record", t.Parts(), changed),
		})},
		{Reader, "read of the head", "target/config", head},
		{Reader, "receipt of changes", "target/config, peer/message", Cost{
			Messages: change, Bytes: change * push, Cores: m.cores("document", float64(t.Teams), change),
		}},
		{Reader, "acceptance of changes, mean", "target/config", m.storeCalls(0, 2*change/entries, document).Add(Cost{
			Messages: change * (entries - 1) / entries, Bytes: change * (entries - 1) / entries * push,
			Cores: m.cores("document", float64(t.Teams), change/entries),
		})},
		{Front, "partition of slots", "order/slot", Cost{Memory: m.at("slots", Heap, workers)}},
		{Front, "claims", "order/claim", claims},
		{Front, "error budgets", "report/burn", Cost{Memory: m.at("burn", Heap, float64(t.Classes))}},
		{Process, "journal", "report/journal", Cost{Memory: m.at("journal", Heap, 8192)}},
		{Operator, "changes, jobs", "desk/api", Cost{
			Messages: change + perSecond(t.Jobs), Bytes: change*document + perSecond(t.Jobs)*record,
		}},
	}
	return figures, m.fault
}

// watches returns the watches per second of one entry at so many changes.
func watches(changes float64) float64 {
	return watchIdle + min(changes, 1/watchPause.Seconds())
}

// jobChanges returns the changes of job records per second, each of which every
// entry gets by its watch.
func (m *Measured) jobChanges(t Target, peak bool) float64 {
	if !peak {
		return perSecond(t.Jobs) * (t.Parts() + 2) // new, the end of each part, deleted
	}
	n := float64(t.Workers) / float64(t.Shards)
	return 2*perSecond(t.Jobs) + float64(t.Shards)*m.at(probePeak+" job writes", Rate, n)
}

// ClaimCalls returns the writes of claims per second that take effect, and those
// that conflict. Each entry writes to all buckets itself, with one write in flight
// for each and the window between two. A write conflicts if another entry wrote the
// bucket last; the record is then read and the write repeated. Requests are taken
// to be spread evenly over the entries.
func (t Target) ClaimCalls() (written, conflicts float64) {
	if t.Once <= 0 {
		return 0, 0
	}
	buckets := float64(claimBuckets * t.Entries) // of all entries
	written = buckets / (buckets/t.Once + claimWindow.Seconds())
	return written, written * float64(t.Entries-1) / float64(t.Entries)
}

// heldClaims returns the claims of a bucket's record in the middle of a period.
func (t Target) heldClaims() float64 {
	return min(t.Once*claimPeriod.Seconds()/claimBuckets, maxClaims) / 2
}

// MostOnce returns the rate of non-idempotent requests that fills the records of
// a period.
func MostOnce() float64 { return maxClaims * claimBuckets / claimPeriod.Seconds() }

// Sum adds up the figures of roles.
func Sum(figures []Figure, roles ...Role) Cost {
	var c Cost
	for _, f := range figures {
		for _, r := range roles {
			if f.Role == r {
				c = c.Add(f.Cost)
			}
		}
	}
	return c
}

// EntryRoles are the roles of an entry that belong to control; what serves
// callers is apart.
var EntryRoles = []Role{Member, Owner, Reader, Process}

// Resident returns the memory of a process with the live heap.
func (m *Measured) Resident(live float64) float64 { return m.Base + collectorFactor*live }
