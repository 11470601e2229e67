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

	"damsonwinch/pkg/front"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/wire"
)

// clientResult is one line of the callers' book.
type clientResult struct {
	nonce      string
	repeatable bool
	outcome    wire.Outcome
	status     int
	// wrongAnswer says that an answer wasn't the one to this request's body.
	wrongAnswer bool
	// noResponse says that the connection ended without an answer.
	noResponse bool
	latency    time.Duration
	class      wire.Class
	reason     string
}

// loadGenerator make requests and keep the book of what they were told.
type loadGenerator struct {
	cluster  *Cluster
	client   *http.Client
	mutex    sync.Mutex
	recorded []clientResult
	cancel   context.CancelFunc
	group    errgroup.Group
}

const (
	clientTimeout    = 40 * time.Second
	idleConnections  = 64
	maxWorkMs        = 25
	maxPauseMs       = 10
	maxPadBytes      = 200
	oneInKeyed       = 3
	oneInUrgent      = 5
	oneInSameDay     = 4
	urgentDeadlineMs = 2500
)

func startLoad(cluster *Cluster, clients int) *loadGenerator {
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

// stop ends the load and waits for the last answers.
func (c *loadGenerator) stop() {
	c.cancel()
	_ = c.group.Wait()
	c.client.CloseIdleConnections()
}

// runClient is one caller's life: a request, a pause, and so on. A request that has
// begun is always waited for.
func (c *loadGenerator) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.cluster.Seed, uint64(number)))
	for count := 0; ctx.Err() == nil; count++ {
		result := c.sendRandom(random, fmt.Sprintf("%d-%d-%d", c.cluster.Seed, number, count))
		c.mutex.Lock()
		c.recorded = append(c.recorded, result)
		c.mutex.Unlock()
		select {
		case <-c.cluster.clock.After(time.Duration(random.IntN(maxPauseMs)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// sendRandom makes sendRandom request.
func (c *loadGenerator) sendRandom(random *rand.Rand, nonce string) clientResult {
	services := c.cluster.User.Table.Services
	service := services[random.IntN(len(services))]
	result := clientResult{nonce: nonce, repeatable: service.Row.Repeatable, class: drawClass(random), outcome: wire.OutcomeUnknown}
	body, err := json.Marshal(standin.Work{Nonce: nonce, WorkMs: 1 + random.IntN(maxWorkMs), Padding: string(bytes.Repeat([]byte("p"), random.IntN(maxPadBytes)))})
	if err != nil {
		result.noResponse = true
		return result
	}
	addresses := c.cluster.ReadyAddresses()
	address := addresses[random.IntN(len(addresses))]
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/run/"+service.Service, bytes.NewReader(body))
	if err != nil {
		result.noResponse = true
		return result
	}
	request.Header.Set(front.HeaderClass, string(result.class))
	if result.class == wire.ClassUrgent {
		request.Header.Set(front.HeaderDeadline, fmt.Sprint(urgentDeadlineMs))
	}
	if !service.Row.Repeatable && random.IntN(oneInKeyed) == 0 {
		request.Header.Set(front.HeaderIdempotencyKey, nonce)
	}
	begun := c.cluster.clock.Now()
	c.send(request, body, &result)
	result.latency = c.cluster.clock.Since(begun)
	return result
}

func drawClass(random *rand.Rand) wire.Class {
	switch {
	case random.IntN(oneInUrgent) == 0:
		return wire.ClassUrgent
	case random.IntN(oneInSameDay) == 0:
		return wire.ClassSameDay
	}
	return wire.ClassNormal
}

func (c *loadGenerator) send(request *http.Request, body []byte, result *clientResult) {
	response, err := c.client.Do(request)
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
	result.outcome = wire.Outcome(response.Header.Get(front.HeaderOutcome))
	result.wrongAnswer = result.status == http.StatusOK && string(responseBody) != standin.ExpectedResponse(body)
	if result.status != http.StatusOK {
		result.reason = string(responseBody)
	}
}

// results returns the book so far.
func (c *loadGenerator) results() []clientResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]clientResult{}, c.recorded...)
}
