// Package send carries one request to one endpoint and tells exactly how far it
// got.
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
	// HeaderRequestID carries the request's id; the endpoint repeats it in its
	// answer, so that another request's answer is never taken for this one's.
	HeaderRequestID = "Damsonwinch-Request"
	headerContentType = "Content-Type"
)

const (
	idleConnsPerBox = 32
	idleTimeout     = 30 * time.Second
	dialTimeout     = time.Second
)

// Kind is how far a request got.
type Kind int

// Kinds of results.
const (
	// Answered: the endpoint gave a whole answer to this request.
	Answered Kind = iota
	// NotSent: no byte of the request reached the endpoint.
	NotSent
	// Unanswered: the request was sent and has no whole answer; it may have run.
	Unanswered
)

// Result is what became of one attempt.
type Result struct {
	Kind        Kind
	Status      int
	ContentType string
	Body        []byte
	// RetryAfter is what the endpoint asked for, as it wrote it.
	RetryAfter string
	// Err says why the kind is not Answered.
	Err error
}

// Attempt is one try of a request on one endpoint.
type Attempt struct {
	ID      string
	Service string
	Address string
	Body    []byte
	// MaxResponseBytes bounds the answer, in bytes.
	MaxResponseBytes int
}

// Errors of an answer.
var (
	ErrResponseTooLarge = errors.New("the answer is larger than the service's limit")
	ErrWrongRequestID   = errors.New("the answer belongs to another request")
)

// Client sends to endpoints.
type Client struct {
	http *http.Client
}

// New returns a client.
func New(dial damsonwinch.Dial) *Client {
	transport := &http.Transport{
		DialContext:         withDialTimeout(dial),
		MaxIdleConnsPerHost: idleConnsPerBox,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: doNotFollowRedirect}}
}

// withDialTimeout bounds the time of a connection's making, so that a box without an
// answer leaves time to try another.
func withDialTimeout(dial damsonwinch.Dial) damsonwinch.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(limited, network, address)
	}
}

// doNotFollowRedirect keeps the client from sending a request again by itself.
func doNotFollowRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a request once. It holds the attempt for sent from the moment a
// connection is at hand, which errs on the safe side.
func (c *Client) Do(ctx context.Context, attempt Attempt) Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	url := "http://" + attempt.Address + "/run/" + attempt.Service
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(attempt.Body))
	if err != nil {
		return Result{Kind: NotSent, Err: fmt.Errorf("send to %s: %w", attempt.Address, err)}
	}
	// Without GetBody the transport can't send a body a second time by itself.
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

// readResponse reads the whole answer before anything of it goes to the caller.
func readResponse(response *http.Response, attempt Attempt) Result {
	broken := func(err error) Result {
		return Result{Kind: Unanswered, Err: fmt.Errorf("answer of %s: %w", attempt.Address, err)}
	}
	if response.Header.Get(HeaderRequestID) != attempt.ID {
		return broken(ErrWrongRequestID)
	}
	if response.ContentLength > int64(attempt.MaxResponseBytes) {
		return broken(ErrResponseTooLarge)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(attempt.MaxResponseBytes)+1))
	if err != nil {
		return broken(err)
	}
	if len(body) > attempt.MaxResponseBytes {
		return broken(ErrResponseTooLarge)
	}
	return Result{
		Kind:        Answered,
		Status:      response.StatusCode,
		ContentType: response.Header.Get(headerContentType),
		RetryAfter:  response.Header.Get("Retry-After"),
		Body:        body,
	}
}
