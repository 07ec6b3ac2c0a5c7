// Package client calls the operator API of the entries.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/ledger"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/target/change"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

const (
	// callTimeout bounds one call at one entry; an entry answers within 10 s.
	callTimeout = 15 * time.Second
	// maxAnswer bounds an answer; 200 revisions of a usual document are 10 MB.
	maxAnswer = 64 << 20
)

// Options are the settings of a Client.
type Options struct {
	Addresses   []string // IP and port of entries, tried in order
	Authority   []byte   // PEM
	Token       string
	Certificate *tls.Certificate // in place of a token
}

// Client calls the entries. A call is made again at the next address if one
// cannot be reached or gives no answer. That is safe, since every change carries
// an id by which its repetition is recognized.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("no address of an entry")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(o.Authority) {
		return nil, errors.New("parse authority: no certificate found")
	}
	configuration := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	if o.Certificate != nil {
		configuration.Certificates = []tls.Certificate{*o.Certificate}
	}
	return &Client{
		addresses: o.Addresses,
		token:     o.Token,
		http:      &http.Client{Transport: &http.Transport{TLSClientConfig: configuration, IdleConnTimeout: time.Minute}},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Target returns the current revision.
func (c *Client) Target(ctx context.Context) (spec.Revision, error) {
	var r spec.Revision
	return r, c.get(ctx, "/v1/target", nil, &r)
}

// Apply sends a new document on top of a base. An empty operation gets a new id.
// Every outcome but a fault is an answer without an error.
func (c *Client) Apply(ctx context.Context, base unit.Revision, operation unit.OperationID, text []byte) (answer.Change, error) {
	header := http.Header{"If-Match": {strconv.Quote(decimal(base))}}
	return c.change(ctx, http.MethodPut, "/v1/target", operation, header, text)
}

// SetZone takes a zone out of service or returns it.
func (c *Client) SetZone(ctx context.Context, zone unit.ZoneID, out bool, operation unit.OperationID) (answer.Change, error) {
	verb := "/in"
	if out {
		verb = "/out"
	}
	return c.change(ctx, http.MethodPost, "/v1/zones/"+url.PathEscape(string(zone))+verb, operation, http.Header{}, nil)
}

// ChangeStatus tells the outcome of an earlier change.
func (c *Client) ChangeStatus(ctx context.Context, q change.Query) (change.Result, error) {
	values := url.Values{}
	if q.Revision != 0 {
		values.Set("revision", decimal(q.Revision))
	}
	if q.Operation != "" {
		values.Set("operation", string(q.Operation))
		values.Set("base", decimal(q.Base))
	}
	var r change.Result
	return r, c.get(ctx, "/v1/target/status", values, &r)
}

// History returns the last revisions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]spec.Revision, error) {
	var h answer.History
	err := c.get(ctx, "/v1/target/history", url.Values{"limit": {strconv.Itoa(limit)}}, &h)
	return h.Revisions, err
}

// Zones returns the availability zones.
func (c *Client) Zones(ctx context.Context) (answer.Zones, error) {
	var z answer.Zones
	return z, c.get(ctx, "/v1/zones", nil, &z)
}

// Submit submits a job. An empty id gets a new one.
func (c *Client) Submit(ctx context.Context, j queue.Job) (queue.Job, error) {
	if j.ID == "" {
		j.ID = unit.JobID(strings.ToLower(rand.Text()))
	}
	if j.Time == 0 {
		j.Time = time.Now().UnixMilli() // a repetition must be the same job
	}
	body, err := json.Marshal(j)
	if err != nil {
		return queue.Job{}, errors.Errorf("encode job: %w", err)
	}
	var submitted queue.Job
	return submitted, c.call(ctx, http.MethodPost, "/v1/jobs", http.Header{}, body, &submitted)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id unit.JobID) error {
	var cancelled answer.CancelledJob
	return c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), http.Header{}, nil, &cancelled)
}

// Forget states that the instance of a lost entry is gone.
func (c *Client) Forget(ctx context.Context, id unit.EntryID) error {
	var forgotten answer.ForgottenEntry
	return c.call(ctx, http.MethodDelete, "/v1/entries/"+url.PathEscape(string(id)), http.Header{}, nil, &forgotten)
}

// Job returns the record of a job.
func (c *Client) Job(ctx context.Context, id unit.JobID) (ledger.Record, error) {
	var r ledger.Record
	return r, c.get(ctx, "/v1/jobs/"+url.PathEscape(string(id)), nil, &r)
}

// Jobs returns the records of all jobs.
func (c *Client) Jobs(ctx context.Context) ([]ledger.Record, error) {
	var j answer.Jobs
	err := c.get(ctx, "/v1/jobs", nil, &j)
	return j.Jobs, err
}

// Burn returns the error budgets and burn rates.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	var r burn.Report
	return r, c.get(ctx, "/v1/burn", nil, &r)
}

// Explain returns what all entries know about a subject.
func (c *Client) Explain(ctx context.Context, s journal.Subject) (answer.Explanation, error) {
	var e answer.Explanation
	return e, c.get(ctx, "/v1/explain/"+url.PathEscape(string(s.Kind))+"/"+url.PathEscape(s.ID), nil, &e)
}

// Status returns the state of the first entry that answers.
func (c *Client) Status(ctx context.Context) (answer.Status, error) {
	var s answer.Status
	return s, c.get(ctx, "/v1/status", nil, &s)
}

func (c *Client) change(ctx context.Context, method, path string, operation unit.OperationID, header http.Header, body []byte) (answer.Change, error) {
	if operation == "" {
		operation = unit.OperationID(rand.Text())
	}
	header.Set(answer.OperationHeader, string(operation))
	var result answer.Change
	err := c.call(ctx, method, path, header, body, &result)
	result.Operation = operation
	return result, err
}

func (c *Client) get(ctx context.Context, path string, values url.Values, into any) error {
	if len(values) > 0 {
		path += "?" + values.Encode()
	}
	return c.call(ctx, http.MethodGet, path, http.Header{}, nil, into)
}

// call makes a call at each address until one answers.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, into any) error {
	var faults []error
	for _, address := range c.addresses {
		err := c.callAt(ctx, address, method, path, header, body, into)
		if _, answered := errors.Into[*answer.Fault](err); err == nil || answered {
			return err
		}
		faults = append(faults, errors.Errorf("entry %s: %w", address, err))
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(faults...)
}

func (c *Client) callAt(ctx context.Context, address, method, path string, header http.Header, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Errorf("build request: %w", err)
	}
	req.Header = header.Clone()
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Errorf("read answer: %w", err)
	}
	return decode(resp.StatusCode, data, into)
}

// decode reads an answer. That of a change may carry both an outcome and an
// error; the outcome is then what counts.
func decode(status int, data []byte, into any) error {
	if status >= http.StatusMultipleChoices {
		var failure struct {
			answer.ErrorBody
			Outcome change.Outcome `json:"outcome"`
		}
		if err := json.Unmarshal(data, &failure); err != nil || failure.Error == nil {
			return errors.Errorf("status %d without a fault", status)
		}
		if failure.Outcome == "" {
			return failure.Error
		}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Errorf("decode answer: %w", err)
	}
	return nil
}

func decimal(n unit.Revision) string { return strconv.FormatUint(uint64(n), 10) }
