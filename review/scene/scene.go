package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch/platform/standin"
)

// host is the Host of all queues.
const host = "queue.example"

// errSetup means that a case could not be run.
var errSetup = errors.New("the case could not be run")

// scene is a stand-in platform with the nodes that run against it, and the record of what was sent, answered and run.
type scene struct {
	clock    clockwork.Clock
	begunAt  time.Time
	platform *standin.Platform
	client   *standin.Client
	// workers is nil if the workers of the platform's stand-in are used.
	workers *workers
	nodes   []*node
	// proxied starts a proxy in front of the store for a node and returns its address, if it isn't nil.
	proxied func(*node) (string, error)
	// trouble is false for the same course of events without the disruption.
	trouble bool
	folder  string
	mutex   sync.Mutex // Guards record.
	record  *os.File
}

// newScene starts a platform and nodes and waits until all nodes are ready.
func newScene(options standin.Options, nodeCount int, recordFile string, trouble bool, queues ...standin.Queue) (*scene, error) {
	s := &scene{clock: clockwork.NewRealClock(), client: standin.NewClient(), trouble: trouble}
	s.begunAt = s.clock.Now()
	record, err := os.Create(recordFile)
	if err != nil {
		return s, err
	}
	s.record = record
	if s.folder, err = os.MkdirTemp("", "scene"); err != nil {
		return s, err
	}
	options.Clock, options.RecordStarts = s.clock, true
	options.MoveTime, options.MaintainTime, options.MaxLease, options.StopTime = moveTime, 2*time.Second, maxLease, stopTime/2
	options.RestoreTime, options.HeartbeatInterval = 600*time.Millisecond, 1500*time.Millisecond
	if s.platform, err = standin.New(options); err != nil {
		return s, err
	}
	if err := s.platform.PutConfiguration(1, queues...); err != nil {
		return s, err
	}
	return s, s.startNodes(nodeCount, queues[0])
}

// startNodes starts nodes for the first time, and waits until all serve a queue: the users' traffic starts 10 s after the
// machines.
func (s *scene) startNodes(count int, queue standin.Queue) error {
	for number := range count {
		n, err := newNode(s.clock, s.folder, fmt.Sprintf("node-%d", number+1))
		if err != nil {
			return err
		}
		n.config.Store, n.config.Boxes, n.config.Advice = s.platform.Addresses()
		if s.workers != nil {
			n.config.Boxes = s.workers.list.Addr
		}
		if s.proxied != nil {
			if n.config.Store, err = s.proxied(n); err != nil {
				return err
			}
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(true); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if !s.waitUntil(20*time.Second, func() bool { return n.isReady() && s.serves(n, queue) }) {
			return fmt.Errorf("%w: %s doesn't serve", errSetup, n.config.Node)
		}
	}
	s.note("%d nodes serve, trouble %t", count, s.trouble)
	return nil
}

// serves reports whether a node answers a call on a queue.
func (s *scene) serves(n *node, queue standin.Queue) bool {
	status, _, err := s.client.Do(context.Background(), http.MethodGet, n.config.ClientAddress, queue.Host, queue.PathPrefix, nil)
	return err == nil && status == http.StatusOK
}

// close ends all processes and the stand-in.
func (s *scene) close() error {
	var err error
	for _, n := range s.nodes {
		n.kill()
		err = errors.Join(err, n.group.Wait())
	}
	if s.workers != nil {
		err = errors.Join(err, s.workers.close())
	}
	if s.platform != nil {
		err = errors.Join(err, s.platform.Close())
	}
	if s.record != nil {
		err = errors.Join(err, s.record.Close())
	}
	if s.folder != "" {
		err = errors.Join(err, os.RemoveAll(s.folder))
	}
	return err
}

// note writes a line to the record.
func (s *scene) note(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// A line that can't be written is only missing in the record.
	_, _ = fmt.Fprintf(s.record, "%7.3f s  %s\n", s.clock.Since(s.begunAt).Seconds(), fmt.Sprintf(format, args...))
}

// waitUntil waits until a condition holds, and reports whether it does within the limit.
func (s *scene) waitUntil(limit time.Duration, condition func() bool) bool {
	for begun := s.clock.Now(); s.clock.Since(begun) < limit; s.clock.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// do makes a client's call to a node and notes the call and its answer. It returns the status, or 0 if there is no answer.
func (s *scene) do(n *node, method, path string, body []byte) (int, string) {
	status, text, err := s.client.Do(context.Background(), method, n.config.ClientAddress, host, path, body)
	if err != nil {
		s.note("%s %s to %s: no answer: %v", method, path, n.config.Node, err)
		return 0, ""
	}
	s.note("%s %s to %s: %d %s", method, path, n.config.Node, status, text)
	return status, string(text)
}

// submit sends a job as a client does: after a refusal, silence or an unknown outcome it sends the same job again, to the
// next of the nodes. It returns the last status.
func (s *scene) submit(path string, body []byte, nodes ...*node) int {
	status := 0
	for try := range 5 {
		if status, _ = s.do(nodes[try%len(nodes)], http.MethodPost, path, body); status == http.StatusOK || status == http.StatusBadRequest {
			return status
		}
		s.clock.Sleep(300 * time.Millisecond)
	}
	return status
}

// noteRuns notes all runs of a job that endpoints have begun, and returns them.
func (s *scene) noteRuns(job string) []standin.Start {
	var began []standin.Start
	for _, start := range s.platform.Starts() {
		if start.Job() != job || !start.Began {
			continue
		}
		began = append(began, start)
		ended := "still runs"
		if !start.EndedAt.IsZero() {
			ended = fmt.Sprintf("%s at %.3f s", start.Ending, start.EndedAt.Sub(s.begunAt).Seconds())
		}
		s.note("run of %s, attempt %d, on %s from %.3f s: %s", start.Task, start.Attempt, start.Endpoint, start.At.Sub(s.begunAt).Seconds(), ended)
	}
	return began
}

// runsAtOnce returns the task of which two runs went on at the same time, or an empty string.
func (s *scene) runsAtOnce(runs []standin.Start) string {
	now := s.clock.Now()
	end := func(r standin.Start) time.Time {
		if r.EndedAt.IsZero() {
			return now
		}
		return r.EndedAt
	}
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Task == b.Task && a.At.Before(end(b)) && b.At.Before(end(a)) {
				return a.Task
			}
		}
	}
	return ""
}

// recordPath returns the path of the record in a case's folder.
func recordPath(folder string) string {
	return filepath.Join(folder, "record.txt")
}
