package intake

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/admission"
	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// noticesResponse is the response to kindNotices while capacity or memory is short. Otherwise, and
// from entries of earlier releases, the response is empty.
type noticesResponse struct {
	Load overload.Load `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint,omitempty"` // of the load; entries share no clock
}

// loadResponse returns the encoded load of the shard, or nil if neither a pool nor the memory
// is short or this entry has no load.
func (s *Service) loadResponse(now time.Time) []byte {
	if s.ownLoad == nil {
		return nil
	}
	load, at, ok := s.ownLoad.Load(now)
	if !ok || !load.Short && !load.Full {
		return nil
	}
	load.Pools = shortPools(load.Pools)
	body, err := cbor.Marshal(noticesResponse{Load: load, Age: now.Sub(at)})
	if err != nil {
		s.log.Error(err, "load of the shard not encoded")
		return nil // the notices are accepted all the same
	}
	return body
}

// shortPools returns the pools that are short of capacity. No decision rests on the others.
func shortPools(pools []overload.PoolLoad) []overload.PoolLoad {
	var short []overload.PoolLoad
	for _, p := range pools {
		if p.Short {
			short = append(short, p)
		}
	}
	return short
}

// receiveLoad takes the load from a response to notices that were sent at sentAt. A response
// that cannot be decoded counts as empty, as the notices have arrived.
func (s *Service) receiveLoad(response []byte, from unit.EntryID, sentAt time.Time) {
	var r noticesResponse
	if len(response) > 0 {
		if err := cbor.Unmarshal(response, &r); err != nil {
			s.log.V(1).Info("load of the owner not readable", "owner", from, "error", err.Error())
			response = nil
		}
	}
	var received admission.Snapshot
	if len(response) > 0 {
		received = admission.Snapshot{Load: r.Load, At: sentAt.Add(-max(r.Age, 0))}
	}
	s.admission.set(received, from)
}

// snapshot returns the load of the shard as this entry knows it. It is empty after a change
// of the owner until the next owner has sent its own.
func (s *Service) snapshot(now time.Time) admission.Snapshot {
	to := s.ownership.Owner()
	if to != s.ownership.Self() {
		return s.admission.from(to)
	}
	if s.ownLoad == nil {
		return admission.Snapshot{}
	}
	load, at, ok := s.ownLoad.Load(now)
	if !ok {
		return admission.Snapshot{}
	}
	return admission.Snapshot{Load: load, At: at}
}
