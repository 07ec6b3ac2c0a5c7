package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/target/organisation"
)

// simQuota is the model of the quota rule: the versions of the configuration, and what may
// run under them.
type simQuota struct {
	versions []simVersion // the last one is the newest
}

// simVersion is one version of the configuration, with the caps of the organisations.
type simVersion map[unit.OrganisationID]unit.Millicores

// simOrganisations are the organisations of the model, the last one without a name.
var simOrganisations = []unit.OrganisationID{"a", "b", ""}

// changeCaps writes a new version of the configuration. Owners know it at once.
func (sim *simulation) changeCaps() {
	v := simVersion{}
	for _, org := range simOrganisations[:2] {
		v[org] = rapid.SampledFrom([]unit.Millicores{0, 30000, 60000, 60000, 90000, -1}).Draw(sim.t, "cap")
		if rapid.IntRange(0, 9).Draw(sim.t, "removed") == 9 {
			delete(v, org)
		}
	}
	sim.quota.versions = append(sim.quota.versions, v)
	sim.applyCaps(sim.simOwner)
	if sim.earlier != nil {
		sim.applyCaps(sim.earlier.simOwner)
	}
}

// applyCaps passes the newest version to an owner.
func (sim *simulation) applyCaps(o *simOwner) {
	if sim.quota == nil || len(sim.quota.versions) == 0 {
		return
	}
	var list []organisation.Organisation
	for org, cores := range sim.quota.versions[len(sim.quota.versions)-1] {
		list = append(list, organisation.Organisation{ID: org, Weight: 1, Cap: unit.Resources{Cores: cores}})
	}
	o.core.SetOrganisations(list)
}

// version returns the number of the newest version.
func (q *simQuota) version() int {
	if q == nil {
		return 0
	}
	return len(q.versions) - 1
}

// limit returns the highest cap of an organisation in the versions from a number on, and
// whether all of them have one.
func (q *simQuota) limit(org unit.OrganisationID, from int) (unit.Millicores, bool) {
	var highest unit.Millicores
	for _, v := range q.versions[from:] {
		if v[org] == 0 {
			return 0, false
		}
		highest = max(highest, v[org])
	}
	return highest, true
}

// runningOf returns the cores of all runs of an organisation on all workers.
func (sim *simulation) runningOf(org unit.OrganisationID) unit.Millicores {
	var cores unit.Millicores
	for _, s := range sim.workers {
		for task := range s.runs {
			if job := sim.jobs[task.Job]; job.Organisation == org {
				cores += job.Steps[task.Step].Needs.Cores
			}
		}
	}
	return cores
}

// checkQuota fails the test if a start that a worker executes brings its organisation above
// its cap.
func (sim *simulation) checkQuota(f inFlightOrder) {
	job := sim.jobs[f.order.Task.Job]
	if sim.quota == nil || job.Organisation == "" {
		return
	}
	limit, limited := sim.quota.limit(job.Organisation, f.version)
	running := sim.runningOf(job.Organisation) + job.Steps[f.order.Task.Step].Needs.Cores
	if limited && running > limit {
		sim.t.Fatalf("QUOTA: %v starts on %s, organisation %s then runs %d of %d", f.order.Task, f.order.Worker, job.Organisation, running, limit)
	}
}

// checkUse ends all disruptions and all caps. The owner then knows exactly what each
// organisation runs, and holds nothing back.
func (sim *simulation) checkUse() {
	sim.endDisruptions()
	sim.quota.versions = append(sim.quota.versions, simVersion{"a": 0, "b": 0})
	sim.applyCaps(sim.simOwner)
	for range 2 * simSettleTime / simRoundTrip {
		sim.calmRound()
	}
	sim.heartbeatAll()
	for _, a := range sim.core.organisations.accounts {
		if running := sim.runningOf(a.id); a.Running.Cores != running || a.Hidden != (unit.Resources{}) || a.Unsized != 0 {
			sim.t.Fatalf("USE: organisation %s runs %d, the owner counts %v, hidden %v, %d of unknown size", a.id, running, a.Running, a.Hidden, a.Unsized)
		}
	}
	if held := sim.core.Stats(sim.clock()).HeldByQuota; held > 0 {
		sim.t.Fatalf("LOST: %d tasks are held back without a cap", held)
	}
}

// organise gives a job an organisation.
func (sim *simulation) organise(job *graph.Job) {
	if sim.quota != nil {
		job.Organisation = rapid.SampledFrom(simOrganisations).Draw(sim.t, "organisation")
	}
}

// TestQuotaModel drives owners, workers and the network by random actions, as TestModel does,
// and checks the quota rule against what the workers do: no start brings an organisation
// above the highest cap since it was sent. Caps go up and down and are removed; owners are
// replaced with and without a hand-over and may go on for some time; workers fall silent and
// are cut off; runs end late; jobs are cancelled; starts are withdrawn, lost and late. At the
// end the use that the owner counts is what runs.
func TestQuotaModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.quota = &simQuota{}
		sim.changeCaps()
		t.Repeat(map[string]func(*rapid.T){
			"submit":         func(*rapid.T) { sim.submitJob() },
			"submit another": func(*rapid.T) { sim.submitJob() },
			"change caps":    func(*rapid.T) { sim.changeCaps() },
			"wait":           func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"hold":           func(t *rapid.T) { sim.heartbeat(sim.pickWorker(), rapid.IntRange(0, 9).Draw(t, "answered") > 0) },
			"hold all":       func(*rapid.T) { sim.heartbeatAll() },
			"late":           func(*rapid.T) { sim.actLate() },
			"place":          func(*rapid.T) { sim.place() },
			"place and send": func(*rapid.T) {
				sim.place()
				sim.sendAll()
			},
			"serve":         func(*rapid.T) { sim.serve() },
			"lose a worker": func(*rapid.T) { sim.loseWorker() },
			"reconnect": func(*rapid.T) {
				for _, s := range sim.workers {
					s.reconnect()
				}
			},
			"send":        func(*rapid.T) { sim.sendOne() },
			"answer":      func(t *rapid.T) { sim.settleReport(rapid.IntRange(0, 3).Draw(t, "lost") == 0) },
			"arrive":      func(*rapid.T) { sim.deliverOne() },
			"work":        func(*rapid.T) { sim.endSomeRun() },
			"sync":        func(*rapid.T) { sim.writeProgress(writeConfirmed); sim.heartbeatAll() },
			"lose":        func(*rapid.T) { sim.writeProgress(writeUnanswered) },
			"remove":      func(*rapid.T) { sim.removeJobs() },
			"fall silent": func(*rapid.T) { s := sim.pickWorker(); s.silent = !s.silent && sim.rarely() },
			"cut": func(*rapid.T) {
				s := sim.pickWorker()
				s.partitioned = !s.partitioned && sim.rarely()
			},
			"restart":    func(*rapid.T) { sim.restartWorker() },
			"lose power": func(*rapid.T) { sim.cutPower() },
			"list": func(*rapid.T) {
				s := sim.pickWorker()
				s.listed = !s.listed || !sim.rarely()
				sim.readList()
			},
			"repeat":           func(*rapid.T) { sim.deliverCopy() },
			"store catches up": func(*rapid.T) { sim.executeLateWrite() },
			"write late":       func(*rapid.T) { sim.writeProgress(writeDelayed) },
			"cancel":           func(*rapid.T) { sim.cancelJob() },
			"take over":        func(*rapid.T) { sim.takeOver() },
			"hand over":        func(*rapid.T) { sim.tryHandOver() },
			"":                 func(*rapid.T) { sim.queueOrders() },
		})
		sim.checkUse()
	})
}
