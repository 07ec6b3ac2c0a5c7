// Package address gives out loopback addresses for processes and services that
// must know their address before they listen.
package address

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// Ports given out lie below the range from which the system takes ports for
// outgoing connections and port 0, so that nothing takes one before its process
// starts.
const (
	firstPort = 20000
	lastPort  = 32000
)

var ports struct {
	mu   sync.Mutex
	next int
}

// Next returns a loopback address that is free for TCP and UDP.
func Next() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + os.Getpid()%(lastPort-firstPort) // apart from other test processes
	}
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		if ports.next++; ports.next == lastPort {
			ports.next = firstPort
		}
		if free(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}
