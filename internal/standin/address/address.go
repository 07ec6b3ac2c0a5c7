// Package address allocates loopback addresses for processes and services that
// must know their address before they listen.
package address

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// Allocated ports are below the range from which the system takes ports for
// outgoing connections and port 0, so that no other socket takes one before its
// process starts.
const (
	firstPort = 20000
	lastPort  = 32000
)

var ports struct {
	mu   sync.Mutex
	next int
}

// Next returns a loopback address whose port is free for TCP and UDP.
func Next() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + os.Getpid()%(lastPort-firstPort) // other test processes start at other ports
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
