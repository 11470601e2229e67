// Package platform is the client through which dw-entry and dw-keeper use the platform's log, its list of
// boxes and its control of boxes. The protocol is HTTP with JSON. For dw-node, see damsonwinch/platform.
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

const (
	// maxResponseBytes and maxErrorBytes bound what is read of a response, so that a faulty platform
	// can't make the process run out of memory.
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 4 << 10
	idleConns        = 8
	idleTimeout      = 30 * time.Second
)

// Client calls the platform. It may be used by several goroutines at once.
type Client struct {
	baseURL string
	http    *http.Client
	mutex   sync.Mutex
	// lists holds each zone's list of boxes as last read; mutex guards it.
	lists map[string]cachedList
}

// cachedList is a zone's list of boxes as last read, with the ETag of the response. It is not changed
// once it is in the cache.
type cachedList struct {
	etag  string
	boxes []wire.ListedBox
}

var (
	_ damsonwinch.Log        = (*Client)(nil)
	_ damsonwinch.BoxLister  = (*Client)(nil)
	_ damsonwinch.BoxControl = (*Client)(nil)
)

// New returns a client of the platform at address, a host and port. It connects with dial.
func New(address string, dial damsonwinch.Dial) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout}
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}, lists: map[string]cachedList{}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append appends one record to a stream of the log and returns the record's offset. After an error
// the record may be in the log all the same.
func (c *Client) Append(ctx context.Context, stream, data string) (int, error) {
	var reply wire.AppendReply
	err := c.do(ctx, "append to "+stream, http.MethodPost, "/v1/log/"+url.PathEscape(stream), strings.NewReader(data), &reply)
	return reply.Offset, err
}

// Read returns a page of a stream of the log: at most maximum records, beginning with the one at offset
// from. If there are none yet, the platform waits up to waitMs milliseconds for one.
func (c *Client) Read(ctx context.Context, stream string, from, maximum, waitMs int) (wire.LogPage, error) {
	query := url.Values{}
	query.Set("from", strconv.Itoa(from))
	query.Set("max", strconv.Itoa(maximum))
	query.Set("wait_ms", strconv.Itoa(waitMs))
	var page wire.LogPage
	err := c.do(ctx, "read "+stream, http.MethodGet, "/v1/log/"+url.PathEscape(stream)+"?"+query.Encode(), nil, &page)
	return page, err
}

// Boxes returns the platform's list of a zone's boxes. The caller must not change the list. If the
// list has not changed since the last call, the platform doesn't send it again: transferring and decoding
// thousands of boxes twice a second would be most of the cost of control on a node.
func (c *Client) Boxes(ctx context.Context, zone string) ([]wire.ListedBox, error) {
	cached := c.cachedListOf(zone)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/list?hall="+url.QueryEscape(zone), nil)
	if err != nil {
		return nil, fmt.Errorf("read list at %s: %w", c.baseURL, err)
	}
	if cached.etag != "" {
		request.Header.Set("If-None-Match", cached.etag)
	}
	var boxes []wire.ListedBox
	etag, err := c.send("read list", request, &boxes)
	if errors.Is(err, errNotModified) {
		return cached.boxes, nil
	}
	if err != nil {
		return nil, err
	}
	c.cacheList(zone, cachedList{etag: etag, boxes: boxes})
	return boxes, nil
}

func (c *Client) cachedListOf(zone string) cachedList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lists[zone]
}

func (c *Client) cacheList(zone string, list cachedList) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lists[zone] = list
}

// Maintain reboots a box and returns once it serves again.
func (c *Client) Maintain(ctx context.Context, box string) error {
	var empty struct{}
	return c.do(ctx, "maintain "+box, http.MethodPost, "/v1/boxes/"+url.PathEscape(box)+"/maintain", nil, &empty)
}

// do sends a request with the given HTTP method, path and body and decodes the response into target.
// Errors begin with operation.
func (c *Client) do(ctx context.Context, operation, method, path string, body io.Reader, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", operation, c.baseURL, err)
	}
	_, err = c.send(operation, request, target)
	return err
}

// errNotModified says that the platform answered a conditional request with HTTP status 304.
var errNotModified = errors.New("not modified")

// send sends a request, decodes the response's JSON body into target and returns the response's ETag.
// Errors begin with operation.
func (c *Client) send(operation string, request *http.Request, target any) (string, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return "", fmt.Errorf("%s at %s: %w", operation, c.baseURL, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return "", errNotModified
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return "", fmt.Errorf("%s at %s: status %d: %s", operation, c.baseURL, response.StatusCode, text)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(target); err != nil {
		return "", fmt.Errorf("%s at %s: %w", operation, c.baseURL, err)
	}
	return response.Header.Get("ETag"), nil
}
