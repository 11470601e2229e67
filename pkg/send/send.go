// Package send makes one attempt to run a request on one endpoint over HTTP and reports whether the
// endpoint may have run it.
package send

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"damsonwinch"
)

// Headers between entries and endpoints.
const (
	// HeaderRequestID carries the request's ID. The endpoint repeats it in its response, so that the
	// response to another request is never taken for the response to this one.
	HeaderRequestID   = "Damsonwinch-Request"
	headerContentType = "Content-Type"
)

const (
	idleConnsPerBox = 32
	idleTimeout     = 30 * time.Second
	dialTimeout     = time.Second
)

// Kind is the kind of an attempt's result: whether the request reached the endpoint and was answered.
type Kind int

// Kinds of results.
const (
	// Answered: the endpoint sent a complete response to this request, with any HTTP status.
	Answered Kind = iota
	// NotSent: no byte of the request reached the endpoint.
	NotSent
	// Unanswered: the request was sent, but no complete and valid response came. The request may have
	// run.
	Unanswered
)

// Result is the result of one attempt. Unless Kind is Answered, only Kind and Err are set.
type Result struct {
	Kind        Kind
	Status      int
	ContentType string
	Body        []byte
	// RetryAfter is the response's Retry-After header, unparsed.
	RetryAfter string
	// Err says why Kind is not Answered.
	Err error
}

// Attempt describes one attempt to run a request on one endpoint.
type Attempt struct {
	// ID is the request's ID.
	ID      string
	Service string
	// Address is the endpoint's host and port.
	Address string
	Body    []byte
	// MaxResponseBytes is the largest response body that is accepted.
	MaxResponseBytes int
}

// Errors for a response that is not accepted.
var (
	ErrResponseTooLarge = errors.New("the response is larger than the service's limit")
	ErrWrongRequestID   = errors.New("the response belongs to another request")
)

// Client sends requests to endpoints. It may be used by several goroutines at once.
type Client struct {
	http *http.Client
}

// New returns a client that connects to endpoints with dial.
func New(dial damsonwinch.Dial) *Client {
	transport := &http.Transport{
		DialContext:         withDialTimeout(dial),
		MaxIdleConnsPerHost: idleConnsPerBox,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: doNotFollowRedirect}}
}

// withDialTimeout returns a dial that gives up after dialTimeout, so that there is time left for an
// attempt on another box if a box doesn't accept the connection.
func withDialTimeout(dial damsonwinch.Dial) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(limited, network, address)
	}
}

// doNotFollowRedirect makes the HTTP client return a redirect as the response, so that it never sends
// a request a second time by itself.
func doNotFollowRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a request once and waits for the complete response, until ctx ends. It counts the request
// as sent as soon as a connection is available. An error that follows is thus reported as Unanswered even
// if no byte was sent, which errs on the safe side.
func (c *Client) Do(ctx context.Context, attempt Attempt) Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	url := "http://" + attempt.Address + "/run/" + attempt.Service
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(attempt.Body))
	if err != nil {
		return Result{Kind: NotSent, Err: fmt.Errorf("send to %s: %w", attempt.Address, err)}
	}
	// Without GetBody the transport can't send the body a second time by itself.
	request.GetBody = nil
	request.Header.Set(HeaderRequestID, attempt.ID)
	response, err := c.http.Do(request)
	if err != nil {
		kind := NotSent
		if sent.Load() {
			kind = Unanswered
		}
		return Result{Kind: kind, Err: fmt.Errorf("send to %s: %w", attempt.Address, err)}
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response, attempt)
}

// readResponse checks a response and reads its whole body before any of it is passed on: an
// incomplete response is Unanswered.
func readResponse(response *http.Response, attempt Attempt) Result {
	unanswered := func(err error) Result {
		return Result{Kind: Unanswered, Err: fmt.Errorf("response of %s: %w", attempt.Address, err)}
	}
	if response.Header.Get(HeaderRequestID) != attempt.ID {
		return unanswered(ErrWrongRequestID)
	}
	if response.ContentLength > int64(attempt.MaxResponseBytes) {
		return unanswered(ErrResponseTooLarge)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(attempt.MaxResponseBytes)+1))
	if err != nil {
		return unanswered(err)
	}
	if len(body) > attempt.MaxResponseBytes {
		return unanswered(ErrResponseTooLarge)
	}
	return Result{
		Kind:        Answered,
		Status:      response.StatusCode,
		ContentType: response.Header.Get(headerContentType),
		RetryAfter:  response.Header.Get("Retry-After"),
		Body:        body,
	}
}
