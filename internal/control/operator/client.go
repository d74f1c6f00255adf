package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the IP and port of a node's administration API.
	Address string
	Token   string
	// Timeout is the timeout of one call.
	Timeout time.Duration
}

// Client calls the administration API of one node.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// NewClient returns a client of the node at config.Address.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, http: &http.Client{Timeout: config.Timeout}}
}

// List returns the documents in force on the node.
func (c *Client) List(ctx context.Context) ([]Summary, error) {
	var summaries []Summary
	return summaries, c.read(ctx, documentPath, &summaries)
}

// Get returns the document of the service.
func (c *Client) Get(ctx context.Context, service string) (zone.StoredDocument, error) {
	var stored zone.StoredDocument
	return stored, c.read(ctx, documentPath+"/"+url.PathEscape(service), &stored)
}

// History returns the edits of the service's document, the newest first.
func (c *Client) History(ctx context.Context, service string) ([]zone.StoredDocument, error) {
	var edits []zone.StoredDocument
	return edits, c.read(ctx, documentPath+"/"+url.PathEscape(service)+"/history", &edits)
}

// Put replaces the document that has the expected tag; an empty tag creates a document. A call with the same operation
// id may be repeated and takes effect once.
func (c *Client) Put(ctx context.Context, service string, source []byte, expected, operation string) (zone.StoredDocument, error) {
	header := http.Header{}
	if expected != "" {
		header.Set("If-Match", strconv.Quote(expected))
	}
	if operation != "" {
		header.Set(OperationHeader, operation)
	}
	var stored zone.StoredDocument
	return stored, c.call(ctx, http.MethodPut, documentPath+"/"+url.PathEscape(service), header, source, &stored)
}

// Drain starts the planned stop of the node.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, drainPath, nil, nil, nil)
}

// Dump returns the state of the node as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	return dump, c.read(ctx, dumpPath, &dump)
}

func (c *Client) read(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, nil, out)
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	response, err := c.http.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "node %s: %v", c.config.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "node %s: %v", c.config.Address, err)
	}
	return readResponse(response.StatusCode, content, out)
}

func readResponse(status int, body []byte, out any) error {
	if status >= http.StatusBadRequest {
		refusal := &Error{}
		if json.Unmarshal(body, refusal) != nil || refusal.Code == "" {
			return trace.ConnectionProblem(nil, "status %d", status)
		}
		return refusal
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(body, out))
}
