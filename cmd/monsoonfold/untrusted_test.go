package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/bench/process"
	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/desk/keys"
	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/standin/address"
	"github.com/monsoonfold/monsoonfold/internal/standin/platform"
	"github.com/monsoonfold/monsoonfold/internal/standin/worker"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// Limits of the entry under test. The bound of its memory is the limit that an entry assumes
// without a setting, and that of the descriptors leaves the part that is reserved for files.
const (
	untrustedMemory      = 256 << 20
	untrustedDescriptors = 900
	reservedDescriptors  = 200
)

// maxLogged is what an entry may write to stderr while untrusted clients are connected.
const maxLogged = 32 << 10

// The clients: each sends one body of legal size, and of ten clients nine stop short of its
// last byte. They stay connected.
const (
	untrustedClients  = 600
	untrustedBody     = 1 << 20
	untrustedPatience = 30 * time.Second // of a client whose bytes are not taken
)

const untrustedTargets = `{
  "classes": [{"name": "quote", "kind": "request", "service": "order-desk", "routes": [{"prefix": "/quote"}], "target": {"percentile": 99, "bound": "250ms"}}],
  "zones": [{"name": "guj-morbi"}]
}`

// entryProcess is an entry of the product's own front end in a process of its own, with
// stand-ins in that of the test.
type entryProcess struct {
	*process.Process
	listen settings.Listen
}

// startEntry starts an entry with one worker, and waits until it serves requests.
func startEntry(t *testing.T) *entryProcess {
	t.Helper()
	folder := t.TempDir()
	if err := keys.WriteFiles(folder, "asha", []net.IP{net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	w := worker.DefaultSettings("w1")
	w.Zone, w.Rack, w.Service = "guj-morbi", "r1", "order-desk"
	server := worker.New(w)
	startStandin(t, server)
	p := platform.New(platform.Settings{Address: "127.0.0.1:0", Instances: []store.Instance{server.Instance()}})
	startStandin(t, p)
	e := &entryProcess{}
	for _, each := range []*string{&e.listen.Callers, &e.listen.Peers, &e.listen.Operators, &e.listen.Metrics} {
		var err error
		if *each, err = address.Next(); err != nil {
			t.Fatal(err)
		}
	}
	e.Process = process.Start(t, untrustedDescriptors, process.Build(t, "."), "entry", "--settings", e.writeSettings(t, folder, p.Address()))
	e.applyTargets(t, folder)
	e.awaitOrdinary(t)
	return e
}

func startStandin(t *testing.T, s registry.Service) {
	t.Helper()
	k := registry.New()
	if err := k.Register(s); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
}

func (e *entryProcess) writeSettings(t *testing.T, folder, storeAddress string) (file string) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "entry-1", "zone": "guj-morbi", "store": storeAddress, "buckets": 1, "drain": "100ms", "listen": e.listen,
		"keys":   map[string]string{"certificate": keys.CertificateFile, "key": keys.KeyFile, "authority": keys.AuthorityFile},
		"tokens": keys.OperatorsFile,
	})
	if err != nil {
		t.Fatal(err)
	}
	file = filepath.Join(folder, "entry.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// waitLimit bounds the wait for a condition, which takes a few seconds on an idle machine.
const waitLimit = 60 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not seen within %s: %s", waitLimit, what)
}

func (e *entryProcess) applyTargets(t *testing.T, folder string) {
	t.Helper()
	authority, err := os.ReadFile(filepath.Join(folder, keys.AuthorityFile))
	if err != nil {
		t.Fatal(err)
	}
	token, err := os.ReadFile(filepath.Join(folder, keys.TokenFile))
	if err != nil {
		t.Fatal(err)
	}
	operator, err := client.New(client.Options{Addresses: []string{e.listen.Operators}, Authority: authority, Token: strings.TrimSpace(string(token))})
	if err != nil {
		t.Fatal(err)
	}
	defer operator.Close()
	eventually(t, "targets applied", func() bool {
		_, err := operator.Apply(t.Context(), 0, "", []byte(untrustedTargets))
		return err == nil
	})
}

// awaitOrdinary waits until an ordinary request is served.
func (e *entryProcess) awaitOrdinary(t *testing.T) {
	t.Helper()
	eventually(t, "an ordinary request is answered", func() bool {
		c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := c.Get("http://" + e.listen.Callers + "/quote")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// connectAll opens the connections of all clients and lets each send its body. It returns
// when all have sent theirs or failed.
func connectAll(t *testing.T, address, header string) {
	body := bytes.Repeat([]byte{' '}, untrustedBody)
	var sending sync.WaitGroup
	for id := range untrustedClients {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp", address, untrustedPatience)
			if err != nil {
				return // the entry may turn clients away
			}
			t.Cleanup(func() { c.Close() })
			sent := body[1:]
			if id%10 == 0 {
				sent = body
			}
			_ = c.SetWriteDeadline(time.Now().Add(untrustedPatience)) // fails only on a closed connection
			if _, err := fmt.Fprintf(c, "%s\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", header, untrustedBody); err != nil {
				return
			}
			_, _ = c.Write(sent) // the entry may close the connection
		})
	}
	sending.Wait()
}

// TestUntrustedClients guards against an entry whose memory or descriptors are exhausted by
// clients that send many bodies of legal size at once, that logs each of them, or that no
// longer answers others.
func TestUntrustedClients(t *testing.T) {
	tests := []struct {
		name     string
		listener func(settings.Listen) string
		header   string
	}{
		{"callers", func(l settings.Listen) string { return l.Callers }, "POST /quote HTTP/1.1"},
		{"operators, without TLS", func(l settings.Listen) string { return l.Operators }, "POST /v1/jobs HTTP/1.1"},
		{"metrics", func(l settings.Listen) string { return l.Metrics }, "POST /readyz HTTP/1.1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := startEntry(t)
			t.Logf("at rest: %d KB", e.PeakMemory()>>10)
			connectAll(t, tt.listener(e.listen), tt.header)
			bounds := process.Bounds{Memory: untrustedMemory, Descriptors: untrustedDescriptors - reservedDescriptors}
			e.CheckBounds(bounds, func() { e.awaitOrdinary(t) })
			if logged := e.Logged(); logged > maxLogged {
				t.Errorf("%d bytes logged, want at most %d", logged, maxLogged)
			}
		})
	}
}
