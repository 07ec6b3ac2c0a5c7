package worker

import (
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// Fault is the body of POST /fault. It replaces the faults in force; the zero
// value heals all of them except connections that hang already.
type Fault struct {
	Fail     bool          `json:"fail,omitempty"`     // every task fails as soon as it starts
	Draining bool          `json:"draining,omitempty"` // the worker is leaving
	Delay    unit.Duration `json:"delay,omitempty"`    // added to the time of every request
	// Mismatch, Truncate and Oversize are the parts, from 0 to 1, of the responses
	// that carry the id of another request, are cut in the middle, or have Fill
	// bytes of padding.
	Mismatch float64    `json:"mismatch,omitempty"`
	Truncate float64    `json:"truncate,omitempty"`
	Oversize float64    `json:"oversize,omitempty"`
	Fill     unit.Bytes `json:"fill,omitempty"`
	// HangUpstream and HangControl make the connections that are open now hang
	// until the peer closes them. They are acts, not states.
	HangUpstream bool `json:"hangupstream,omitempty"`
	HangControl  bool `json:"hangcontrol,omitempty"`
	// Lose is how many of the next answers of the task protocol are lost after
	// the call has taken effect.
	Lose int `json:"lose,omitempty"`
}

// maxFill bounds the padding, so that a typing error cannot exhaust the memory
// of the machine that all stand-ins share.
const maxFill = 64 << 20

// validate reports every fault of the request.
func (f Fault) validate() error {
	var faults []error
	for _, part := range []struct {
		name  string
		value float64
	}{
		{"mismatch", f.Mismatch}, {"truncate", f.Truncate}, {"oversize", f.Oversize},
	} {
		if !(part.value >= 0 && part.value <= 1) {
			faults = append(faults, errors.Errorf("%s: want 0 to 1", part.name))
		}
	}
	if f.Fill < 0 || f.Fill > maxFill {
		faults = append(faults, errors.Errorf("fill: want 0 to %d bytes", maxFill))
	}
	if f.Delay < 0 {
		faults = append(faults, errors.New("delay: want 0 or more"))
	}
	if f.Lose < 0 {
		faults = append(faults, errors.New("lose: want 0 or more"))
	}
	return errors.Join(faults...)
}
