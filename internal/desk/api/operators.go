package api

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	_ "embed" // embeds the schema of the operators' file
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

// Role determines which calls an operator may make.
type Role string

// Roles of operators.
const (
	RoleReader   Role = "reader"   // may read
	RoleOperator Role = "operator" // may read and change
)

// Operator is a person or a tool with access to the API.
type Operator struct {
	Name        unit.Operator `json:"name"`
	Role        Role          `json:"role"`
	Token       string        `json:"token,omitempty"`       // SHA-256 of the bearer token in hexadecimal
	Certificate bool          `json:"certificate,omitempty"` // a client certificate with this common name is accepted
}

// HashToken returns the hash of a bearer token. The operators' file holds only
// hashes, so that reading the file gives no access.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

//go:embed tokens.schema.json
var operatorsSchemaSource []byte

var operatorsSchema = document.MustCompile("tokens.schema.json", operatorsSchemaSource)

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
	seenNames, seenTokens := map[unit.Operator]bool{}, map[string]bool{}
	for i, o := range content.Operators {
		add := func(message string) {
			faults = append(faults, document.Fault{Path: document.Pointer("operators", i), Message: message})
		}
		if seenNames[o.Name] {
			add("name stands twice")
		}
		if o.Token != "" && seenTokens[o.Token] {
			add("token stands twice")
		}
		if o.Token == "" && !o.Certificate {
			add("neither token nor certificate")
		}
		seenNames[o.Name], seenTokens[o.Token] = true, true
	}
	return content.Operators, d.LocateFaults(faults)
}

// Rate limits. Those of one operator leave enough for a person with scripts, and
// keep a runaway tool from taking the entry's time for other work.
const (
	operatorCallsPerSecond = 20
	operatorBurst          = 40
	// Failed authentications are limited over all callers together.
	failuresPerSecond = 10
	failureBurst      = 50
)

// authenticator identifies operators and limits their rates of calls. It is safe
// for concurrent use.
type authenticator struct {
	operatorsFile  string // empty if the operators come from set alone
	failureLimiter *rate.Limiter
	operators      atomic.Pointer[[]Operator]

	mu          sync.Mutex
	lastContent []byte // content of the file at the last reload
	limiters    map[unit.Operator]*rate.Limiter
}

func newAuthenticator(file string) *authenticator {
	a := &authenticator{operatorsFile: file, failureLimiter: rate.NewLimiter(failuresPerSecond, failureBurst)}
	a.set(nil)
	return a
}

// set replaces the operators. An operator who is in both lists keeps the rate
// limiter.
func (a *authenticator) set(operators []Operator) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limiters := map[unit.Operator]*rate.Limiter{}
	for _, o := range operators {
		limiters[o.Name] = a.limiters[o.Name]
		if limiters[o.Name] == nil {
			limiters[o.Name] = rate.NewLimiter(operatorCallsPerSecond, operatorBurst)
		}
	}
	a.limiters = limiters
	a.operators.Store(&operators)
}

// reload reads the operators' file again and reports whether it changed. If the
// file is invalid, the previous operators stay in use.
func (a *authenticator) reload() (bool, error) {
	if a.operatorsFile == "" {
		return false, nil
	}
	data, err := os.ReadFile(a.operatorsFile)
	if err != nil {
		return false, errors.Errorf("read operators: %w", err)
	}
	a.mu.Lock()
	same := bytes.Equal(data, a.lastContent)
	a.lastContent = data
	a.mu.Unlock()
	if same {
		return false, nil
	}
	operators, err := ParseOperators(a.operatorsFile, data)
	if err != nil {
		return true, errors.Errorf("read operators: %w", err)
	}
	a.set(operators)
	return true, nil
}

// identify returns the operator who sent a request, by bearer token or by client
// certificate. It compares all tokens, each in constant time, so that the time
// taken reveals nothing about them.
func (a *authenticator) identify(r *http.Request) (Operator, bool) {
	operators := *a.operators.Load()
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

// allow reports whether the rate limit of the operator admits one more call now,
// and counts the call if so.
func (a *authenticator) allow(name unit.Operator) bool {
	a.mu.Lock()
	l := a.limiters[name]
	a.mu.Unlock()
	return l != nil && l.Allow()
}

// certificateName returns the common name of a verified client certificate. It
// rejects the certificates of entries: the same authority issues them, and they
// identify no operator.
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
