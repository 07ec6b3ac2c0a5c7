package directory

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// ServiceName is the name of the service in a kernel.
const ServiceName registry.Name = "directory"

// watchWait bounds how long a silent connection hides a new version.
const watchWait = 1500 * time.Millisecond

// Decoder reads the operators' items.
type Decoder interface {
	// Prefix is the prefix of the keys of all operators' items.
	Prefix() kv.Key
	// Document returns the configuration if the item holds it.
	Document(kv.Item) (*Document, bool, error)
	// EvacuatedZone returns the zone that the item takes out of service, if it is one
	// that does.
	EvacuatedZone(kv.Key) (unit.ZoneID, bool)
}

// Service follows the operators' items in the store.
type Service struct {
	*registry.Tasks
	log     logr.Logger
	decoder Decoder
	store   kv.Client
	current atomic.Pointer[Document]

	mu        sync.Mutex
	evacuated map[unit.ZoneID]bool
	changed   chan struct{}
}

// New returns a service that reads items with the decoder.
func New(log logr.Logger, d Decoder) *Service {
	return &Service{
		Tasks: registry.NewTasks(), log: log, decoder: d,
		evacuated: map[unit.ZoneID]bool{},
		changed:   make(chan struct{}),
	}
}

// Name implements registry.Service.
func (s *Service) Name() registry.Name { return ServiceName }

// Start implements registry.Service.
func (s *Service) Start(ctx context.Context, k *registry.Kernel) error {
	var err error
	if s.store, err = kv.Find(k); err != nil {
		return err
	}
	s.Begin(ctx, s.follow)
	return nil
}

// Current returns the newest configuration, or nil before the first.
func (s *Service) Current() *Document { return s.current.Load() }

// Evacuated returns the zones that are out of service, and a channel that is
// closed when the set changes.
func (s *Service) Evacuated() (map[unit.ZoneID]bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.evacuated), s.changed
}

// follow keeps what is known of the items up to date until the context ends.
func (s *Service) follow(ctx context.Context) {
	s.store.Follow(ctx, s.decoder.Prefix(), kv.WatchHandler{
		MaxWait: func() time.Duration { return watchWait },
		OnList:  func(items []kv.Item, _ time.Time) { s.replace(items) },
		OnChange: func(events []kv.Item, _ time.Time) {
			for _, e := range events {
				s.apply(e)
			}
		},
	})
}

func (s *Service) replace(items []kv.Item) {
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
		s.adopt(i)
	}
}

func (s *Service) apply(e kv.Item) {
	zone, ok := s.decoder.EvacuatedZone(e.Key)
	if !ok {
		s.adopt(e)
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

// setEvacuated is called with the lock held.
func (s *Service) setEvacuated(zones map[unit.ZoneID]bool) {
	s.evacuated = zones
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.Info("zones out of service changed", "zones", zones)
}

// adopt takes a configuration that is newer than the present one.
func (s *Service) adopt(i kv.Item) {
	if i.Deleted {
		return
	}
	d, ok, err := s.decoder.Document(i)
	if err != nil {
		s.log.Error(err, "item of an operator left aside", "key", i.Key, "revision", i.Revision)
		return
	}
	if !ok {
		return
	}
	if now := s.current.Load(); now != nil && d.Version <= now.Version {
		return
	}
	s.current.Store(d)
	s.log.Info("configuration in force", "version", d.Version, "revision", i.Revision, "routes", len(d.Routes))
}
