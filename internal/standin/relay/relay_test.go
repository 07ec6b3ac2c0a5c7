package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/monsoonfold/monsoonfold/internal/standin/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// switchable is the interface of both kinds of relay in tests.
type switchable interface {
	Address() string
	Cut(...relay.Direction)
	Delay(time.Duration)
	Heal()
	Silence()
	Close()
}

const (
	// replyTimeout is the time limit of an expected reply.
	replyTimeout = 5 * time.Second
	// silenceTime is how long a test waits to see that no reply comes.
	silenceTime = 100 * time.Millisecond
)

// echoTCP starts a TCP server that echoes its input.
func echoTCP(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// echoUDP starts a UDP server that echoes its input.
func echoUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	go func() {
		buffer := make([]byte, 1500)
		for {
			n, from, err := c.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = c.WriteToUDPAddrPort(buffer[:n], from)
		}
	}()
	return c.LocalAddr().String()
}

// echoes sends a message and reports whether it comes back in time.
func echoes(t *testing.T, c net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("ping")); err != nil {
		t.Fatal(err)
	}
	return arrives(t, c, wait)
}

func arrives(t *testing.T, c net.Conn, wait time.Duration) bool {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadFull(c, make([]byte, 4))
	return err == nil
}

// TestPartitions guards against a relay that lets traffic through a cut, does
// not heal, or silences new connections with the old ones.
func TestPartitions(t *testing.T) {
	kinds := []struct {
		network string
		echo    func(*testing.T) string
		start   func(address, target string) (switchable, error)
		held    bool // data sent during a cut arrives after the heal
	}{
		{"tcp", echoTCP, func(a, b string) (switchable, error) { return relay.NewTCP(a, b) }, true},
		{"udp", echoUDP, func(a, b string) (switchable, error) { return relay.NewUDP(a, b) }, false},
	}
	tests := []struct {
		name      string
		do        func(switchable)
		wantOld   bool
		wantNew   bool
		wantSlow  time.Duration
		wantAfter bool // the old connection works after a heal
	}{
		{name: "open", do: func(switchable) {}, wantOld: true, wantNew: true, wantAfter: true},
		{name: "cut to far", do: func(r switchable) { r.Cut(relay.ToFar) }, wantAfter: true},
		{name: "cut to near", do: func(r switchable) { r.Cut(relay.ToNear) }, wantAfter: true},
		{name: "cut both", do: func(r switchable) { r.Cut(relay.ToFar, relay.ToNear) }, wantAfter: true},
		{name: "silence", do: func(r switchable) { r.Silence() }, wantNew: true},
		{name: "delay", do: func(r switchable) { r.Delay(30 * time.Millisecond) }, wantOld: true, wantNew: true, wantSlow: 60 * time.Millisecond, wantAfter: true},
	}
	for _, kind := range kinds {
		for _, test := range tests {
			t.Run(kind.network+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				r, err := kind.start("127.0.0.1:0", kind.echo(t))
				if err != nil {
					t.Fatal(err)
				}
				defer r.Close()
				dial := func() net.Conn {
					c, err := net.Dial(kind.network, r.Address())
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { c.Close() })
					return c
				}
				wait := func(want bool) time.Duration {
					if want {
						return replyTimeout
					}
					return silenceTime
				}
				old := dial()
				if !echoes(t, old, replyTimeout) {
					t.Fatal("no echo before the change")
				}
				test.do(r)
				begin := time.Now()
				if got := echoes(t, old, wait(test.wantOld)); got != test.wantOld {
					t.Errorf("existing connection: got echo %v, want %v", got, test.wantOld)
				}
				if took := time.Since(begin); took < test.wantSlow {
					t.Errorf("echo after %v, want at least %v", took, test.wantSlow)
				}
				if got := echoes(t, dial(), wait(test.wantNew)); got != test.wantNew {
					t.Errorf("new connection: got echo %v, want %v", got, test.wantNew)
				}
				r.Heal()
				if kind.held && !test.wantOld && test.wantAfter && !arrives(t, old, replyTimeout) {
					t.Error("bytes sent into the cut were lost")
				}
				if got := echoes(t, old, wait(test.wantAfter)); got != test.wantAfter {
					t.Errorf("existing connection after a heal: got echo %v, want %v", got, test.wantAfter)
				}
			})
		}
	}
}

// TestStreamThroughTCP guards against bytes that are lost, changed or reordered,
// and against an end of the stream that does not pass through.
func TestStreamThroughTCP(t *testing.T) {
	r, err := relay.NewTCP("127.0.0.1:0", echoTCP(t))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Delay(time.Millisecond)
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(i ^ i>>8)
	}
	go func() {
		_, _ = c.Write(sent)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	if err := c.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(sent) {
		t.Errorf("got %d bytes that differ from the %d sent", len(got), len(sent))
	}
}
