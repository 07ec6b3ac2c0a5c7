package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// maxAnswer limits the size of an answer; a list of 4,400 instances is about 1.5 MB.
const maxAnswer = 16 << 20

// Client calls the service over HTTP. It is safe for concurrent use and does not
// retry.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Uint64
}

// NewClient returns a client of the service at address, which is an IP and a port.
func NewClient(address string) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 8,
				IdleConnTimeout:     30 * time.Second,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Calls returns the number of calls made. A watch counts as one call.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one record.
func (c *Client) Get(ctx context.Context, key Key) (Record, error) {
	var r Record
	err := c.call(ctx, http.MethodGet, recordPath(key), nil, nil, &r)
	if err != nil {
		return Record{}, errors.Errorf("get %s: %w", key, err)
	}
	return r, nil
}

// List reads all records whose keys begin with prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix Key) (Snapshot, error) {
	var s Snapshot
	err := c.call(ctx, http.MethodGet, "/v1/records", url.Values{"prefix": {string(prefix)}}, nil, &s)
	if err != nil {
		return Snapshot{}, errors.Errorf("list %s: %w", prefix, err)
	}
	return s, nil
}

// Put writes a record if the condition holds, and returns the revision of the write.
// The record is attached to the lease unless that is empty.
func (c *Client) Put(ctx context.Context, key Key, value []byte, cond Condition, lease LeaseID) (unit.Revision, error) {
	q := cond.query()
	if lease != "" {
		q.Set("lease", string(lease))
	}
	var answer struct {
		Revision unit.Revision `json:"revision"`
	}
	if err := c.call(ctx, http.MethodPut, recordPath(key), q, value, &answer); err != nil {
		return 0, errors.Errorf("put %s: %w", key, err)
	}
	return answer.Revision, nil
}

// Delete deletes a record if the condition holds.
func (c *Client) Delete(ctx context.Context, key Key, cond Condition) error {
	if err := c.call(ctx, http.MethodDelete, recordPath(key), cond.query(), nil, nil); err != nil {
		return errors.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Watch waits until a record under prefix changes after the given revision or wait has
// passed, and returns the changes, if any.
func (c *Client) Watch(ctx context.Context, prefix Key, after unit.Revision, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+Timeout)
	defer cancel()
	q := url.Values{
		"prefix": {string(prefix)},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.String()},
	}
	var changes Changes
	if err := c.send(ctx, http.MethodGet, "/v1/watch", q, nil, &changes); err != nil {
		return Changes{}, errors.Errorf("watch %s: %w", prefix, err)
	}
	return changes, nil
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var l Lease
	err := c.call(ctx, http.MethodPost, "/v1/leases", url.Values{"ttl": {ttl.String()}}, nil, &l)
	if err != nil {
		return Lease{}, errors.Errorf("grant lease: %w", err)
	}
	return l, nil
}

// Renew restarts the TTL of a lease. ErrNotFound means that the lease has ended.
func (c *Client) Renew(ctx context.Context, id LeaseID) error {
	path := "/v1/leases/" + url.PathEscape(string(id)) + "/renew"
	if err := c.call(ctx, http.MethodPost, path, nil, nil, nil); err != nil {
		return errors.Errorf("renew lease: %w", err)
	}
	return nil
}

// Revoke ends a lease and deletes its records.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	path := "/v1/leases/" + url.PathEscape(string(id))
	if err := c.call(ctx, http.MethodDelete, path, nil, nil, nil); err != nil {
		return errors.Errorf("revoke lease: %w", err)
	}
	return nil
}

// Instances reads the instance list.
func (c *Client) Instances(ctx context.Context) (Listing, error) {
	var l Listing
	if err := c.call(ctx, http.MethodGet, "/v1/instances", nil, nil, &l); err != nil {
		return Listing{}, errors.Errorf("read instance list: %w", err)
	}
	return l, nil
}

// InstanceChanges reads the difference of the instance list from an earlier revision.
// The service sends the whole list if it no longer has that revision. A list of 4,400
// instances is about 1.5 MB, which is too much to read every second.
func (c *Client) InstanceChanges(ctx context.Context, after unit.Revision) (Listing, error) {
	var l Listing
	q := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	if err := c.call(ctx, http.MethodGet, "/v1/instances", q, nil, &l); err != nil {
		return Listing{}, errors.Errorf("read changes of the instance list: %w", err)
	}
	return l, nil
}

func (c *Client) call(ctx context.Context, method, path string, q url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	return c.send(ctx, method, path, q, body, answer)
}

func (c *Client) send(ctx context.Context, method, path string, q url.Values, body []byte, answer any) error {
	c.calls.Add(1)
	var written atomic.Bool // a connection was assigned, so bytes may have been sent
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	target := c.base + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Errorf("build request: %w", err)
	}
	req.GetBody = nil // the transport must not retry a request that may have been sent
	resp, err := c.http.Do(req)
	if err != nil {
		return lostCallError(method, written.Load(), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return lostCallError(method, true, err)
	}
	return decodeAnswer(resp.StatusCode, data, answer)
}

// lostCallError returns the error of a call without a complete answer. Only a write that may
// have reached the service has an unknown outcome.
func lostCallError(method string, written bool, cause error) error {
	kind := ErrUnavailable
	if written && method != http.MethodGet {
		kind = ErrUnknown
	}
	return errors.Errorf("%v: %w", cause, kind)
}

func decodeAnswer(status int, data []byte, answer any) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrGone
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return errors.Errorf("status %d: %w", status, ErrUnavailable)
	case status >= http.StatusInternalServerError:
		return errors.Errorf("status %d: %w", status, ErrUnknown)
	case status >= http.StatusBadRequest:
		return errors.Errorf("status %d: %s", status, bytes.TrimSpace(data))
	case status != http.StatusOK:
		return errors.Errorf("status %d: %w", status, ErrUnknown)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Errorf("decode answer: %v: %w", err, ErrUnknown)
	}
	return nil
}

// recordPath returns the escaped path of a record, since ids within a key may contain
// any character.
func recordPath(key Key) string {
	u := url.URL{Path: "/v1/records/" + string(key)}
	return u.EscapedPath()
}

func (c Condition) query() url.Values {
	q := url.Values{}
	switch c.kind {
	case conditionAbsent:
		q.Set("if", "absent")
	case conditionRevision:
		q.Set("if", strconv.FormatUint(uint64(c.revision), 10))
	}
	return q
}
