package directory

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/guard"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/report/metric"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name under which the kernel registers the service.
const ServiceName registry.Name = "directory"

// watchTimeout bounds the time for which a connection that delivers nothing can hide a new
// version. While nothing changes, the view is up to twice as old, which has to be less
// than the time in which a version is to be in force.
const watchTimeout = 900 * time.Millisecond

// maxLoggedFaults bounds the log lines about the organisations of one version.
const maxLoggedFaults = 8

// Decoder decodes the operators' items.
type Decoder interface {
	// Prefix returns the key prefix of all operators' items.
	Prefix() kv.Key
	// Document returns the configuration, and reports whether the item holds one.
	Document(kv.Item) (*Document, bool, error)
	// EvacuatedZone returns the zone that the item with this key takes out of
	// service, and reports whether there is one.
	EvacuatedZone(kv.Key) (unit.ZoneID, bool)
}

// outageDetector reports whether the store answers no entry.
type outageDetector interface{ Outage() bool }

// Service follows the operators' items in the store and holds the configuration.
type Service struct {
	*registry.Tasks
	log     logr.Logger
	decoder Decoder
	delay   time.Duration
	outage  outageDetector
	store   kv.Client
	current atomic.Pointer[Document]

	strict    bool // keys are accepted only while the view is at most maxKeyAge old
	maxKeyAge time.Duration

	mu          sync.Mutex
	evacuated   map[unit.ZoneID]bool
	confirmedAt time.Time // when the last read was sent that has shown all items until then
}

// Option changes a service that New returns.
type Option func(*Service)

// New returns a service that decodes items with d. A version has to be in force within
// delay; 0 for no limit.
func New(log logr.Logger, d Decoder, delay time.Duration, options ...Option) *Service {
	s := &Service{
		Tasks: registry.NewTasks(), log: log, decoder: d, delay: delay,
		evacuated: map[unit.ZoneID]bool{},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.outage, err = registry.Find[outageDetector](k, kv.ServiceName); err != nil {
		return errors.Errorf("find store: %w", err)
	}
	if s.store, err = kv.Find(k); err != nil {
		return err
	}
	tasks := []func(context.Context){s.follow}
	if s.strict {
		tasks = append(tasks, s.reportKeyAge)
	}
	s.Begin(ctx, tasks...)
	return nil
}

// Current returns the newest configuration, or nil before the first one is read.
func (s *Service) Current() *Document { return s.current.Load() }

// Evacuated returns the zones that are out of service, and when the last read was sent
// that has shown all of them until then: the zero time before the first one.
func (s *Service) Evacuated() (zones map[unit.ZoneID]bool, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.evacuated), s.confirmedAt
}

// Recent reports whether every version that has to be in force by now is known. While the
// store answers no entry there are no new ones.
func (s *Service) Recent() bool { return s.isRecent(s.viewAge(time.Now())) }

// isRecent is Recent for a view of an age.
func (s *Service) isRecent(age time.Duration) bool {
	return s.delay == 0 || age <= s.delay || s.outage.Outage()
}

// confirm records that the items as of sentAt have been applied.
func (s *Service) confirm(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = sentAt
}

// follow lists and watches the items until the context ends.
func (s *Service) follow(ctx context.Context) {
	s.store.Follow(ctx, s.decoder.Prefix(), kv.WatchHandler{
		MaxWait: s.watchWait,
		OnList: func(items []kv.Item, sentAt time.Time) {
			s.handleList(items)
			s.confirm(sentAt)
		},
		OnChange: func(events []kv.Item, sentAt time.Time) {
			for _, e := range events {
				s.handleChange(e)
			}
			s.confirm(sentAt)
		},
	})
}

// handleList replaces the evacuated zones by those of a complete list, and adopts
// its newest configuration.
func (s *Service) handleList(items []kv.Item) {
	s.mu.Lock()
	evacuated := map[unit.ZoneID]bool{}
	for _, i := range items {
		if zone, ok := s.decoder.EvacuatedZone(i.Key); ok {
			evacuated[zone] = true
		}
	}
	if !maps.Equal(evacuated, s.evacuated) {
		s.setEvacuated(evacuated)
	}
	s.mu.Unlock()
	for _, i := range items {
		s.adoptDocument(i)
	}
}

// handleChange applies the change of one item.
func (s *Service) handleChange(e kv.Item) {
	zone, ok := s.decoder.EvacuatedZone(e.Key)
	if !ok {
		s.adoptDocument(e)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuated := maps.Clone(s.evacuated)
	if e.Deleted {
		delete(evacuated, zone)
	} else {
		evacuated[zone] = true
	}
	s.setEvacuated(evacuated)
}

// setEvacuated sets the evacuated zones. The caller holds the lock.
func (s *Service) setEvacuated(zones map[unit.ZoneID]bool) {
	s.evacuated = zones
	s.log.Info("zones out of service changed", "zones", zones)
}

// adoptDocument makes the configuration of an item the current one if it is newer.
// A deleted item does not remove it.
func (s *Service) adoptDocument(i kv.Item) {
	if i.Deleted {
		return
	}
	var d *Document
	var ok bool
	err := guard.Call(func() (err error) {
		d, ok, err = s.decoder.Document(i)
		return err
	})
	if err != nil {
		metric.AddSkippedItem(i.Key)
		s.log.Error(err, "item of an operator ignored: it cannot be decoded", "key", i.Key, "revision", i.Revision)
		return
	}
	if !ok {
		return
	}
	if current := s.current.Load(); current != nil && d.Version <= current.Version {
		return
	}
	s.current.Store(d)
	s.log.Info("configuration in force", "version", d.Version, "revision", i.Revision, "routes", len(d.Routes), "organisations", len(d.Organisations))
	for n, fault := range d.Faults {
		if n == maxLoggedFaults {
			s.log.Info("more faults in the organisations of the configuration", "version", d.Version, "faults", len(d.Faults)-n)
			break
		}
		s.log.Info("fault in the organisations of the configuration", "version", d.Version, "fault", fault.Error())
	}
}
