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

	"damsonwinch/pkg/front"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/wire"
)

// gateway is a way to the endpoints.
type gateway struct {
	name      string
	addresses []string
}

const (
	longestUs     = 60_000_000
	figures       = 3
	usPerMs       = 1000
	half          = 50
	nearlyAll     = 99
	clientTimeout = 40 * time.Second
)

// book collects a phase's results.
type book struct {
	mutex   sync.Mutex
	classes map[string]*ClassResult
}

func newBook() *book {
	b := &book{classes: map[string]*ClassResult{}}
	for _, class := range []wire.Class{wire.ClassUrgent, wire.ClassNormal, wire.ClassSameDay} {
		b.classes[string(class)] = &ClassResult{histogram: hdrhistogram.New(1, longestUs, figures)}
	}
	return b
}

func (b *book) add(class wire.Class, status int, took, deadline time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	result := b.classes[string(class)]
	result.Requests++
	switch {
	case status == http.StatusOK:
		// A value over the longest is cut to it by the bounds of the phase.
		_ = result.histogram.RecordValue(min(longestUs, took.Microseconds()))
		if took <= deadline {
			result.InTime++
		}
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		result.Refused++
	default:
		result.Failed++
	}
}

// drive offers requests at a rate, open loop, over at most so many connections.
func drive(ctx context.Context, options Options, way gateway, rate float64) PhaseResult {
	random := rand.New(rand.NewPCG(options.Seed, uint64(rate)))
	results := newBook()
	client := newClient(options.Connections)
	var group errgroup.Group
	group.SetLimit(options.Connections)
	begun := options.Clock.Now()
	next := begun
	for count := 0; options.Clock.Since(begun) < options.Phase && ctx.Err() == nil; count++ {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if wait := next.Sub(options.Clock.Now()); wait > 0 {
			options.Clock.Sleep(wait)
		}
		class, deadline := mix(random)
		address := way.addresses[count%len(way.addresses)]
		nonce := fmt.Sprintf("%s-%.0f-%d", way.name, rate, count)
		group.Go(func() error {
			status, took := one(options, client, address, nonce, class, deadline)
			results.add(class, status, took, deadline)
			return nil
		})
	}
	_ = group.Wait()
	client.CloseIdleConnections()
	return summarise(results, options.Phase)
}

func newClient(connections int) *http.Client {
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: connections}
	return &http.Client{Transport: transport, Timeout: clientTimeout}
}

// one makes one request and returns its status, 0 if it had no answer.
func one(options Options, client *http.Client, address, nonce string, class wire.Class, deadline time.Duration) (int, time.Duration) {
	return oneAt(options, client, "http://"+address+"/v1/run/"+service, nonce, class, deadline, serviceMs)
}

func oneAt(options Options, client *http.Client, url, nonce string, class wire.Class, deadline time.Duration, workMs int) (int, time.Duration) {
	body, err := json.Marshal(standin.Work{Nonce: nonce, WorkMs: workMs})
	if err != nil {
		return 0, 0
	}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, 0
	}
	request.Header.Set(front.HeaderClass, string(class))
	request.Header.Set(front.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	begun := options.Clock.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, options.Clock.Since(begun)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, options.Clock.Since(begun)
	}
	return response.StatusCode, options.Clock.Since(begun)
}

func summarise(results *book, length time.Duration) PhaseResult {
	inTime := 0
	for _, result := range results.classes {
		inTime += result.InTime
		result.P50Ms = float64(result.histogram.ValueAtQuantile(half)) / usPerMs
		result.P99Ms = float64(result.histogram.ValueAtQuantile(nearlyAll)) / usPerMs
		result.WaitP99Ms = max(0, result.P99Ms-serviceMs)
	}
	return PhaseResult{Goodput: float64(inTime) / length.Seconds(), Classes: results.classes}
}
