package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployFile is the users' deploy file, whose run line starts a node.
const deployFile = "deploy/system.toml"

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 3 * time.Second

// node is one machine of the system: its process, its addresses, and its ways to the platform.
type node struct {
	name                        string
	client, ready, call, debug  string
	store, boxes, adviceAddress string
	storeProxy                  *proxy
	settings                    string
	process                     *exec.Cmd
}

// deployment is a small deployment of the system on the stand-in of the platform.
type deployment struct {
	*platform
	run    string
	folder string
	nodes  []*node
	http   *http.Client
}

// newDeployment starts the platform with machines, and the nodes.
func newDeployment(p *platform, folder string, nodeCount int) (*deployment, error) {
	run, err := runLine()
	if err != nil {
		return nil, err
	}
	d := &deployment{platform: p, run: run, folder: folder, http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for number := range nodeCount {
		n := &node{name: fmt.Sprintf("edge-z%d-%d", number%2+1, number+1)}
		if err := d.connect(n, number); err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := d.writeSettings(n, true); err != nil {
			return nil, err
		}
		if err := d.start(n); err != nil {
			return d, err
		}
	}
	return d, nil
}

// runLine returns the command of the deploy file that starts a node.
func runLine() (string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run line")
}

// connect gives a node its addresses and its ways to the platform.
func (d *deployment) connect(n *node, number int) error {
	direct, err := d.serve(d.store.handler(number))
	if err != nil {
		return err
	}
	if n.storeProxy, err = newProxy(direct); err != nil {
		return err
	}
	n.store = n.storeProxy.address()
	if n.boxes, err = d.serve(d.controlHandler()); err != nil {
		return err
	}
	if n.adviceAddress, err = d.serve(d.advice.handler(n.name)); err != nil {
		return err
	}
	for _, address := range []*string{&n.client, &n.ready, &n.call, &n.debug} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	return nil
}

// Ports of nodes are below those that the kernel gives to connections, one of which could otherwise take a port before its
// node listens there.
const (
	lowestNodePort = 20_000
	nodePorts      = 12_000
)

// freeAddress returns an address with a port that is free now.
func freeAddress() (string, error) {
	var failed error
	for range 20 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestNodePort+rand.IntN(nodePorts)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
		failed = err
	}
	return "", failed
}

// writeSettings writes a node's settings as the platform fills them in by the template of the deploy file.
func (d *deployment) writeSettings(n *node, first bool) error {
	text, err := json.MarshalIndent(map[string]any{
		"node": n.name, "zone": n.name[5:7], "client_address": n.client, "ready_address": n.ready, "call_address": n.call, "debug_address": n.debug,
		"store": n.store, "boxes": n.boxes, "advice": n.adviceAddress, "first_start": first, "core_share": 0.4, "link_mbps": 1000.0, "memory_mb": 284,
		"partitions": 24, "store_call_bytes": maxCallBytes, "store_record_bytes": 262_144, "power_offs_per_s": 64.0, "group_ttl_ms": 1000,
		"bounds": map[string]any{
			"lease_most_ms": holdMaxMs, "stop_ms": 400, "drain_ms": 2000, "keep_ended_s": 120, "grace_s": 6, "cancel_ms": 3000, "gang_ms": 3000, "holder_ms": 3000,
			"move_s": 1.5, "maintain_s": 2, "restore_ms": 600, "save_s": 2, "far": 2, "harm_ms": 4000, "notice_ms": 4500,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.folder, n.name+".conf")
	return os.WriteFile(n.settings, text, 0o600)
}

// start starts the process of a node.
func (d *deployment) start(n *node) error {
	words := strings.Fields(d.run)
	log, err := os.OpenFile(filepath.Join(d.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.process = exec.Command(words[0], words[1:]...)
	n.process.Env = []string{"DAMSONWINCH_NODE_FILE=" + n.settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		n.process.Env = append(n.process.Env, name+"="+os.Getenv(name))
	}
	n.process.Stdout, n.process.Stderr = log, log
	d.record("platform starts the process of %s", n.name)
	return n.process.Start()
}

// restart stops a node with SIGTERM, as the platform does, and starts it again once it has ended.
func (d *deployment) restart(n *node) error {
	d.record("platform sends SIGTERM to %s", n.name)
	if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	// A process that ends by the signal reports that as an error.
	_ = n.process.Wait()
	d.record("%s has ended", n.name)
	if err := d.writeSettings(n, false); err != nil {
		return err
	}
	return d.start(n)
}

// close ends all processes.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Kill()
			_ = n.process.Wait()
		}
	}
}

// do makes a client's call to a node, and returns the status and the body. The status is 0 if there is no answer.
func (d *deployment) do(n *node, method, host, path string, body any) (int, map[string]any) {
	var text []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		text = encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.client+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Damsonwinch-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	response, err := d.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var decoded map[string]any
	// An answer without a body has no values.
	_ = json.Unmarshal(answer, &decoded)
	return response.StatusCode, decoded
}

// waitFor waits until a condition holds, and reports whether it did in time.
func (d *deployment) waitFor(most time.Duration, condition func() bool) bool {
	until := d.clock.Now().Add(most)
	for !condition() {
		if d.clock.Now().After(until) {
			return false
		}
		d.clock.Sleep(20 * time.Millisecond)
	}
	return true
}

// isReady reports whether a node calls itself ready.
func (d *deployment) isReady(n *node) bool {
	response, err := d.http.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, service string
	advised                     bool
}

// configure writes a configuration, as the operator does.
func (d *deployment) configure(version int, services []string, routes ...route) error {
	rows, pools := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": r.host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0,
			"service": r.service, "max_attempts": maxAttempts, "extension": 1.6,
		}
		if r.advised {
			row["advice"] = d.advice.policy()
		}
		rows = append(rows, row)
	}
	for _, name := range services {
		pools = append(pools, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls_enabled": false, "rejects_overload": true, "headroom": false})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": rows, "services": pools,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262_144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	d.record("operator writes configuration %d: %s", version, text)
	d.store.put("keyed.op", "config", text)
	return nil
}
