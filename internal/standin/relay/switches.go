// Package relay implements a TCP and a UDP relay that tests place between two
// endpoints to simulate a network partition. A relay can cut either direction,
// silence only the existing connections, add latency, and heal.
package relay

import (
	"sync"
	"time"
)

// Direction is a direction of traffic through a relay.
type Direction uint8

// Directions. The near end connects to the relay, the far end is the target of
// the relay.
const (
	ToFar Direction = iota
	ToNear
)

// switches is the state of a relay of either kind that tests set.
type switches struct {
	mu      sync.Mutex
	cut     [2]bool // by Direction
	delay   time.Duration
	changed chan struct{} // closed at the next change
	closing chan struct{}
	once    sync.Once // closes closing
}

func newSwitches() *switches {
	return &switches{changed: make(chan struct{}), closing: make(chan struct{})}
}

// Cut stops all traffic in the directions. Datagrams are lost. The bytes of TCP
// connections are held until a heal, since TCP retransmits lost segments.
func (s *switches) Cut(directions ...Direction) {
	s.change(func() {
		for _, d := range directions {
			s.cut[d] = true
		}
	})
}

// Delay adds a one-way latency in both directions.
func (s *switches) Delay(d time.Duration) {
	s.change(func() { s.delay = d })
}

// Heal removes all cuts and the delay. Connections silenced by Silence stay silent.
func (s *switches) Heal() {
	s.change(func() {
		s.cut = [2]bool{}
		s.delay = 0
	})
}

func (s *switches) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *switches) read(d Direction) (cut bool, delay time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[d], s.delay, s.changed
}

// awaitOpen blocks while the direction is cut. It reports false once the relay
// or the connection ends.
func (s *switches) awaitOpen(d Direction, ended <-chan struct{}) bool {
	for {
		cut, _, changed := s.read(d)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		case <-s.closing:
			return false
		}
	}
}

// awaitTime blocks until due. It reports false once the relay or the connection
// ends.
func (s *switches) awaitTime(due time.Time, ended <-chan struct{}) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ended:
		return false
	case <-s.closing:
		return false
	}
}
