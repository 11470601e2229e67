package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"damsonwinch/platform/standin"
)

// Names of the pools and paths of the case sent-again.
const (
	quotesPath = "/quotes/"
	oldPool    = "flange-desk"
	newPool    = "valve-desk"
)

// sentAgainJob is a job of two tasks that run for 12 s.
const (
	sentAgainID   = "5c0e7a21d94b36f8"
	sentAgainBody = `{"spec":"{\"ms\":12000}","phases":[{"count":2,"cpu":2000,"mem_mb":1000,"estimated_ms":12000}]}`
)

// sentAgain moves a queue to another service, restarts one node as planned, and has the client send an accepted job again
// to that node.
func sentAgain(record string, trouble bool) (broken string, err error) {
	queue := standin.Queue{Name: "quotes", Host: host, PathPrefix: quotesPath, Pool: oldPool, MaxAttempts: 3}
	s, err := newScene(twoPools(), 3, record, trouble, queue)
	defer func() { err = errors.Join(err, s.close()) }()
	if err != nil {
		return "", err
	}
	restarted := s.nodes[2]
	if err := s.acceptJob(s.nodes[0]); err != nil {
		return "", err
	}
	if trouble {
		queue.Pool = newPool
		if err := s.platform.PutConfiguration(2, queue); err != nil {
			return "", err
		}
		s.note("configuration 2 acknowledged: the queue leads from %s to %s", oldPool, newPool)
		s.clock.Sleep(500 * time.Millisecond)
		s.note("SIGTERM to %s", restarted.config.Node)
		restarted.terminate()
		s.note("%s has ended: %s", restarted.config.Node, restarted.ending)
		if err := restarted.start(false); err != nil {
			return "", err
		}
	}
	s.clock.Sleep(2 * time.Second)
	if !s.waitUntil(10*time.Second, restarted.isReady) {
		return "", fmt.Errorf("%w: %s is not ready again", errSetup, restarted.config.Node)
	}
	return s.sendAgain(restarted), nil
}

// renamed removes a queue and adds one with the same host and prefix, which leads to another service, and has the client
// send an accepted job again.
func renamed(record string, trouble bool) (broken string, err error) {
	queue := standin.Queue{Name: "quotes", Host: host, PathPrefix: quotesPath, Pool: oldPool, MaxAttempts: 3}
	s, err := newScene(twoPools(), 3, record, trouble, queue)
	defer func() { err = errors.Join(err, s.close()) }()
	if err != nil {
		return "", err
	}
	if err := s.acceptJob(s.nodes[0]); err != nil {
		return "", err
	}
	if trouble {
		queue.Name, queue.Pool = "quotes-next", newPool
		if err := s.platform.PutConfiguration(2, queue); err != nil {
			return "", err
		}
		s.note("configuration 2 acknowledged: it removes the route quotes and adds the route quotes-next, with the same host and prefix, to %s", newPool)
	}
	s.clock.Sleep(2500 * time.Millisecond)
	return s.sendAgain(s.nodes[0]), nil
}

// twoPools returns the options of a platform with two services of three workers each.
func twoPools() standin.Options {
	return standin.Options{Pools: []standin.Pool{{Name: oldPool, Boxes: 3}, {Name: newPool, Boxes: 3}}, BoxMilliCPU: 32000, BoxMemoryMB: 131072}
}

// acceptJob has a client submit the job to a node, and waits until both tasks run.
func (s *scene) acceptJob(n *node) error {
	if status := s.submit(quotesPath+sentAgainID, []byte(sentAgainBody), n); status != http.StatusOK {
		return fmt.Errorf("%w: the job was answered with %d", errSetup, status)
	}
	if !s.waitUntil(5*time.Second, func() bool { return len(s.platform.CountRuns(sentAgainID)) == 2 }) {
		return fmt.Errorf("%w: the job's tasks don't run", errSetup)
	}
	return nil
}

// sendAgain has the client send the job to a node again. It returns what broke the rule TWICE, or an empty string.
func (s *scene) sendAgain(n *node) string {
	s.note("the client sends the accepted job again")
	s.submit(quotesPath+sentAgainID, []byte(sentAgainBody), n)
	s.clock.Sleep(2 * time.Second)
	if task := s.runsAtOnce(s.noteRuns(sentAgainID)); task != "" {
		return "TWICE: two runs of " + task + " at once"
	}
	return ""
}
