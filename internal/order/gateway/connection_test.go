package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/monsoonfold/monsoonfold/internal/order/gateway"
	"github.com/monsoonfold/monsoonfold/internal/order/slot"
)

// TestConnectionLimit guards against callers that exhaust the memory and the file
// descriptors of an entry with idle connections, and against a closed connection
// that still counts against the limit.
func TestConnectionLimit(t *testing.T) {
	tests := []struct {
		name   string
		idle   int
		close  int // how many of the idle connections are closed again
		served bool
	}{
		{"below the limit", 1, 0, true},
		{"at the limit", 2, 0, false},
		{"one closed", 2, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := startGatewayWith(t, nil, gateway.New(logr.Discard(), gateway.Settings{
				Address: "127.0.0.1:0", SlotTiming: slot.DefaultTiming(), MaxConnections: 2,
			})).gateway
			dial := func() net.Conn {
				c, err := net.Dial("tcp", g.Address())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				return c
			}
			var idle []net.Conn
			for range tt.idle {
				idle = append(idle, dial())
			}
			for _, c := range idle[:tt.close] {
				c.Close()
			}
			c := dial()
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			wait := 500 * time.Millisecond
			if tt.served {
				wait = 4 * time.Second
			}
			if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				response.Body.Close()
			}
			if (err == nil) != tt.served {
				t.Errorf("response: %v; want served = %v", err, tt.served)
			}
		})
	}
}
