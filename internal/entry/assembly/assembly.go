// Package assembly wires the services of an entry into a kernel and runs them.
package assembly

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
	"github.com/monsoonfold/monsoonfold/internal/fleet/listing"
	"github.com/monsoonfold/monsoonfold/internal/fleet/membership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/link"
	"github.com/monsoonfold/monsoonfold/internal/platform/store"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// Times of an entry.
const (
	// startTimeout bounds the start; an unreachable store is noticed by then.
	startTimeout = 15 * time.Second
	// stopTimeout bounds the stop after the drain: the longest request in flight
	// takes 30 s.
	stopTimeout = 40 * time.Second
)

// Entry is one entry process.
type Entry struct {
	settings settings.Settings
	kernel   *registry.Kernel
	peers    *link.Service
}

// Run runs an entry until the context ends, then stops it gracefully. It calls
// ready once the entry can be called.
func Run(ctx context.Context, s settings.Settings, log logr.Logger, ready func(*Entry)) error {
	credentials, err := credential.Load(credential.Files{
		Certificate: s.Keys.Certificate, Key: s.Keys.Key, Authority: s.Keys.Authority,
	})
	if err != nil {
		return errors.Errorf("load keys: %w", err)
	}
	e, err := New(s, credentials, log)
	if err != nil {
		return err
	}
	if err := e.Start(ctx); err != nil {
		return err
	}
	ready(e)
	ended := e.kernel.Wait(ctx)
	return errors.Join(ended, e.Stop())
}

// New registers the services of an entry. Nothing runs yet.
func New(s settings.Settings, credentials *credential.Source, log logr.Logger) (*Entry, error) {
	id, err := newID(s.Name)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, kernel: registry.New()}
	e.peers = link.New(log.WithName("peers"), link.Options{Address: s.Listen.Peers, Credentials: credentials, Seed: seedOf(id)})
	self := roster.Entry{ID: id, Zone: s.Zone, Address: s.Listen.Peers}
	services := []registry.Service{
		store.NewService(s.Store),
		membership.New(log.WithName("membership"), self),
		e.peers,
		journal.NewService(time.Now()),
		listing.New(log.WithName("fleet")),
	}
	for _, service := range services {
		if err := e.kernel.Register(service); err != nil {
			return nil, errors.Errorf("assemble entry: %w", err)
		}
	}
	return e, nil
}

// Start starts all services. If one fails, nothing is left running.
func (e *Entry) Start(ctx context.Context) error {
	// The peer link listens before the entry registers itself, so that a port
	// in use leaves no registration behind.
	if err := e.peers.Listen(); err != nil {
		return errors.Errorf("start entry: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.kernel.Start(ctx); err != nil {
		return errors.Errorf("start entry: %w", err)
	}
	return nil
}

// Stop stops the entry gracefully.
func (e *Entry) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := e.kernel.Stop(ctx); err != nil {
		return errors.Errorf("stop entry: %w", err)
	}
	return nil
}

// newID returns a fresh id, since a registration stands for the state that one
// process holds.
func newID(name string) (unit.EntryID, error) {
	suffix := make([]byte, 4)
	if _, err := rand.Read(suffix); err != nil {
		return "", errors.Errorf("draw entry id: %w", err)
	}
	return unit.EntryID(name + "-" + hex.EncodeToString(suffix)), nil
}

// seedOf returns a seed for the random parts of pauses, which must differ
// between entries.
func seedOf(id unit.EntryID) uint64 { return xxhash.Sum64String(string(id)) }
