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

// Cost compares calls through an entry with direct calls, without a queue.
type Cost struct {
	// DirectUs is the processor time of a direct call, caller and endpoint
	// together, in microseconds; ThroughUs the same through an entry.
	DirectUs float64 `json:"direct_us"`
	EntryUs  float64 `json:"through_us"`
	// Ratio is ThroughUs over DirectUs, PlainRatio the same for the plain gateway.
	Ratio      float64 `json:"ratio"`
	PlainRatio float64 `json:"plain_ratio"`
	// AddedUs is the median latency that an entry adds, in microseconds.
	AddedUs float64 `json:"added_us"`
	// IdleUsPerSecond is the processor time a second of all processes without a request.
	IdleUsPerSecond float64 `json:"idle_us_per_second"`
}

const (
	costWorkers  = 4
	costRequests = 2000
	costRounds   = 3
	idleTime     = 2 * time.Second
)

// measureCost runs the ways in turn, so that a noisy machine treats them alike.
func measureCost(ctx context.Context, cluster *trial.Cluster, p *plain, options Options) (Cost, error) {
	idle, err := spent(func() error {
		options.Clock.Sleep(idleTime)
		return nil
	})
	if err != nil {
		return Cost{}, err
	}
	idlePerSecond := idle / idleTime.Seconds()
	ways := [][]string{{p.boxes[0].address, "/run/"}, {cluster.ReadyAddresses()[0], "/v1/run/"}, {p.address, "/v1/run/"}}
	costs, latencies := make([][]float64, len(ways)), make([][]float64, len(ways))
	for range costRounds {
		for i, way := range ways {
			cost, latency, err := measureWay(ctx, options, way[0], way[1], idlePerSecond)
			if err != nil {
				return Cost{}, err
			}
			costs[i], latencies[i] = append(costs[i], cost), append(latencies[i], latency)
		}
	}
	direct, through, plainCost := middle(costs[0]), middle(costs[1]), middle(costs[2])
	return Cost{
		DirectUs: direct, EntryUs: through, Ratio: through / direct, PlainRatio: plainCost / direct,
		AddedUs: middle(latencies[1]) - middle(latencies[0]), IdleUsPerSecond: idlePerSecond,
	}, nil
}

// measureWay returns processor time and median latency a request, in
// microseconds.
func measureWay(ctx context.Context, options Options, address, path string, idlePerSecond float64) (float64, float64, error) {
	client := newClient(costWorkers)
	defer client.CloseIdleConnections()
	all := make([][]float64, costWorkers)
	begun := options.Clock.Now()
	total, err := spent(func() error {
		var group errgroup.Group
		for worker := range costWorkers {
			group.Go(func() error {
				for count := range costRequests / costWorkers {
					nonce := fmt.Sprintf("cost-%s-%d-%d-%d", address, begun.UnixNano(), worker, count)
					status, took := post(options, client, "http://"+address+path+service, nonce)
					if status != http.StatusOK || ctx.Err() != nil {
						return errors.Join(fmt.Errorf("call of %s: status %d", address, status), ctx.Err())
					}
					all[worker] = append(all[worker], float64(took.Microseconds()))
				}
				return nil
			})
		}
		return group.Wait()
	})
	idle := idlePerSecond * options.Clock.Since(begun).Seconds()
	return (total - idle) / costRequests, middle(slices.Concat(all...)), err
}

func post(options Options, client *http.Client, url, nonce string) (int, time.Duration) {
	return oneAt(options, client, url, nonce, wire.ClassNormal, normalDeadline, 0)
}

// spent returns the processor time that this process uses meanwhile, in
// microseconds.
func spent(do func() error) (float64, error) {
	before, err := used()
	if err != nil {
		return 0, err
	}
	if err := do(); err != nil {
		return 0, err
	}
	after, err := used()
	return float64((after - before).Microseconds()), err
}

func used() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

func middle(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
