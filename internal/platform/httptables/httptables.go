// Package httptables is an HTTP client of the platform's table service and VM
// list. Conditions are sent as entity tags (RFC 9110). A conditional write of one
// row is a PUT request, a write of several rows a transaction request.
package httptables

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/platform/tablewire"
	"github.com/pkg/errors"
)

const (
	// DefaultTimeout bounds one call if Options set no timeout.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes is the size of the largest response, in bytes.
	maxResponseBytes = 16 << 20
)

// Options configure a Client.
type Options struct {
	// BaseURL is the service's address, such as "http://10.0.0.5:8080".
	BaseURL string
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Transport sends the requests; nil means a new http.Transport.
	Transport http.RoundTripper
}

// Client implements platform.Tables and platform.VMs. It is safe for
// concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    http.Client
	lastVMs atomic.Pointer[vmList]
}

// vmList is a VM list with its entity tag.
type vmList struct {
	tag string
	vms []platform.ListedVM
}

var (
	_ platform.Tables = (*Client)(nil)
	_ platform.VMs    = (*Client)(nil)
)

// New returns a client, which connects on first use.
func New(opts Options) (*Client, error) {
	u, err := url.Parse(opts.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "platform address")
	}
	if u.Scheme == "" || u.Host == "" {
		return nil, errors.Errorf("platform address %q has no scheme or host", opts.BaseURL)
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	c := &Client{
		base:    strings.TrimSuffix(opts.BaseURL, "/"),
		timeout: opts.Timeout,
		http:    http.Client{Transport: opts.Transport},
	}
	c.lastVMs.Store(&vmList{})
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Tables.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	resp, err := c.read(ctx, tablewire.RowPath(key))
	if err != nil {
		return platform.Row{}, err
	}
	version, err := tablewire.ParseETag(resp.header.Get("ETag"))
	if err != nil {
		return platform.Row{}, unavailable(err)
	}
	return platform.Row{Key: key, Value: resp.body, Version: version}, nil
}

// List implements platform.Tables.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	resp, err := c.read(ctx, tablewire.RowsPath+"?prefix="+url.QueryEscape(prefix))
	if err != nil {
		return nil, err
	}
	var list tablewire.RowList
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, unavailable(err)
	}
	return list.Rows, nil
}

// ListVMs implements platform.VMs. It caches the last list, and the service sends
// the list again only if it changed.
func (c *Client) ListVMs(ctx context.Context) ([]platform.ListedVM, error) {
	last := c.lastVMs.Load()
	header := make(http.Header)
	if last.tag != "" {
		header.Set("If-None-Match", last.tag)
	}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: tablewire.VMsPath, header: header})
	if err != nil {
		return nil, unavailable(err)
	}
	if resp.status == http.StatusNotModified {
		return slices.Clone(last.vms), nil
	}
	if resp.status != http.StatusOK {
		return nil, unavailable(statusError(resp.status))
	}
	next := &vmList{tag: resp.header.Get("ETag")}
	if err := json.Unmarshal(resp.body, &next.vms); err != nil {
		return nil, unavailable(err)
	}
	c.lastVMs.Store(next)
	return slices.Clone(next.vms), nil
}

// Commit implements platform.Tables. If the response is lost, it queries the
// outcome once. It returns ErrUnknown if the service has no outcome yet, because
// the request may still arrive.
func (c *Client) Commit(ctx context.Context, t platform.Txn) error {
	if t.ID == "" {
		return errors.New("transaction without id")
	}
	req, err := commitRequest(t)
	if err != nil {
		return err
	}
	resp, err := c.do(ctx, req)
	if err != nil && !resp.sent {
		return unavailable(err)
	}
	if err != nil {
		return c.queryOutcome(ctx, t.ID, err)
	}
	switch resp.status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Wrapf(platform.ErrConflict, "transaction %s", t.ID)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return unavailable(statusError(resp.status))
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return errors.Errorf("transaction %s refused with status %d", t.ID, resp.status)
	default:
		return c.queryOutcome(ctx, t.ID, statusError(resp.status))
	}
}

// queryOutcome queries the outcome of a transaction whose response was lost because
// of cause.
func (c *Client) queryOutcome(ctx context.Context, id string, cause error) error {
	unknown := errors.Wrapf(platform.ErrUnknown, "transaction %s: %v", id, cause)
	resp, err := c.read(ctx, tablewire.TransactionsPath+"/"+url.PathEscape(id))
	if err != nil {
		return unknown
	}
	var o tablewire.Outcome
	if err := json.Unmarshal(resp.body, &o); err != nil {
		return unknown
	}
	switch o.Outcome {
	case tablewire.OutcomeApplied:
		return nil
	case tablewire.OutcomeConflict:
		return errors.Wrapf(platform.ErrConflict, "transaction %s", id)
	default:
		return unknown
	}
}

// request is one HTTP request before it gets a context.
type request struct {
	method string
	path   string
	body   []byte
	header http.Header
}

// response is one HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
	// sent reports whether a connection was available, so that part of the request
	// may have been sent.
	sent bool
}

// read sends a GET request for path; its errors are ErrNotFound and ErrUnavailable.
func (c *Client) read(ctx context.Context, path string) (response, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return response{}, unavailable(err)
	}
	switch resp.status {
	case http.StatusOK:
		return resp, nil
	case http.StatusNotFound:
		return response{}, errors.Wrap(platform.ErrNotFound, path)
	default:
		return response{}, unavailable(statusError(resp.status))
	}
}

// do sends r and reads the response within the client's timeout.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, errors.Wrap(err, "build request")
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{sent: sent.Load()}, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readLimited(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: body, sent: true}, err
}

func readLimited(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Errorf("answer exceeds %d bytes", maxResponseBytes)
	}
	return body, nil
}

// commitRequest returns a conditional PUT request if t concerns a single row, and
// a transaction request otherwise.
func commitRequest(t platform.Txn) (request, error) {
	if isOneRow(t) {
		return putRequest(t), nil
	}
	body, err := json.Marshal(t)
	if err != nil {
		return request{}, errors.Wrap(err, "encode transaction")
	}
	header := http.Header{"Content-Type": {"application/json"}, tablewire.IdempotencyKey: {t.ID}}
	return request{method: http.MethodPost, path: tablewire.TransactionsPath, body: body, header: header}, nil
}

func isOneRow(t platform.Txn) bool {
	return len(t.Writes) == 1 && len(t.Conditions) == 1 && t.Writes[0].Key == t.Conditions[0].Key
}

func putRequest(t platform.Txn) request {
	header := http.Header{"Content-Type": {"application/octet-stream"}, tablewire.IdempotencyKey: {t.ID}}
	if version := t.Conditions[0].Version; version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", tablewire.ETag(version))
	}
	w := t.Writes[0]
	return request{method: http.MethodPut, path: tablewire.RowPath(w.Key), body: w.Value, header: header}
}

func unavailable(cause error) error {
	return errors.Wrap(platform.ErrUnavailable, cause.Error())
}

func statusError(status int) error { return errors.Errorf("status %d", status) }
