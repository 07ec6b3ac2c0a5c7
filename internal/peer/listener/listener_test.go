package listener

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/quic-go/quic-go"
)

func serverConfig(t *testing.T) *tls.Config {
	t.Helper()
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, &template, &template, public, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}}, NextProtos: []string{"test"}}
}

// TestLimits guards against clients without a key that keep peers out or exhaust the memory
// of an entry with handshakes that they don't complete, and against connections that count
// after they have ended.
func TestLimits(t *testing.T) {
	tests := []struct {
		name       string
		limits     Limits
		handshakes int // that stay under way
		open       int // connections that stay open
		closed     int // connections that are closed again
		accepted   bool
	}{
		{"below the limits", Limits{Connections: 3, Handshakes: 3, UnverifiedHandshakes: 2}, 1, 1, 0, true},
		{"address verified first", Limits{Connections: 3, Handshakes: 3, UnverifiedHandshakes: 0}, 1, 1, 0, true},
		{"too many handshakes", Limits{Connections: 9, Handshakes: 2, UnverifiedHandshakes: 2}, 2, 0, 0, false},
		{"too many connections", Limits{Connections: 2, Handshakes: 9, UnverifiedHandshakes: 2}, 0, 2, 0, false},
		{"ended connections", Limits{Connections: 2, Handshakes: 2, UnverifiedHandshakes: 2}, 0, 0, 5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := Listen(&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}, serverConfig(t), &quic.Config{HandshakeIdleTimeout: 5 * time.Second}, tt.limits)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for {
					if _, err := l.Accept(ctx); err != nil {
						return // the test ends
					}
				}
			}()
			defer func() {
				cancel()
				<-ended
				if err := l.CloseAll(); err != nil {
					t.Error(err)
				}
			}()
			dial := func(verify func() error) (*quic.Conn, error) {
				config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"test"}, VerifyConnection: func(tls.ConnectionState) error { return verify() }}
				return quic.DialAddr(ctx, l.Addr().String(), config, &quic.Config{HandshakeIdleTimeout: 5 * time.Second})
			}
			immediate := func() error { return nil }
			for range tt.handshakes {
				begun := make(chan struct{})
				go func() {
					_, _ = dial(func() error { // ends with the test
						close(begun)
						<-ctx.Done()
						return ctx.Err()
					})
				}()
				<-begun
			}
			for n := range tt.open + tt.closed {
				conn, err := dial(immediate)
				if err != nil {
					t.Fatal(err)
				}
				if n < tt.closed {
					_ = conn.CloseWithError(0, "") // the listener sees it
					time.Sleep(50 * time.Millisecond)
				}
			}
			_, err = dial(immediate)
			if diff := cmp.Diff(tt.accepted, err == nil); diff != "" {
				t.Errorf("accepted (-want +got), error %v:\n%s", err, diff)
			}
		})
	}
}
