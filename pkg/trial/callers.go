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

// called is one line of the callers' book.
type called struct {
	nonce      string
	repeatable bool
	outcome    wire.Outcome
	status     int
	// wrong says that an answer wasn't the one to this request's body.
	wrong bool
	// broken says that the connection ended without an answer.
	broken bool
	took   time.Duration
	class  wire.Class
	reason string
}

// callers make requests and keep the book of what they were told.
type callers struct {
	cluster *Cluster
	client  *http.Client
	mutex   sync.Mutex
	book    []called
	cancel  context.CancelFunc
	group   errgroup.Group
}

const (
	callerTimeout  = 40 * time.Second
	callersIdle    = 64
	mostWorkMs     = 25
	pauseMs        = 10
	padBytes       = 200
	oneInKeyed     = 3
	oneInUrgent    = 5
	oneInSameDay   = 4
	tradeDeadlines = 2500
)

func startCallers(c *Cluster, count int) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{DialContext: c.Network.Dialer(callerHall), MaxIdleConnsPerHost: callersIdle}
	made := &callers{cluster: c, client: &http.Client{Transport: transport, Timeout: callerTimeout}, cancel: cancel}
	for number := range count {
		made.group.Go(func() error {
			made.call(ctx, number)
			return nil
		})
	}
	return made
}

// stop ends the load and waits for the last answers.
func (c *callers) stop() {
	c.cancel()
	_ = c.group.Wait()
	c.client.CloseIdleConnections()
}

// call is one caller's life: a request, a pause, and so on. A request that has
// begun is always waited for.
func (c *callers) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.cluster.Seed, uint64(number)))
	for count := 0; ctx.Err() == nil; count++ {
		line := c.one(random, fmt.Sprintf("%d-%d-%d", c.cluster.Seed, number, count))
		c.mutex.Lock()
		c.book = append(c.book, line)
		c.mutex.Unlock()
		select {
		case <-c.cluster.clock.After(time.Duration(random.IntN(pauseMs)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// one makes one request.
func (c *callers) one(random *rand.Rand, nonce string) called {
	services := c.cluster.User.Table.Services
	service := services[random.IntN(len(services))]
	line := called{nonce: nonce, repeatable: service.Row.Repeatable, class: drawClass(random), outcome: wire.OutcomeUnknown}
	body, err := json.Marshal(standin.Work{Nonce: nonce, WorkMs: 1 + random.IntN(mostWorkMs), Padding: string(bytes.Repeat([]byte("p"), random.IntN(padBytes)))})
	if err != nil {
		line.broken = true
		return line
	}
	open := c.cluster.ReadyAddresses()
	address := open[random.IntN(len(open))]
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/run/"+service.Service, bytes.NewReader(body))
	if err != nil {
		line.broken = true
		return line
	}
	request.Header.Set(front.HeaderClass, string(line.class))
	if line.class == wire.ClassUrgent {
		request.Header.Set(front.HeaderDeadline, fmt.Sprint(tradeDeadlines))
	}
	if !service.Row.Repeatable && random.IntN(oneInKeyed) == 0 {
		request.Header.Set(front.HeaderIdempotencyKey, nonce)
	}
	begun := c.cluster.clock.Now()
	c.send(request, body, &line)
	line.took = c.cluster.clock.Since(begun)
	return line
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

func (c *callers) send(request *http.Request, body []byte, line *called) {
	response, err := c.client.Do(request)
	if err != nil {
		line.broken, line.reason = true, err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		line.broken, line.reason = true, err.Error()
		return
	}
	line.status = response.StatusCode
	line.outcome = wire.Outcome(response.Header.Get(front.HeaderOutcome))
	line.wrong = line.status == http.StatusOK && string(answer) != standin.ExpectedResponse(body)
	if line.status != http.StatusOK {
		line.reason = string(answer)
	}
}

// lines returns the book so far.
func (c *callers) lines() []called {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]called{}, c.book...)
}
