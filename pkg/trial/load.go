package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/entry"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/wire"
)

// clientResult is the result of one request, as its client has observed it.
type clientResult struct {
	// nonce identifies the request in the endpoints' observations.
	nonce string
	// repeatable means that requests of the service may run more than once.
	repeatable bool
	// outcome is what the response says, or unknown if there is no response.
	outcome wire.Outcome
	status  int // The HTTP status, or 0 if there is no response.
	// wrongAnswer means that the response has status 200, but not the body that is
	// expected for this request.
	wrongAnswer bool
	// noResponse means that the request could not be sent, or that the connection
	// failed before the end of the response.
	noResponse bool
	latency    time.Duration
	class      wire.Class
	// reason is the body of a response with another status than 200, or the text of the
	// error if there is no response.
	reason string
}

// loadGenerator simulates clients: it sends their requests and records the results.
type loadGenerator struct {
	cluster  *Cluster
	client   *http.Client
	mutex    sync.Mutex
	recorded []clientResult
	cancel   context.CancelFunc
	group    errgroup.Group
}

// Properties of the load. A request works for up to maxWorkMs on an endpoint, and its
// body has less than maxPadBytes of padding. A client pauses for less than maxPauseMs
// between two requests.
const (
	clientTimeout   = 40 * time.Second
	idleConnections = 64
	maxWorkMs       = 25
	maxPauseMs      = 10
	maxPadBytes     = 200
	// One in oneInKeyed requests that may not be repeated has an idempotency key. One
	// in oneInUrgent requests is urgent, and of the others one in oneInSameDay has
	// the class same-day.
	oneInKeyed       = 3
	oneInUrgent      = 5
	oneInSameDay     = 4
	urgentDeadlineMs = 2500
)

// startLoadGenerator starts a number of clients, each of which sends one request after
// another until stop.
func startLoadGenerator(cluster *Cluster, clients int) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{DialContext: cluster.Network.Dialer(clientZone), MaxIdleConnsPerHost: idleConnections}
	g := &loadGenerator{cluster: cluster, client: &http.Client{Transport: transport, Timeout: clientTimeout}, cancel: cancel}
	for number := range clients {
		g.group.Go(func() error {
			g.runClient(ctx, number)
			return nil
		})
	}
	return g
}

// stop ends the load and waits for the responses to the requests in flight.
func (g *loadGenerator) stop() {
	g.cancel()
	_ = g.group.Wait()
	g.client.CloseIdleConnections()
}

// runClient sends requests with random pauses between them until the context ends.
// The context doesn't cancel a request in flight, so that each result is recorded.
func (g *loadGenerator) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(g.cluster.Seed, uint64(number)))
	for count := 0; ctx.Err() == nil; count++ {
		result := g.sendRandom(random, fmt.Sprintf("%d-%d-%d", g.cluster.Seed, number, count))
		g.mutex.Lock()
		g.recorded = append(g.recorded, result)
		g.mutex.Unlock()
		select {
		case <-g.cluster.clock.After(time.Duration(random.IntN(maxPauseMs)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// sendRandom sends a random request to a random entry that is ready, and returns the
// result. The nonce identifies the request in the endpoints' observations.
func (g *loadGenerator) sendRandom(random *rand.Rand, nonce string) clientResult {
	services := g.cluster.User.Table.Services
	service := services[random.IntN(len(services))]
	result := clientResult{nonce: nonce, repeatable: service.Row.Repeatable, class: drawClass(random), outcome: wire.OutcomeUnknown}
	body, err := json.Marshal(fakes.Work{Nonce: nonce, WorkMs: 1 + random.IntN(maxWorkMs), Padding: string(bytes.Repeat([]byte("p"), random.IntN(maxPadBytes)))})
	if err != nil {
		result.noResponse = true
		return result
	}
	addresses := g.cluster.ReadyAddresses()
	address := addresses[random.IntN(len(addresses))]
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/run/"+service.Service, bytes.NewReader(body))
	if err != nil {
		result.noResponse = true
		return result
	}
	request.Header.Set(entry.HeaderClass, string(result.class))
	if result.class == wire.ClassUrgent {
		request.Header.Set(entry.HeaderDeadline, fmt.Sprint(urgentDeadlineMs))
	}
	if !service.Row.Repeatable && random.IntN(oneInKeyed) == 0 {
		request.Header.Set(entry.HeaderIdempotencyKey, nonce)
	}
	sentAt := g.cluster.clock.Now()
	g.send(request, body, &result)
	result.latency = g.cluster.clock.Since(sentAt)
	return result
}

// drawClass returns a random class.
func drawClass(random *rand.Rand) wire.Class {
	switch {
	case random.IntN(oneInUrgent) == 0:
		return wire.ClassUrgent
	case random.IntN(oneInSameDay) == 0:
		return wire.ClassSameDay
	}
	return wire.ClassNormal
}

// send sends a request with the given body and completes the result with the response
// or the error.
func (g *loadGenerator) send(request *http.Request, body []byte, result *clientResult) {
	response, err := g.client.Do(request)
	if err != nil {
		result.noResponse, result.reason = true, err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		result.noResponse, result.reason = true, err.Error()
		return
	}
	result.status = response.StatusCode
	result.outcome = wire.Outcome(response.Header.Get(entry.HeaderOutcome))
	result.wrongAnswer = result.status == http.StatusOK && string(responseBody) != fakes.ExpectedResponse(body)
	if result.status != http.StatusOK {
		result.reason = string(responseBody)
	}
}

// results returns a copy of the results so far.
func (g *loadGenerator) results() []clientResult {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return append([]clientResult{}, g.recorded...)
}
