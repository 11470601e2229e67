// Package platform speaks the platform's protocol, HTTP with JSON: its log, its
// list of boxes and its control of boxes.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Limits of the platform's answers, so that a broken one can't take the memory.
const (
	mostAnswerBytes = 64 << 20
	mostErrorBytes  = 4 << 10
	idleConns       = 8
	idleTimeout     = 30 * time.Second
)

// Client is one process's access to the platform.
type Client struct {
	base string
	http *http.Client
}

var (
	_ damsonwinch.Log        = (*Client)(nil)
	_ damsonwinch.List       = (*Client)(nil)
	_ damsonwinch.BoxControl = (*Client)(nil)
)

// New returns a client of the platform at an address.
func New(address string, dial damsonwinch.Dial) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append adds one record to a stream and returns its offset.
func (c *Client) Append(ctx context.Context, stream, data string) (int, error) {
	var reply wire.AppendReply
	err := c.do(ctx, "append to "+stream, http.MethodPost, "/v1/log/"+url.PathEscape(stream), strings.NewReader(data), &reply)
	return reply.Offset, err
}

// Read returns a page of a stream.
func (c *Client) Read(ctx context.Context, stream string, from, maximum, waitMs int) (wire.LogPage, error) {
	query := url.Values{}
	query.Set("from", strconv.Itoa(from))
	query.Set("max", strconv.Itoa(maximum))
	query.Set("wait_ms", strconv.Itoa(waitMs))
	var page wire.LogPage
	err := c.do(ctx, "read "+stream, http.MethodGet, "/v1/log/"+url.PathEscape(stream)+"?"+query.Encode(), nil, &page)
	return page, err
}

// Boxes returns the platform's list.
func (c *Client) Boxes(ctx context.Context) ([]wire.ListedBox, error) {
	var boxes []wire.ListedBox
	err := c.do(ctx, "read list", http.MethodGet, "/v1/list", nil, &boxes)
	return boxes, err
}

// Maintain reboots a box and returns once it serves again.
func (c *Client) Maintain(ctx context.Context, box string) error {
	var done struct{}
	return c.do(ctx, "maintain "+box, http.MethodPost, "/v1/boxes/"+url.PathEscape(box)+"/maintain", nil, &done)
}

func (c *Client) do(ctx context.Context, step, method, path string, body io.Reader, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", step, c.base, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", step, c.base, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, mostErrorBytes))
		return fmt.Errorf("%s at %s: status %d: %s", step, c.base, response.StatusCode, text)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, mostAnswerBytes))
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s at %s: %w", step, c.base, err)
	}
	return nil
}
