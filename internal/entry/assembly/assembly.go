// Package assembly wires the services of an entry into a kernel and runs them.
package assembly

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/desk/health"
	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
	"github.com/monsoonfold/monsoonfold/internal/fleet/listing"
	"github.com/monsoonfold/monsoonfold/internal/fleet/membership"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/order/gateway"
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

// Run runs an entry until the context ends, then stops it gracefully.
func Run(ctx context.Context, s settings.Settings, log logr.Logger) error {
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
	ended := e.kernel.Wait(ctx)
	return errors.Join(ended, e.Stop())
}
