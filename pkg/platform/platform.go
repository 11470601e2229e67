// Package platform speaks the platform's protocol, HTTP with JSON: its log, its
// list of boxes and its control of boxes.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Limits of the platform's answers, so that a broken one can't take the memory.
const (
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 4 << 10
	idleConns        = 8
	idleTimeout      = 30 * time.Second
)

// Client is one process's access to the platform.
type Client struct {
	baseURL string
	http    *http.Client
	// The lock guards the lists as last read, which are values.
	mutex sync.Mutex
	lists map[string]cachedList
}

// cachedList is a hall's list as last read.
type cachedList struct {
	etag  string
	boxes []wire.ListedBox
}

var (
	_ damsonwinch.Log        = (*Client)(nil)
	_ damsonwinch.BoxLister  = (*Client)(nil)
	_ damsonwinch.BoxControl = (*Client)(nil)
)

// New returns a client of the platform at an address.
func New(address string, dial damsonwinch.Dial) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout}
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}, lists: map[string]cachedList{}}
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

// Boxes returns the platform's list of a hall. A list that has not changed since
// the last reading isn't sent again: thousands of boxes twice a second would be
// most of what control costs a node.
func (c *Client) Boxes(ctx context.Context, hall string) ([]wire.ListedBox, error) {
	known := c.cachedListOf(hall)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/list?hall="+url.QueryEscape(hall), nil)
	if err != nil {
		return nil, fmt.Errorf("read list at %s: %w", c.baseURL, err)
	}
	if known.etag != "" {
		request.Header.Set("If-None-Match", known.etag)
	}
	var boxes []wire.ListedBox
	tag, err := c.send("read list", request, &boxes)
	if errors.Is(err, errNotModified) {
		return known.boxes, nil
	}
	if err != nil {
		return nil, err
	}
	c.cacheList(hall, cachedList{etag: tag, boxes: boxes})
	return boxes, nil
}

func (c *Client) cachedListOf(hall string) cachedList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lists[hall]
}

func (c *Client) cacheList(hall string, read cachedList) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lists[hall] = read
}

// Maintain reboots a box and returns once it serves again.
func (c *Client) Maintain(ctx context.Context, box string) error {
	var done struct{}
	return c.do(ctx, "maintain "+box, http.MethodPost, "/v1/boxes/"+url.PathEscape(box)+"/maintain", nil, &done)
}

func (c *Client) do(ctx context.Context, step, method, path string, body io.Reader, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", step, c.baseURL, err)
	}
	_, err = c.send(step, request, into)
	return err
}

// errNotModified says that what was asked for is as it was.
var errNotModified = errors.New("not modified")

// send makes a request and decodes its answer. It returns the answer's tag.
func (c *Client) send(step string, request *http.Request, into any) (string, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return "", fmt.Errorf("%s at %s: %w", step, c.baseURL, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return "", errNotModified
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return "", fmt.Errorf("%s at %s: status %d: %s", step, c.baseURL, response.StatusCode, text)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(into); err != nil {
		return "", fmt.Errorf("%s at %s: %w", step, c.baseURL, err)
	}
	return response.Header.Get("ETag"), nil
}
