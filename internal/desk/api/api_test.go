package api

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/peer/credential"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// fakeService is a registered service without behaviour of its own; the other
// fakes embed it.
type fakeService struct {
	name registry.Name
	done chan struct{}
}

func newFakeService(name registry.Name) fakeService { return fakeService{name, make(chan struct{})} }

func (f fakeService) Name() registry.Name                           { return f.name }
func (f fakeService) Start(context.Context, *registry.Kernel) error { return nil }
func (f fakeService) Stop(context.Context) error                    { close(f.done); return nil }
func (f fakeService) Done() <-chan struct{}                         { return f.done }

// fakeConfig returns for each change the result and the error that are listed
// under its operation id.
type fakeConfig struct {
	fakeService
	results map[unit.OperationID]change.Result
	errors  map[unit.OperationID]error
}

var currentRevision = spec.Revision{Number: 7, Author: "asha", Document: spec.Document{Zones: []spec.Zone{{Name: "guj-morbi", Out: true}}}}

func (f fakeConfig) Current() spec.Revision { return currentRevision }
func (f fakeConfig) StartUntil() time.Time  { return time.Time{} }
func (f fakeConfig) ServeUntil() time.Time  { return time.Now().Add(time.Hour) }

func (f fakeConfig) Apply(_ context.Context, c change.Change) (change.Result, error) {
	if c.Base != 7 || c.Author != "meera" {
		return change.Result{}, errors.Errorf("base %d by %s", c.Base, c.Author)
	}
	return f.results[c.Operation], f.errors[c.Operation]
}

func (f fakeConfig) SetZone(_ context.Context, _ unit.ZoneID, _ bool, _ unit.Operator, o unit.OperationID) (change.Result, error) {
	return f.results[o], f.errors[o]
}

func (f fakeConfig) Status(_ context.Context, q change.Query) (change.Result, error) {
	return f.results[q.Operation], nil
}

func (f fakeConfig) History(_ context.Context, limit int) ([]spec.Revision, error) {
	return make([]spec.Revision, limit), nil
}

type fakeJobs struct{ fakeService }

func (fakeJobs) Submit(_ context.Context, j queue.Job) error {
	if j.Author != "meera" {
		return errors.New("author of the body was kept")
	}
	return nil
}
func (fakeJobs) Cancel(context.Context, ...unit.JobID) error { return store.ErrUnknown }
func (fakeJobs) Job(context.Context, unit.JobID) (ledger.Record, error) {
	return ledger.Record{}, store.ErrNotFound
}
func (fakeJobs) Jobs(context.Context) ([]ledger.Record, error) { return nil, store.ErrUnavailable }

type fakeBurn struct{ fakeService }

func (fakeBurn) Report(time.Time, ...[]burn.Tally) burn.Report { return burn.Report{} }
func (fakeBurn) Tallies(time.Time) []burn.Tally                { return nil }

type fakeMembers struct{ fakeService }

func (fakeMembers) Self() unit.EntryID { return "e1" }
func (fakeMembers) View() roster.View {
	return roster.NewView([]roster.Entry{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}, 1)
}
func (fakeMembers) ValidUntil() time.Time { return time.Time{} }
func (fakeMembers) Lost() []roster.LostEntry {
	return []roster.LostEntry{{ID: "gone", Since: time.Now().Add(-time.Hour)}, {ID: "held", Since: time.Now().Add(-time.Hour), KeptServing: true}}
}
func (fakeMembers) Forget(_ context.Context, id unit.EntryID) error {
	switch id {
	case "lost":
		return nil
	case "late":
		return store.ErrUnknown
	default:
		return store.ErrNotFound
	}
}

type fakePeers struct{ fakeService }

func (fakePeers) Handle(message.Kind, message.Handler) {}
func (fakePeers) Call(_ context.Context, to unit.EntryID, m message.Message) (message.Message, error) {
	if to == "e3" {
		return nil, errors.New("out of reach")
	}
	if ask, ok := m.(message.ExplainRequest); ok {
		return message.ExplainReply{Events: []journal.Event{{What: ask.Subject.ID}}}, nil
	}
	return message.BurnReply{}, nil
}

type testServer struct {
	service   *Service
	authority *credential.Authority
	roots     *x509.CertPool
}

func startServer(t *testing.T, options Options) *testServer {
	t.Helper()
	authority, err := credential.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	bundle, err := authority.IssueEntry(net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	if options.Credentials, err = credential.NewSource(bundle); err != nil {
		t.Fatal(err)
	}
	options.Address = "127.0.0.1:0"
	s := &testServer{service: New(logr.Discard(), options), authority: authority, roots: x509.NewCertPool()}
	s.roots.AppendCertsFromPEM(bundle.Authority)
	configuration := fakeConfig{newFakeService("config"), map[unit.OperationID]change.Result{
		"accepted": {Outcome: change.Accepted},
		"pending":  {Outcome: change.Pending, Revision: spec.Revision{Number: 8}},
		"unknown":  {Outcome: change.Unknown},
		"conflict": {Outcome: change.Conflict, Revision: currentRevision},
	}, map[unit.OperationID]error{"down": store.ErrUnavailable, "zone": change.ErrUnknownZone}}
	records := journal.NewService(time.Now())
	records.Record(journal.Event{Subjects: []journal.Subject{{Kind: journal.KindTask, ID: "j/1"}}, What: "own"})
	k := registry.New()
	for _, x := range []registry.Service{configuration, fakeJobs{newFakeService("dispatch")}, fakeBurn{newFakeService("burn")}, records,
		fakeMembers{newFakeService("membership")}, fakePeers{newFakeService("peers")}, s.service} {
		if err := k.Register(x); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return s
}

// call sends one request and returns the status and the body of the response.
func (s *testServer) call(t *testing.T, method, path string, header map[string]string, body string, bundles ...credential.Bundle) (int, string) {
	t.Helper()
	tlsConfig := &tls.Config{RootCAs: s.roots}
	for _, p := range bundles {
		certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
		if err != nil {
			t.Fatal(err)
		}
		tlsConfig.Certificates = append(tlsConfig.Certificates, certificate)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(t.Context(), method, "https://"+s.service.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

var operators = []Operator{
	{Name: "meera", Role: RoleOperator, Token: HashToken("secret")},
	{Name: "board", Role: RoleReader, Token: HashToken("look")},
	{Name: "tool", Role: RoleReader, Certificate: true},
}

// TestRequests guards against changes by operators without the role, failures that
// are answered like a success, and errors that don't say what to do next.
func TestRequests(t *testing.T) {
	s := startServer(t, Options{Operators: operators})
	document := `{"classes": [], "zones": [{"name": "z"}]}`
	tests := []struct {
		name   string
		method string
		path   string
		token  string
		header string // operation id; if set, the base revision is sent too
		body   string
		status int
		want   string // substring of the response body
	}{
		{"no token", "GET", "/v1/target", "", "", "", 401, `"code":"access"`},
		{"wrong token", "GET", "/v1/target", "secrets", "", "", 401, `"code":"access"`},
		{"reader reads", "GET", "/v1/target", "look", "", "", 200, `"number":7`},
		{"reader changes", "POST", "/v1/zones/z/out", "look", "accepted", "", 403, `"code":"role"`},
		{"accepted", "PUT", "/v1/target", "secret", "accepted", document, 200, `"outcome":"accepted"`},
		{"pending", "PUT", "/v1/target", "secret", "pending", document, 202, "status?revision=8"},
		{"unknown", "PUT", "/v1/target", "secret", "unknown", document, 504, "repeat the call with the header Monsoonfold-Operation: unknown"},
		{"conflict", "PUT", "/v1/target", "secret", "conflict", document, 412, "revision 7 by asha came first"},
		{"store down", "PUT", "/v1/target", "secret", "down", document, 503, `"code":"store"`},
		{"no base", "PUT", "/v1/target", "secret", "", document, 428, `"code":"base"`},
		{"invalid document", "PUT", "/v1/target", "secret", "accepted", `{"zones": []}`, 422, `"path":"/zones","line":1,"column":2`},
		{"document too large", "PUT", "/v1/target", "secret", "accepted", strings.Repeat(" ", spec.MaxSize+1), 413, `"code":"size"`},
		{"zone out", "POST", "/v1/zones/z/out", "secret", "accepted", "", 200, `"operation":"accepted"`},
		{"no such zone", "POST", "/v1/zones/z/in", "secret", "zone", "", 404, `"code":"missing"`},
		{"zones", "GET", "/v1/zones", "look", "", "", 200, `{"revision":7,"zones":[{"name":"guj-morbi","out":true}]}`},
		{"history", "GET", "/v1/target/history?limit=2", "look", "", "", 200, `"revisions":[{`},
		{"history with a malformed limit", "GET", "/v1/target/history?limit=x", "look", "", "", 400, `"code":"query"`},
		{"status of change", "GET", "/v1/target/status?operation=pending", "look", "", "", 200, `"outcome":"pending"`},
		{"status without a change", "GET", "/v1/target/status", "look", "", "", 400, `"code":"query"`},
		{"submit", "POST", "/v1/jobs", "secret", "", `{"id": "j", "class": "recon", "tasks": 1, "author": "other"}`, 201, `"author":"meera"`},
		{"submit unknown field", "POST", "/v1/jobs", "secret", "", `{"weight": 1}`, 422, `"code":"rejected"`},
		{"submit too large", "POST", "/v1/jobs", "secret", "", `{"payload": "` + strings.Repeat("x", maxBodyBytes) + `"}`, 413, `"code":"size"`},
		{"cancel", "DELETE", "/v1/jobs/j", "secret", "", "", 504, `"code":"unknown"`},
		{"no such job", "GET", "/v1/jobs/j", "look", "", "", 404, `"code":"missing"`},
		{"jobs", "GET", "/v1/jobs", "look", "", "", 503, `"code":"store"`},
		{"burn names entries that did not answer", "GET", "/v1/burn", "look", "", "", 200, `"missing":["e3"]`},
		{"reader forgets an entry", "DELETE", "/v1/entries/lost", "look", "", "", 403, `"code":"role"`},
		{"forget an entry", "DELETE", "/v1/entries/lost", "secret", "", "", 200, `"id":"lost"`},
		{"forget with a lost answer of the store", "DELETE", "/v1/entries/late", "secret", "", "", 504, `"code":"unknown"`},
		{"forget an entry that is not lost", "DELETE", "/v1/entries/none", "secret", "", "", 404, `"code":"missing"`},
		{"events of a forgotten entry", "GET", "/v1/explain/entry/lost", "look", "", "", 200, `operator meera states that the instance is gone`},
		{"events of an entry that is not lost", "GET", "/v1/explain/entry/none", "look", "", "", 200, `"events":[]`},
		{"explain", "GET", "/v1/explain/task/j/1", "look", "", "", 200, `"what":"own"`},
		{"explain of peers", "GET", "/v1/explain/task/j%2F1", "look", "", "", 200, `"what":"j/1"`},
		{"explain with a peer out of reach", "GET", "/v1/explain/task/j/1", "look", "", "", 200, `"error":"out of reach"`},
		{"status", "GET", "/v1/status", "look", "", "", 200, `"registered":false,"starts":false,"serves":true`},
		{"status of a lost entry", "GET", "/v1/status", "look", "", "", 200, `"changes":false,"slots":true},{"entry":"held"`},
		{"status of a lost entry that peers keep serving", "GET", "/v1/status", "look", "", "", 200, `"changes":true,"slots":true}]`},
		{"no such path", "GET", "/v1/weights", "look", "", "", 404, `"code":"path"`},
		{"no such method", "DELETE", "/v1/target", "secret", "", "", 405, `"code":"method"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			header := map[string]string{"Authorization": "Bearer " + tt.token}
			if tt.header != "" {
				header[answer.OperationHeader] = tt.header
				header["If-Match"] = `"7"`
			}
			s.service.SetOperators(nil) // resets the rate limiters
			s.service.SetOperators(operators)
			status, body := s.call(t, tt.method, tt.path, header, tt.body)
			if status != tt.status || !strings.Contains(body, tt.want) {
				t.Errorf("%d %s; want %d with %s", status, body, tt.status, tt.want)
			}
			var result answer.ErrorBody
			if err := json.Unmarshal([]byte(body), &result); err != nil {
				t.Errorf("response is not JSON: %v", err)
			}
			if status >= 300 && (result.Error == nil || result.Error.Message == "" || result.Error.NextStep == "") {
				t.Errorf("error without message and next step: %s", body)
			}
		})
	}
}

// TestCertificates guards against access with the certificate of an entry, or of
// an operator who is not listed as one with a certificate.
func TestCertificates(t *testing.T) {
	s := startServer(t, Options{Operators: append(operators, Operator{Name: credential.EntryName, Role: RoleOperator, Certificate: true})})
	tests := []struct {
		name   string
		issue  func() (credential.Bundle, error)
		status int
	}{
		{"listed operator", func() (credential.Bundle, error) { return s.authority.IssueOperator("tool") }, 200},
		{"operator with token only", func() (credential.Bundle, error) { return s.authority.IssueOperator("meera") }, 401},
		{"entry", func() (credential.Bundle, error) { return s.authority.IssueEntry() }, 401},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bundle, err := tt.issue()
			if err != nil {
				t.Fatal(err)
			}
			if status, body := s.call(t, "GET", "/v1/zones", nil, "", bundle); status != tt.status {
				t.Errorf("%d %s; want %d", status, body, tt.status)
			}
		})
	}
}

// TestConnectionLimit guards against clients without access that exhaust the memory
// and the file descriptors of an entry with idle connections.
func TestConnectionLimit(t *testing.T) {
	s := startServer(t, Options{Operators: operators, MaxConnections: 1})
	idle, err := net.Dial("tcp", s.service.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	tlsConfig := &tls.Config{RootCAs: s.roots}
	tests := []struct {
		name      string
		closeIdle bool // close the idle connection first
		wait      time.Duration
		served    bool
	}{
		{"at the limit", false, 500 * time.Millisecond, false},
		{"idle connection closed", true, 4 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.closeIdle {
				idle.Close()
			}
			c, err := tls.DialWithDialer(&net.Dialer{Timeout: tt.wait}, "tcp", s.service.Address(), tlsConfig)
			if err == nil {
				c.Close()
			}
			if (err == nil) != tt.served {
				t.Errorf("handshake: %v; want served = %v", err, tt.served)
			}
		})
	}
}

// TestRateLimit guards against an operator whose calls use up the rate limit of another.
func TestRateLimit(t *testing.T) {
	s := startServer(t, Options{Operators: operators})
	limited := false
	for range 20 { // a call may get a permit that was refilled after the loop below drained the limiter
		for s.service.authenticator.allow("board") {
		}
		status, _ := s.call(t, "GET", "/v1/zones", map[string]string{"Authorization": "Bearer look"}, "")
		limited = limited || status == http.StatusTooManyRequests
	}
	if !limited {
		t.Error("no call of the busy operator was rejected")
	}
	if status, body := s.call(t, "GET", "/v1/zones", map[string]string{"Authorization": "Bearer secret"}, ""); status != 200 {
		t.Errorf("call of the other operator: %d %s", status, body)
	}
}

// TestOperatorsFile guards against an invalid file that grants or revokes access,
// and against a token that stays valid after its replacement.
func TestOperatorsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operators.json")
	write := func(content string) {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list := func(token string) string {
		return `{"operators": [{"name": "meera", "role": "operator", "token": "` + HashToken(token) + `"}]}`
	}
	write(list("old"))
	s := startServer(t, Options{OperatorsFile: file})
	tests := []struct {
		name    string
		content string
		wantErr string
		valid   string
		invalid string
	}{
		{"file unchanged", list("old"), "", "old", "new"},
		{"truncated file", list("new")[:30], "unexpected EOF", "old", "new"},
		{"no credential", `{"operators": [{"name": "meera", "role": "operator"}]}`, "neither token nor certificate", "old", "new"},
		{"token replaced", list("new"), "", "new", "old"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			write(tt.content)
			_, err := s.service.authenticator.reload()
			if text := errorText(err); (text == "") != (tt.wantErr == "") || !strings.Contains(text, tt.wantErr) {
				t.Errorf("reload = %v, want %q", err, tt.wantErr)
			}
			var got []int
			for _, token := range []string{tt.valid, tt.invalid} {
				status, _ := s.call(t, "GET", "/v1/zones", map[string]string{"Authorization": "Bearer " + token}, "")
				got = append(got, status)
			}
			if diff := cmp.Diff([]int{200, 401}, got); diff != "" {
				t.Errorf("status with the valid and the invalid token (-want +got):\n%s", diff)
			}
		})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
