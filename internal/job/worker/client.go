package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a call. Use errors.Is.
var (
	// ErrStaleEpoch means that the worker has seen a higher epoch of the shard and
	// did nothing. The error is a StaleEpoch, which carries that epoch.
	ErrStaleEpoch = errors.New("stale epoch")
	// ErrUnavailable means that the call was certainly not sent.
	ErrUnavailable = errors.New("worker unavailable")
	// ErrUnknown means that the call may have been sent and no complete response
	// was received. A Report shows what has taken effect so far, but an order
	// still in transit may take effect later: a start until its NotAfter, any
	// other until the worker has seen a higher epoch.
	ErrUnknown = errors.New("outcome of the worker call unknown")
)

// Timeout is the timeout of each call. A heartbeat is due every 5 s, and two of them
// must fit into a task lease of 15 s, even if the connection hangs.
const Timeout = 2 * time.Second

// maxReplySize is the maximum size of a response body, in bytes. A report of 1,000
// tasks is about 500 KB.
const maxReplySize = 4 << 20

// Client calls one worker over a single connection. A call that times out closes
// the connection, so that the next call replaces a hung one.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the worker at address, an IP and port.
func NewClient(address string) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost:     1, // keeps the orders of one owner in order
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     30 * time.Second,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Orders sends a batch of orders. The results are in the order of the batch.
func (c *Client) Orders(ctx context.Context, b OrderBatch) (OrderReply, error) {
	var reply OrderReply
	if err := c.call(ctx, "/v1/orders", b, &reply); err != nil {
		return OrderReply{}, errors.Errorf("send orders: %w", err)
	}
	if len(reply.Results) != len(b.Orders) {
		return OrderReply{}, errors.Errorf("send orders: %d results for %d orders: %w", len(reply.Results), len(b.Orders), ErrUnknown)
	}
	for i, r := range reply.Results {
		if r.Ref != b.Orders[i].Ref {
			return OrderReply{}, errors.Errorf("send orders: result %d is for another attempt: %w", i, ErrUnknown)
		}
	}
	return reply, nil
}

// Heartbeat renews leases, lets the worker forget ended attempts and returns the
// worker's report.
func (c *Client) Heartbeat(ctx context.Context, h Heartbeat) (Report, error) {
	var report Report
	if err := c.call(ctx, "/v1/heartbeat", h, &report); err != nil {
		return Report{}, errors.Errorf("send heartbeat: %w", err)
	}
	return report, nil
}

// Close closes the connection if it is idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Error implements error.
func (s StaleEpoch) Error() string {
	return "stale epoch: the worker has seen " + strconv.FormatUint(uint64(s.Epoch), 10)
}

// Is makes errors.Is match a StaleEpoch with ErrStaleEpoch.
func (s StaleEpoch) Is(target error) bool { return target == ErrStaleEpoch }

func (c *Client) call(ctx context.Context, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Errorf("encode body: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	var connected atomic.Bool // a connection was obtained, so bytes may have been sent
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return errors.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.GetBody = nil // the transport must not repeat a call that may have been sent
	resp, err := c.http.Do(req)
	if err != nil {
		if connected.Load() {
			return errors.Join(ErrUnknown, err)
		}
		return errors.Join(ErrUnavailable, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize))
	if err != nil {
		return errors.Join(ErrUnknown, err)
	}
	return decodeReply(resp.StatusCode, answer, reply)
}

// decodeReply decodes a complete response into reply, or returns the error that
// its status stands for.
func decodeReply(status int, answer []byte, reply any) error {
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(answer, reply); err != nil {
			return errors.Errorf("decode reply: %v: %w", err, ErrUnknown)
		}
		return nil
	case status == http.StatusConflict:
		var stale StaleEpoch
		if err := json.Unmarshal(answer, &stale); err != nil {
			return errors.Errorf("decode stale epoch: %v: %w", err, ErrUnknown)
		}
		return stale
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return errors.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	return errors.Errorf("status %d: %w", status, ErrUnknown)
}
