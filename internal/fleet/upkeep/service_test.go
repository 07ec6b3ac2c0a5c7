package upkeep

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/ownership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// part is a service of the kernel that does nothing.
type part struct {
	*registry.Tasks
	name registry.Name
}

func newPart(name registry.Name) part { return part{registry.NewTasks(), name} }

func (p part) Name() registry.Name { return p.name }

func (p part) Start(ctx context.Context, _ *registry.Kernel) error {
	p.Begin(ctx)
	return nil
}

// owning is an entry that owns the shard in one term.
type owning struct {
	part
	epoch unit.Epoch
	now   bool // it may order at present
}

func (o owning) Self() unit.EntryID { return "e1" }

func (o owning) Term() (ownership.Term, bool, <-chan struct{}) {
	return ownership.Term{Epoch: o.epoch}, true, make(chan struct{})
}

func (o owning) MayOrder(time.Time) bool { return o.now }

// empty says that all workers can be spared.
type empty struct{ part }

func (empty) Vacate(workers []unit.InstanceID) map[unit.InstanceID]bool {
	vacant := map[unit.InstanceID]bool{}
	for _, w := range workers {
		vacant[w] = true
	}
	return vacant
}

// items is a store that holds one wave.
type items struct{ part }

func (items) Do(ctx context.Context, r kv.Request) (kv.Response, error) {
	switch r.Op {
	case kv.OpRange:
		return kv.Response{Items: []kv.Item{{Key: "w/4", Revision: 1}}, Revision: 1}, nil
	case kv.OpWatch:
		wait.For(ctx, r.Wait)
	}
	return kv.Response{Revision: 1}, nil
}

// format has a wave of one machine.
type format struct{}

func (format) Prefix() kv.Key                        { return "w/" }
func (format) Number(kv.Key) (unit.WaveNumber, bool) { return 4, true }
func (format) Status(Report) (kv.Put, error)         { return kv.Put{Key: "s/4"}, nil }
func (format) Wave(kv.Item) (Wave, error) {
	return Wave{Number: 4, Machines: []unit.MachineID{"m"}, MaxUnavailable: 1}, nil
}

// provider tells when it is ordered to begin.
type provider chan time.Time

func (provider) Machines(context.Context) ([]Machine, error) {
	return []Machine{{ID: "m", Condition: Up, Worker: "i"}}, nil
}

func (p provider) Upkeep(context.Context, Candidate, unit.EntryID, unit.Epoch) Outcome {
	p <- time.Now()
	return Started
}

// TestReplace guards against a wave that is carried out although it was withdrawn
// while changes were missed.
func TestReplace(t *testing.T) {
	s := New(logr.Discard(), make(provider), format{}, 0)
	plan := NewPlan()
	plan.SetWave(Wave{Number: 3, Machines: []unit.MachineID{"m"}, MaxUnavailable: 1})
	s.replace(plan, []kv.Item{{Key: "w/4", Revision: 9}})
	if diff := cmp.Diff([]unit.WaveNumber{4}, plan.Waves()); diff != "" {
		t.Errorf("waves (-want +got):\n%s", diff)
	}
}

// TestTerm guards against an owner whose orders come together with those of the
// holder before, and against orders of an entry that may not be the owner any more.
func TestTerm(t *testing.T) {
	const lease = 300 * time.Millisecond
	tests := []struct {
		name     string
		epoch    unit.Epoch
		mayOrder bool
		least    time.Duration // until the order
		ordered  bool
	}{
		{"first owner", 1, true, 0, true},
		{"after a takeover", 2, true, lease, true},
		{"not surely the owner", 1, false, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := make(provider, 1)
			k := registry.New()
			s := New(logr.Discard(), p, format{}, lease)
			for _, service := range []registry.Service{
				owning{newPart(ownership.ServiceName), tt.epoch, tt.mayOrder}, empty{newPart("owner")}, items{newPart("store")}, s,
			} {
				if err := k.Register(service); err != nil {
					t.Fatal(err)
				}
			}
			begun := time.Now()
			if err := k.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			select {
			case at := <-p:
				if !tt.ordered {
					t.Error("ordered without surely being the owner")
				}
				if took := at.Sub(begun); took < tt.least {
					t.Errorf("ordered after %v, want %v at least", took, tt.least)
				}
			case <-time.After(2 * lease):
				if tt.ordered {
					t.Error("nothing ordered")
				}
			}
			if err := k.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
		})
	}
}
