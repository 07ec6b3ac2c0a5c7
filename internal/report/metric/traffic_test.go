package metric

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTraffic guards against bytes that the counters miss or attribute to another kind
// of partner, in either direction.
func TestTraffic(t *testing.T) {
	tests := []struct {
		name           string
		sent, received int // by the client within two seconds
		want           TrafficRates
	}{
		{"first reading", 0, 0, TrafficRates{}},
		{"silent connection", 0, 0, TrafficRates{
			ReceivedPerSecond: map[Partner]int64{}, SentPerSecond: map[Partner]int64{},
			Opened: map[Partner]int64{"test client": 1, "test server": 1}, StorePerSecond: map[StoreShare]int64{}, CallsPerSecond: map[CallName]int64{},
		}},
		{"both directions", 3000, 500, TrafficRates{
			ReceivedPerSecond: map[Partner]int64{"test client": 250, "test server": 1500},
			SentPerSecond:     map[Partner]int64{"test client": 1500, "test server": 250},
			Opened:            map[Partner]int64{"test client": 1, "test server": 1}, StorePerSecond: map[StoreShare]int64{}, CallsPerSecond: map[CallName]int64{},
		}},
	}
	client, server := newTraffic("test client"), newTraffic("test server")
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	listener := server.Listener(inner)
	var meter TrafficMeter
	now := time.Unix(1_700_000_000, 0)
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if i > 0 {
				exchange(t, client, listener, tt.sent, tt.received)
			}
			now = now.Add(2 * time.Second)
			if diff := cmp.Diff(tt.want, meter.Rates(now)); diff != "" {
				t.Errorf("rates (-want +got):\n%s", diff)
			}
		})
	}
}

// exchange opens a connection on which the client sends and receives bytes.
func exchange(t *testing.T, client *Traffic, listener net.Listener, sent, received int) {
	t.Helper()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := client.Conn(dialed)
	defer c.Close()
	s, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := c.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(s, make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Write(make([]byte, received)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, received)); err != nil {
		t.Fatal(err)
	}
}

// TestCloseWrite guards against a response whose end the client sees only when the whole
// connection is closed, which discards what the client has not read by then.
func TestCloseWrite(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := newTraffic("test end").Listener(inner).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	half, ok := server.(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("a counted connection cannot close one direction")
	}
	if err := half.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("client reads %d bytes and error %v, want the end", n, err)
	}
}
