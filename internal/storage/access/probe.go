package access

import (
	"context"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/kernel/wait"
	"github.com/monsoonfold/monsoonfold/internal/storage/kv"
)

// probeTimeout is longer than an answer takes while the store is slow. A probe that a silent
// store has taken is given up soon, so that the next one finds it back.
const probeTimeout = 350 * time.Millisecond

// probeKey need not exist: any answer ends an outage.
const probeKey kv.Key = "coord/epoch"

// signalOutage wakes probeOutages.
func (s *Service) signalOutage() {
	select {
	case s.outageBegan <- struct{}{}:
	default:
	}
}

// probeOutages reads from the store during each outage until it answers. Transactions wait
// for that, and calls of other services may be seconds apart.
func (s *Service) probeOutages(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.outageBegan:
		}
		for s.inOutage() && wait.For(ctx, outageProbeInterval) {
			s.probe(ctx)
		}
	}
}

func (s *Service) probe(ctx context.Context) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := s.callDirect(probeCtx, kv.Request{Op: kv.OpGet, Key: probeKey})
	if ctx.Err() == nil {
		s.recordResult(true, err)
	}
}

// inOutage reports whether neither direct nor relayed calls are answered.
func (s *Service) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}
