package api

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	_ "embed" // for the schema
	"encoding/hex"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
)

// Role is what an operator may do.
type Role string

// Roles of operators.
const (
	RoleReader   Role = "reader"   // reads only
	RoleOperator Role = "operator" // reads and changes
)

// Operator is one person or tool with access.
type Operator struct {
	Name        unit.Operator `json:"name"`
	Role        Role          `json:"role"`
	Token       string        `json:"token,omitempty"`       // SHA-256 of the bearer token in hexadecimal
	Certificate bool          `json:"certificate,omitempty"` // a client certificate with this common name is accepted
}

// HashToken returns the form of a bearer token that the operators' file has, so
// that the file gives no access by itself.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

//go:embed tokens.schema.json
var operatorsSource []byte

var operatorsSchema = document.MustCompile("tokens.schema.json", operatorsSource)

// ParseOperators reads the operators' file. The error is a *document.Faults if
// the file is at fault.
func ParseOperators(file string, data []byte) ([]Operator, error) {
	var content struct {
		Operators []Operator `json:"operators"`
	}
	d, err := document.Decode(file, data, operatorsSchema, &content)
	if err != nil {
		return nil, err
	}
	var faults []document.Fault
	names, tokens := map[unit.Operator]bool{}, map[string]bool{}
	for i, o := range content.Operators {
		add := func(message string) {
			faults = append(faults, document.Fault{Path: document.Pointer("operators", i), Message: message})
		}
		if names[o.Name] {
			add("name stands twice")
		}
		if o.Token != "" && tokens[o.Token] {
			add("token stands twice")
		}
		if o.Token == "" && !o.Certificate {
			add("neither token nor certificate")
		}
		names[o.Name], tokens[o.Token] = true, true
	}
	return content.Operators, d.LocateFaults(faults)
}

// Limits of one operator: a person with scripts stays below them, and a runaway
// tool cannot keep the entry from its other work.
const (
	callsPerSecond = 20
	callBurst      = 40
	// failures bounds answers to calls without access, of all callers together.
	failuresPerSecond = 10
	failureBurst      = 50
)

// gate knows the operators. It is safe for concurrent use.
type gate struct {
	file     string // empty if the operators are set by the program
	failures *rate.Limiter
	current  atomic.Pointer[[]Operator]

	mu       sync.Mutex
	content  []byte // of the file
	limiters map[unit.Operator]*rate.Limiter
}

func newGate(file string) *gate {
	g := &gate{file: file, failures: rate.NewLimiter(failuresPerSecond, failureBurst)}
	g.set(nil)
	return g
}

// set replaces the operators. Limiters of those who stay are kept.
func (g *gate) set(operators []Operator) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limiters := map[unit.Operator]*rate.Limiter{}
	for _, o := range operators {
		limiters[o.Name] = g.limiters[o.Name]
		if limiters[o.Name] == nil {
			limiters[o.Name] = rate.NewLimiter(callsPerSecond, callBurst)
		}
	}
	g.limiters = limiters
	g.current.Store(&operators)
}

// reload reads the file again and reports whether it changed. If it is at fault,
// the operators in use stay.
func (g *gate) reload() (bool, error) {
	if g.file == "" {
		return false, nil
	}
	data, err := os.ReadFile(g.file)
	if err != nil {
		return false, errors.Errorf("read operators: %w", err)
	}
	g.mu.Lock()
	same := bytes.Equal(data, g.content)
	g.content = data
	g.mu.Unlock()
	if same {
		return false, nil
	}
	operators, err := ParseOperators(g.file, data)
	if err != nil {
		return true, errors.Errorf("read operators: %w", err)
	}
	g.set(operators)
	return true, nil
}

// identify returns the operator behind a request, by bearer token or by client
// certificate. All tokens are compared, in constant time each.
func (g *gate) identify(r *http.Request) (Operator, bool) {
	operators := *g.current.Load()
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		hash := []byte(HashToken(token))
		found := -1
		for i, o := range operators {
			if subtle.ConstantTimeCompare(hash, []byte(o.Token)) == 1 {
				found = i
			}
		}
		if found < 0 {
			return Operator{}, false
		}
		return operators[found], true
	}
	name, ok := certificateName(r.TLS)
	if !ok {
		return Operator{}, false
	}
	for _, o := range operators {
		if o.Certificate && string(o.Name) == name {
			return o, true
		}
	}
	return Operator{}, false
}

// allow reports whether the operator may make one more call now.
func (g *gate) allow(name unit.Operator) bool {
	g.mu.Lock()
	l := g.limiters[name]
	g.mu.Unlock()
	return l != nil && l.Allow()
}

// certificateName returns the common name of a verified client certificate. An
// entry's certificate is of the same authority and names no operator.
func certificateName(state *tls.ConnectionState) (string, bool) {
	if state == nil || len(state.VerifiedChains) == 0 {
		return "", false
	}
	leaf := state.VerifiedChains[0][0]
	if leaf.VerifyHostname(credential.EntryName) == nil {
		return "", false
	}
	return leaf.Subject.CommonName, true
}
