// Package platform is a client of the platform's key-value service, with compare-and-swap, leases and watches.
//
// # Usage
//
//	client := platform.NewClient(platform.Config{URL: url, Timeout: time.Second})
//	entry, err := client.Get(ctx, key)
//	entry, err = client.CompareAndSwap(ctx, platform.Swap{Key: key, Value: value, Expected: entry.Revision})
//
// ErrCompareFailed means that the write was refused. After any other error it is unknown whether the write took effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/http1"
)

// Entry is a key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision grows with every write to the store; 0 means that the key does not exist.
	Revision uint64 `json:"revision"`
	// Deleted marks an entry in the result of a watch whose key was deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// Swap is a write that takes effect only if the key has the expected revision.
type Swap struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expected is the revision to replace; 0 means that the key must not exist.
	Expected uint64 `json:"expected"`
	// Lease is the lease whose end deletes the key; empty for none.
	Lease string `json:"lease,omitempty"`
}

// Changes is the result of a watch or a list.
type Changes struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// Lease is a lease granted by the store.
type Lease struct {
	ID  string        `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// ErrCompareFailed means that a swap was refused because the key has another revision.
var ErrCompareFailed = errors.New("revision is not the expected one")

// ErrNotFound means that a key or lease does not exist.
var ErrNotFound = errors.New("not found")

// Config configures a Client.
type Config struct {
	URL     string
	Timeout time.Duration
	// LocalIP is the IP address to connect from; nil for any.
	LocalIP net.IP
}

// Client is an HTTP client of the store.
type Client struct {
	config Config
	http   *http.Client
}

// maxIdleConnections limits the idle connections kept open to the platform.
const maxIdleConnections = 4

// NewClient returns a client of the store at the configured URL.
func NewClient(config Config) *Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: config.LocalIP}}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &Client{config: config, http: &http.Client{Transport: transport}}
}

// Get returns the entry under the key, or ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, c.config.Timeout, http.MethodGet, "/v1/key", url.Values{"key": {key}}, nil, &e)
	return e, err
}

// List returns the entries whose keys begin with the prefix.
func (c *Client) List(ctx context.Context, prefix string) (Changes, error) {
	var changes Changes
	err := c.call(ctx, c.config.Timeout, http.MethodGet, "/v1/list", url.Values{"prefix": {prefix}}, nil, &changes)
	return changes, err
}

// CompareAndSwap writes the value and returns the new entry, or ErrCompareFailed if the key has another revision.
func (c *Client) CompareAndSwap(ctx context.Context, s Swap) (Entry, error) {
	var e Entry
	err := c.call(ctx, c.config.Timeout, http.MethodPut, "/v1/key", nil, s, &e)
	return e, err
}

// Watch returns the changes under the prefix after the revision. It waits up to maxWait for a change.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) (Changes, error) {
	var changes Changes
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {maxWait.String()},
	}
	err := c.call(ctx, maxWait+c.config.Timeout, http.MethodGet, "/v1/watch", query, nil, &changes)
	return changes, err
}

// GrantLease returns a new lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	var lease Lease
	err := c.call(ctx, c.config.Timeout, http.MethodPost, "/v1/lease", nil, Lease{TTL: ttl}, &lease)
	return lease, err
}

// RenewLease extends a lease to its full time to live. It returns ErrNotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, lease Lease) error {
	return c.call(ctx, c.config.Timeout, http.MethodPut, "/v1/lease", nil, lease, nil)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, query url.Values, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	address := c.config.URL + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	err = http1.Exchange(c.http, request, func(response *http.Response) error { return decodeResponse(response, out) })
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}

const (
	// maxResponseHeader limits the header of a response, in bytes.
	maxResponseHeader = 64 << 10
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 32 << 20
)

func decodeResponse(response *http.Response, out any) error {
	body, err := http1.ReadJSON(response, maxResponseBytes)
	if err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return trace.Wrap(ErrNotFound)
	case http.StatusConflict:
		return trace.Wrap(ErrCompareFailed)
	default:
		return trace.ConnectionProblem(nil, "status %d", response.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: decoding: %w", http1.ErrMalformed, err)
	}
	return nil
}
