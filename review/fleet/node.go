package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Node is one process of the system.
type Node struct {
	Name  string
	Front string

	fleet    *Fleet
	ready    string
	debug    string
	settings string
	command  *exec.Cmd
	log      *os.File
}

// The nodes' ports are below the range from which systems assign ports: an outgoing connection could otherwise
// take a port that is free now before the node starts.
const (
	firstPort = 12000
	portCount = 20000
)

// nextPort starts at a different port in each process.
var nextPort = os.Getpid() * 997

// freeAddress returns a loopback address whose port is free now.
func freeAddress() (string, error) {
	for range portCount {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no port is free")
}

// StartNodes starts all nodes for the first time and waits until they are ready.
func (f *Fleet) StartNodes() error {
	for number := range f.options.Nodes {
		node, err := f.newNode(number)
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, node)
		if err := node.Start(true); err != nil {
			return err
		}
	}
	for _, node := range f.Nodes {
		if err := node.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) newNode(number int) (*Node, error) {
	node := &Node{Name: fmt.Sprintf("edge-%s-1", zoneName(number)), fleet: f}
	node.settings = filepath.Join(f.options.Folder, node.Name+".jsonc")
	for _, address := range []*string{&node.Front, &node.ready, &node.debug} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return node, nil
}

// writeSettings fills in what platform/node.jsonc holds, with the bounds of the workshop's site.
func (n *Node) writeSettings(firstStart bool, number int) error {
	call, err := freeAddress()
	if err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"node": n.Name, "zone": zoneName(number), "client_address": n.Front, "ready_address": n.ready, "call_address": call, "debug_address": n.debug,
		"store": n.fleet.storeAt, "boxes": n.fleet.machineAt, "advice": n.fleet.adviceAt, "first_start": firstStart,
		"core_share": 0.4, "link_mbps": 1000.0, "memory_mb": 284, "partitions": 24, "store_call_bytes": 2097152, "power_offs_per_s": 64.0, "group_ttl_ms": 1000,
		"bounds": map[string]any{
			"lease_most_ms": 10000, "stop_ms": 400, "drain_ms": 2000, "keep_ended_s": 120, "grace_s": 6, "cancel_ms": 3000, "gang_ms": 3000, "holder_ms": 3000,
			"move_s": 1.5, "maintain_s": 2, "restore_ms": 600, "save_s": 2, "far": 2, "harm_ms": 4000, "notice_ms": 4500,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, text, 0o644)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start(firstStart bool) error {
	number := 0
	for at, other := range n.fleet.Nodes {
		if other == n {
			number = at
		}
	}
	if err := n.writeSettings(firstStart, number); err != nil {
		return err
	}
	output, err := n.fleet.output(n.Name)
	if err != nil {
		return err
	}
	n.command, n.log = exec.Command(n.fleet.options.Program), output
	n.command.Dir, n.command.Stdout, n.command.Stderr = n.fleet.options.Root, output, output
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMSONWINCH_NODE_FILE=" + n.settings}
	n.fleet.Record.Note("node    %s starts", n.Name)
	return n.command.Start()
}

// readyTimeout is how long a node may take until it is ready for the first time.
const readyTimeout = 20 * time.Second

// WaitReady waits until the node calls itself ready.
func (n *Node) WaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for begun := n.fleet.clock.Now(); n.fleet.clock.Since(begun) < readyTimeout; n.fleet.clock.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			n.fleet.Record.Note("node    %s is ready", n.Name)
			return nil
		}
	}
	return errors.New(n.Name + " isn't ready in time")
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	n.fleet.Record.Note("node    %s is killed", n.Name)
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
	_ = n.log.Close()
	n.command = nil
}

// Freeze stops the process with SIGSTOP, and Wake continues it.
func (n *Node) Freeze() error {
	n.fleet.Record.Note("node    %s is frozen", n.Name)
	return n.command.Process.Signal(syscall.SIGSTOP)
}

// Wake continues a process that was frozen.
func (n *Node) Wake() error {
	n.fleet.Record.Note("node    %s wakes", n.Name)
	return n.command.Process.Signal(syscall.SIGCONT)
}

// MemoryMB returns how much memory the process has resident, in megabytes, or 0 if that isn't known.
func (n *Node) MemoryMB() int {
	if n.command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// Figure returns one of the figures that the node shows at its debug address, or 0. It only serves to choose
// which node to disturb.
func (n *Node) Figure(name string) float64 {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + n.debug + "/debug/vars")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	var figures map[string]any
	if json.Unmarshal(text, &figures) != nil {
		return 0
	}
	return find(figures, name)
}

func find(figures map[string]any, name string) float64 {
	for key, value := range figures {
		switch value := value.(type) {
		case float64:
			if key == name {
				return value
			}
		case map[string]any:
			if found := find(value, name); found != 0 {
				return found
			}
		}
	}
	return 0
}
