package loadtest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// Cost compares requests through an entry and through the plain gateway with requests
// sent directly to an endpoint. So few are in flight at once that none waits in a queue.
type Cost struct {
	// DirectUs is the processor time of a direct request in microseconds, and EntryUs
	// that of a request through an entry. Both include client and endpoint.
	DirectUs float64 `json:"direct_us"`
	EntryUs  float64 `json:"through_us"`
	// Ratio is EntryUs divided by DirectUs. PlainRatio is the same for the plain
	// gateway.
	Ratio      float64 `json:"ratio"`
	PlainRatio float64 `json:"plain_ratio"`
	// AddedUs is the median latency through an entry minus that of a direct request, in
	// microseconds.
	AddedUs float64 `json:"added_us"`
	// IdleUsPerSecond is the processor time that the whole fleet uses per second while
	// there are no requests, in microseconds.
	IdleUsPerSecond float64 `json:"idle_us_per_second"`
}

// The cost of a route is measured in costRounds rounds. In each round, costClients
// clients send costRequests requests together. idleTime is how long the idle fleet is
// measured.
const (
	costClients  = 4
	costRequests = 2000
	costRounds   = 3
	idleTime     = 2 * time.Second
)

// measureCost measures three routes of a request: directly to an endpoint, through an
// entry and through the plain gateway. Each round measures all of them in turn, so that
// other load on the machine affects them alike.
func measureCost(ctx context.Context, cluster *trial.Cluster, plain *plainGateway, options Options) (Cost, error) {
	idle, err := processorTimeOf(func() error {
		options.Clock.Sleep(idleTime)
		return nil
	})
	if err != nil {
		return Cost{}, err
	}
	idlePerSecond := idle / idleTime.Seconds()
	routes := [][]string{{plain.boxes[0].address, "/run/"}, {cluster.ReadyAddresses()[0], "/v1/run/"}, {plain.address, "/v1/run/"}}
	costs, latencies := make([][]float64, len(routes)), make([][]float64, len(routes))
	for range costRounds {
		for i, route := range routes {
			cost, latency, err := measureRoute(ctx, options, route[0], route[1], idlePerSecond)
			if err != nil {
				return Cost{}, err
			}
			costs[i], latencies[i] = append(costs[i], cost), append(latencies[i], latency)
		}
	}
	direct, entry, plainCost := median(costs[0]), median(costs[1]), median(costs[2])
	return Cost{
		DirectUs: direct, EntryUs: entry, Ratio: entry / direct, PlainRatio: plainCost / direct,
		AddedUs: median(latencies[1]) - median(latencies[0]), IdleUsPerSecond: idlePerSecond,
	}, nil
}

// measureRoute sends costRequests requests to an address, at a path that ends before
// the name of the service. It returns the processor time per request, without that of
// the idle fleet, and the median latency. Both, and idlePerSecond, are in microseconds.
func measureRoute(ctx context.Context, options Options, address, path string, idlePerSecond float64) (float64, float64, error) {
	client := newClient(costClients)
	defer client.CloseIdleConnections()
	latencies := make([][]float64, costClients)
	startedAt := options.Clock.Now()
	total, err := processorTimeOf(func() error {
		var group errgroup.Group
		for clientNumber := range costClients {
			group.Go(func() error {
				for count := range costRequests / costClients {
					nonce := fmt.Sprintf("cost-%s-%d-%d-%d", address, startedAt.UnixNano(), clientNumber, count)
					status, latency := sendWithoutWork(options, client, "http://"+address+path+service, nonce)
					if status != http.StatusOK || ctx.Err() != nil {
						return errors.Join(fmt.Errorf("request to %s: status %d", address, status), ctx.Err())
					}
					latencies[clientNumber] = append(latencies[clientNumber], float64(latency.Microseconds()))
				}
				return nil
			})
		}
		return group.Wait()
	})
	idle := idlePerSecond * options.Clock.Since(startedAt).Seconds()
	return (total - idle) / costRequests, median(slices.Concat(latencies...)), err
}

// sendWithoutWork sends a request that an endpoint answers at once, and returns the
// status and the latency of the response.
func sendWithoutWork(options Options, client *http.Client, url, nonce string) (int, time.Duration) {
	return sendTo(options, client, url, nonce, wire.ClassNormal, normalDeadline, 0)
}

// processorTimeOf returns the processor time in microseconds that this operating
// system process uses while the function runs.
func processorTimeOf(do func() error) (float64, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := do(); err != nil {
		return 0, err
	}
	after, err := processorTime()
	return float64((after - before).Microseconds()), err
}

// processorTime returns the processor time that this operating system process has used
// so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// median returns the median, or for an even number of values the upper of the two in
// the middle.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
