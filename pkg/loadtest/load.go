package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/wire"
)

// gateway is a target of requests: the entries of the fleet, or the plain gateway.
type gateway struct {
	name string
	// addresses are the addresses that get requests in turn.
	addresses []string
}

const (
	// maxLatencyUs is the largest latency that the histograms record, in microseconds.
	maxLatencyUs = 60_000_000
	// significantFigures is the precision of the histograms, in decimal digits.
	significantFigures = 3
	usPerMs            = 1000
	medianPercent      = 50
	tailPercent        = 99
	clientTimeout      = 40 * time.Second
)

// classResults collects the results of a phase for each class of requests.
type classResults struct {
	mutex   sync.Mutex
	classes map[string]*ClassResult
}

// newClassResults returns empty results for each class.
func newClassResults() *classResults {
	c := &classResults{classes: map[string]*ClassResult{}}
	for _, class := range []wire.Class{wire.ClassUrgent, wire.ClassNormal, wire.ClassSameDay} {
		c.classes[string(class)] = &ClassResult{histogram: hdrhistogram.New(1, maxLatencyUs, significantFigures)}
	}
	return c
}

// add counts a request. The status is that of its response, or 0 if there was none.
func (c *classResults) add(class wire.Class, status int, latency, deadline time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	result := c.classes[string(class)]
	result.Requests++
	switch {
	case status == http.StatusOK:
		// A latency above the histogram's range counts as its maximum, so that RecordValue
		// doesn't fail.
		_ = result.histogram.RecordValue(min(maxLatencyUs, latency.Microseconds()))
		if latency <= deadline {
			result.InTime++
		}
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		result.Refused++
	default:
		result.Failed++
	}
}

// offerLoad sends requests at random times for the length of a phase, on average as
// many per second as the rate. It doesn't wait for a response before it sends the next
// request, unless all connections are in use. It returns once all requests have ended.
func offerLoad(ctx context.Context, options Options, g gateway, rate float64) PhaseResult {
	random := rand.New(rand.NewPCG(options.Seed, uint64(rate)))
	results := newClassResults()
	client := newClient(options.Connections)
	var group errgroup.Group
	group.SetLimit(options.Connections)
	startedAt := options.Clock.Now()
	arrival := startedAt
	for count := 0; options.Clock.Since(startedAt) < options.Phase && ctx.Err() == nil; count++ {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if wait := arrival.Sub(options.Clock.Now()); wait > 0 {
			options.Clock.Sleep(wait)
		}
		class, deadline := drawClass(random)
		address := g.addresses[count%len(g.addresses)]
		nonce := fmt.Sprintf("%s-%.0f-%d", g.name, rate, count)
		group.Go(func() error {
			status, latency := sendWork(options, client, address, nonce, class, deadline)
			results.add(class, status, latency, deadline)
			return nil
		})
	}
	_ = group.Wait()
	client.CloseIdleConnections()
	return summarise(results, options.Phase)
}

// newClient returns an HTTP client that keeps up to the given number of idle
// connections.
func newClient(connections int) *http.Client {
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: connections}
	return &http.Client{Transport: transport, Timeout: clientTimeout}
}

// sendWork sends a request that works for serviceMs on an endpoint, and returns the
// status and the latency of the response. The status is 0 if there is no response.
func sendWork(options Options, client *http.Client, address, nonce string, class wire.Class, deadline time.Duration) (int, time.Duration) {
	return sendTo(options, client, "http://"+address+"/v1/run/"+service, nonce, class, deadline, serviceMs)
}

// sendTo sends a request to a URL. The endpoint that runs the request works on it for
// workMs milliseconds. sendTo returns the status and the latency of the response. The
// status is 0 if there is no complete response.
func sendTo(options Options, client *http.Client, url, nonce string, class wire.Class, deadline time.Duration, workMs int) (int, time.Duration) {
	body, err := json.Marshal(fakes.Work{Nonce: nonce, WorkMs: workMs})
	if err != nil {
		return 0, 0
	}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, 0
	}
	request.Header.Set(entry.HeaderClass, string(class))
	request.Header.Set(entry.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	sentAt := options.Clock.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, options.Clock.Since(sentAt)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, options.Clock.Since(sentAt)
	}
	return response.StatusCode, options.Clock.Since(sentAt)
}

// summarise returns the result of a phase of the given duration, with its goodput and
// quantiles.
func summarise(results *classResults, duration time.Duration) PhaseResult {
	inTime := 0
	for _, result := range results.classes {
		inTime += result.InTime
		result.P50Ms = float64(result.histogram.ValueAtQuantile(medianPercent)) / usPerMs
		result.P99Ms = float64(result.histogram.ValueAtQuantile(tailPercent)) / usPerMs
		result.WaitP99Ms = max(0, result.P99Ms-serviceMs)
	}
	return PhaseResult{Goodput: float64(inTime) / duration.Seconds(), Classes: results.classes}
}
