// Package client is a client of the operator API.
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
	// callTimeout bounds a call to one entry. An entry answers within 10 s.
	callTimeout = 15 * time.Second
	// maxAnswerBytes bounds a response body. 200 revisions of a usual document are
	// 10 MB.
	maxAnswerBytes = 64 << 20
)

// Options are the settings of a Client.
type Options struct {
	Addresses   []string         // IP and port of each entry, tried in order
	Authority   []byte           // certificate authority of the entries, in PEM
	Token       string           // bearer token
	Certificate *tls.Certificate // client certificate, used instead of a token
}

// Client calls the entries. If an entry can't be reached or doesn't answer, the
// call is repeated at the next address. That is safe, since every change carries
// an id by which the entries recognize a repetition.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client that connects at the first call.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.New("no address of an entry")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(o.Authority) {
		return nil, errors.New("parse authority: no certificate found")
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	if o.Certificate != nil {
		tlsConfig.Certificates = []tls.Certificate{*o.Certificate}
	}
	return &Client{
		addresses: o.Addresses,
		token:     o.Token,
		http:      &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, IdleConnTimeout: time.Minute}},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Target returns the current revision.
func (c *Client) Target(ctx context.Context) (spec.Revision, error) {
	var r spec.Revision
	return r, c.get(ctx, "/v1/target", nil, &r)
}

// Apply sends a new target document that is based on the given revision. If
// operation is empty, a new id is chosen. Every outcome of the change is returned
// without an error, also one that is not accepted.
func (c *Client) Apply(ctx context.Context, base unit.Revision, operation unit.OperationID, text []byte) (answer.Change, error) {
	header := http.Header{"If-Match": {strconv.Quote(formatRevision(base))}}
	return c.sendChange(ctx, http.MethodPut, "/v1/target", operation, header, text)
}

// SetZone takes a zone out of service or returns it to service.
func (c *Client) SetZone(ctx context.Context, zone unit.ZoneID, out bool, operation unit.OperationID) (answer.Change, error) {
	verb := "/in"
	if out {
		verb = "/out"
	}
	return c.sendChange(ctx, http.MethodPost, "/v1/zones/"+url.PathEscape(string(zone))+verb, operation, http.Header{}, nil)
}

// ChangeStatus returns the outcome of an earlier change.
func (c *Client) ChangeStatus(ctx context.Context, q change.Query) (change.Result, error) {
	values := url.Values{}
	if q.Revision != 0 {
		values.Set("revision", formatRevision(q.Revision))
	}
	if q.Operation != "" {
		values.Set("operation", string(q.Operation))
		values.Set("base", formatRevision(q.Base))
	}
	var r change.Result
	return r, c.get(ctx, "/v1/target/status", values, &r)
}

// History returns up to limit revisions, newest first.
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

// Submit submits a job. If its id is empty, a new one is chosen.
func (c *Client) Submit(ctx context.Context, j queue.Job) (queue.Job, error) {
	if j.ID == "" {
		j.ID = unit.JobID(strings.ToLower(rand.Text()))
	}
	if j.Time == 0 {
		j.Time = time.Now().UnixMilli() // set here, so that a repetition sends the same job
	}
	body, err := json.Marshal(j)
	if err != nil {
		return queue.Job{}, errors.Errorf("encode job: %w", err)
	}
	var submitted queue.Job
	return submitted, c.callAny(ctx, http.MethodPost, "/v1/jobs", http.Header{}, body, &submitted)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id unit.JobID) error {
	var cancelled answer.CancelledJob
	return c.callAny(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), http.Header{}, nil, &cancelled)
}

// Forget declares that the instance of a lost entry is gone for good.
func (c *Client) Forget(ctx context.Context, id unit.EntryID) error {
	var forgotten answer.ForgottenEntry
	return c.callAny(ctx, http.MethodDelete, "/v1/entries/"+url.PathEscape(string(id)), http.Header{}, nil, &forgotten)
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

// Explain returns the events that all entries recorded about a subject.
func (c *Client) Explain(ctx context.Context, s journal.Subject) (answer.Explanation, error) {
	var e answer.Explanation
	return e, c.get(ctx, "/v1/explain/"+url.PathEscape(string(s.Kind))+"/"+url.PathEscape(s.ID), nil, &e)
}

// Status returns the state of the first entry that answers.
func (c *Client) Status(ctx context.Context) (answer.Status, error) {
	var s answer.Status
	return s, c.get(ctx, "/v1/status", nil, &s)
}

func (c *Client) sendChange(ctx context.Context, method, path string, operation unit.OperationID, header http.Header, body []byte) (answer.Change, error) {
	if operation == "" {
		operation = unit.OperationID(rand.Text())
	}
	header.Set(answer.OperationHeader, string(operation))
	var result answer.Change
	err := c.callAny(ctx, method, path, header, body, &result)
	result.Operation = operation
	return result, err
}

func (c *Client) get(ctx context.Context, path string, values url.Values, into any) error {
	if len(values) > 0 {
		path += "?" + values.Encode()
	}
	return c.callAny(ctx, http.MethodGet, path, http.Header{}, nil, into)
}

// callAny makes a call at one address after another until an entry answers.
func (c *Client) callAny(ctx context.Context, method, path string, header http.Header, body []byte, into any) error {
	var errs []error
	for _, address := range c.addresses {
		err := c.callAt(ctx, address, method, path, header, body, into)
		if _, answered := errors.Into[*answer.Fault](err); err == nil || answered {
			return err
		}
		errs = append(errs, errors.Errorf("entry %s: %w", address, err))
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(errs...)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Errorf("read answer: %w", err)
	}
	return decode(resp.StatusCode, data, into)
}

// decode parses a response. The response to a change may carry both an outcome
// and an error; the outcome is then returned, and the error is not.
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

func formatRevision(n unit.Revision) string { return strconv.FormatUint(uint64(n), 10) }
