package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// network is the path of one machine to the platform. While it is cut, nothing passes:
// bytes on open connections are held up, and new connections never come about. Held bytes
// are delivered when the cut ends, unless their sender has reset the connection.
type network struct {
	record *recorder
	name   string

	mu    sync.Mutex
	cut   bool
	ended chan struct{} // closed at the end of the cut
	// trigger is looked for in what the machine sends; onTrigger is called before the
	// bytes pass.
	trigger   []byte
	onTrigger func()
}

// listen forwards connections to a target and returns the address for the machine.
func (n *network) listen(target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(conn, target)
		}
	}()
	return l.Addr().String(), nil
}

func (n *network) forward(conn net.Conn, target string) {
	if n.isCut() {
		_, _ = io.Copy(io.Discard, conn) // the opening packet is lost: nothing is delivered
		_ = conn.Close()
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go n.pump(out, conn, false)
	n.pump(conn, out, true)
}

func (n *network) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// pump copies from one connection to another.
func (n *network) pump(from, to net.Conn, fromMachine bool) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	var held []byte
	for {
		count, err := from.Read(buffer)
		held = append(held, buffer[:count]...)
		if fromMachine {
			n.check(held)
		}
		if n.isCut() {
			if err == nil {
				// More may come, and how the sender ends the connection matters.
				_ = from.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				continue
			}
			if isTimeout(err) {
				continue
			}
			if !errors.Is(err, io.EOF) {
				n.record.add("path of %s: %d held bytes are lost, as their sender has reset the connection", n.name, len(held))
				return
			}
			n.await()
		}
		if isTimeout(err) {
			err = nil
			_ = from.SetReadDeadline(time.Time{})
		}
		if len(held) > 0 {
			if _, writeErr := to.Write(held); writeErr != nil {
				return
			}
			held = held[:0]
		}
		if err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// check calls onTrigger once when the trigger is seen.
func (n *network) check(held []byte) {
	n.mu.Lock()
	f := n.onTrigger
	if f == nil || !bytes.Contains(held, n.trigger) {
		n.mu.Unlock()
		return
	}
	n.onTrigger = nil
	n.mu.Unlock()
	f()
}

// await waits for the end of the cut.
func (n *network) await() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// startCut cuts the path for d.
func (n *network) startCut(d time.Duration) {
	n.mu.Lock()
	n.cut, n.ended = true, make(chan struct{})
	n.mu.Unlock()
	n.record.add("path of %s to the platform is cut for %s", n.name, d)
	time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cut = false
		close(n.ended)
		n.record.add("path of %s to the platform is back", n.name)
	})
}
